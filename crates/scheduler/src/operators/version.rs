//! Reports what runs in this process to rollouts: configuration, program, start time, and the run that holds
//! the lease on it.

use crate::clock::Clock;
use serde::Serialize;
use std::cell::{OnceCell, RefCell};
use std::fs::File;
use std::sync::mpsc::{self, Receiver};
use tindock_rollout::Lease;

/// The format of the answer; readers accept any whose fields they all know.
const VERSION: u32 = 1;

pub struct Version {
    /// Digest of the configuration in force.
    settings: RefCell<String>,
    /// Digest of the program file; computed on the first call, because that reads some megabytes.
    program: OnceCell<String>,
    digest_reader: RefCell<Option<Receiver<String>>>,
    began_ms: u64,
    lease: RefCell<Lease>,
    clock: Clock,
}

/// The serialized answer.
#[derive(Serialize)]
struct VersionDoc<'a> {
    version: u32,
    settings: &'a str,
    /// None until it is computed.
    program: Option<&'a str>,
    /// Identifies the process: its start in Unix milliseconds.
    began_ms: u64,
    pid: u32,
    ready: bool,
    /// The largest fence number of a run, and that run.
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

    /// Sets the digest of the configuration now in force.
    pub fn set_settings(&self, settings: String) {
        self.settings.replace(settings);
    }

    /// Acquires or renews the lease of a run, or returns the reason why not.
    pub fn lease(&self, run: &str, number: &str) -> Result<(), String> {
        self.lease.borrow_mut().take(run, parse_number(number)?, self.clock.now())
    }

    /// Releases the lease of a run that has ended.
    pub fn release(&self, run: &str, number: &str) -> Result<(), String> {
        self.lease.borrow_mut().release(run, parse_number(number)?);
        Ok(())
    }

    /// One line of JSON. Guards against a late answer: the program file is read on a separate thread, started
    /// by the first call, and its digest is omitted until then.
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
                // Through the process's own link: the file at its path may have been replaced.
                let digest = File::open("/proc/self/exe").and_then(tindock_scheduler_config::digest_of);
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
