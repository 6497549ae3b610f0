//! What runs here, for whoever changes it: which settings, which program, since when, and which run may change it.

use crate::clock::Clock;
use serde::Serialize;
use std::cell::{OnceCell, RefCell};
use std::fs::File;
use std::sync::mpsc::{self, Receiver};
use tindock_rollout::Lease;

/// The form of the answer; readers take any that they know all words of.
const VERSION: u32 = 1;

pub struct Version {
    /// Digest of the configuration in force.
    settings: RefCell<String>,
    /// Of the program's file; found out when it is first asked for, since that reads some megabytes.
    program: OnceCell<String>,
    digest_reader: RefCell<Option<Receiver<String>>>,
    began_ms: u64,
    lease: RefCell<Lease>,
    clock: Clock,
}

/// The words of the answer.
#[derive(Serialize)]
struct VersionDoc<'a> {
    version: u32,
    settings: &'a str,
    /// None while it is not known yet.
    program: Option<&'a str>,
    /// Which process of this name it is: when it began, in Unix milliseconds.
    began_ms: u64,
    pid: u32,
    ready: bool,
    /// The largest number of a run, and that run.
    fence: u64,
    run: &'a str,
}

fn parse_number(number: &str) -> Result<u64, String> {
    number.parse().map_err(|_| format!("{number:?} is no number"))
}

impl Version {
    pub fn new(settings: String, clock: Clock) -> Self {
        let (settings, began_ms) = (RefCell::new(settings), clock.to_unix_ms(clock.now()));
        Version {
            settings,
            program: OnceCell::new(),
            digest_reader: RefCell::default(),
            began_ms,
            lease: RefCell::default(),
            clock,
        }
    }

    pub fn settings(&self) -> String {
        self.settings.borrow().clone()
    }

    /// Another configuration is in force.
    pub fn set_settings(&self, settings: String) {
        self.settings.replace(settings);
    }

    /// Takes or renews the lease of a run; one line says why not.
    pub fn lease(&self, run: &str, number: &str) -> Result<(), String> {
        self.lease.borrow_mut().take(run, parse_number(number)?, self.clock.now())
    }

    /// A run that has ended lets go.
    pub fn release(&self, run: &str, number: &str) -> Result<(), String> {
        self.lease.borrow_mut().release(run, parse_number(number)?);
        Ok(())
    }

    /// One line of JSON. Guards against an answer that comes late: the program's file is read on a thread of its own
    /// from the first call on, and nothing stands for it until that has ended.
    pub fn line(&self, ready: bool) -> String {
        self.find_program();
        let (settings, lease) = (self.settings.borrow(), self.lease.borrow());
        let ((fence, run), program) = (lease.holder(), self.program.get().map(String::as_str));
        let (version, began_ms, pid) = (VERSION, self.began_ms, std::process::id());
        let doc = VersionDoc { version, settings: &settings, program, began_ms, pid, ready, fence, run };
        serde_json::to_string(&doc).unwrap_or_default()
    }

    fn find_program(&self) {
        if self.program.get().is_some() {
            return;
        }
        let mut digest_reader = self.digest_reader.borrow_mut();
        if digest_reader.is_none() {
            let (sender, receiver) = mpsc::channel();
            let read = move || {
                // By the process's own link: the file may be another one by now.
                let digest = File::open("/proc/self/exe").and_then(tindock_berth::digest_of);
                let _ = sender.send(digest.unwrap_or_default());
            };
            if std::thread::Builder::new().name("digest".into()).spawn(read).is_ok() {
                *digest_reader = Some(receiver);
            }
        }
        if let Some(digest) = digest_reader.as_ref().and_then(|receiver| receiver.try_recv().ok()) {
            let _ = self.program.set(digest);
            *digest_reader = None;
        }
    }
}
