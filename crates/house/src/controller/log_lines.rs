//! What the log is told: changes once, and what lasts when it has lasted long enough.

use super::Controller;
use crate::platform::Failed;
use spdlog::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;
use tindock_stacks::StartResult;

/// What lasts is looked at this often.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Without a majority in touch for so long: that is said.
const UNTOUCHED_SAID_AFTER: Duration = Duration::from_secs(2);
/// Lists that were not read for so long are said, and again this often.
const UNREAD_SAID_AFTER: Duration = Duration::from_secs(3);
const UNREAD_SAID_AGAIN: Duration = Duration::from_secs(30);
/// Failed calls to the platform are summed for so long.
const FAILURES_SUMMED: Duration = Duration::from_secs(5);

/// What the log was told last.
pub(super) struct LogState {
    look_due: Duration,
    ready: bool,
    voters: Vec<SocketAddr>,
    /// Since when no majority is in touch.
    untouched_since: Option<Duration>,
    untouched_said: bool,
    /// The committed revision that could not be read.
    pub unreadable: Option<u64>,
    pub failures: Failures,
}

impl LogState {
    pub fn new(voters: Vec<SocketAddr>) -> LogState {
        LogState {
            look_due: Duration::ZERO,
            ready: false,
            voters,
            untouched_since: Some(Duration::ZERO),
            untouched_said: false,
            unreadable: None,
            failures: Failures::default(),
        }
    }

    /// How many voters were known when they were last looked at.
    pub fn voters(&self) -> usize {
        self.voters.len()
    }

    /// Says when contact was lost for a while, and when it is back.
    fn say_touch(&mut self, now: Duration, in_touch: bool) {
        if in_touch {
            if let Some(since) = self.untouched_since.take().filter(|_| self.untouched_said) {
                warn!("in touch again after {} s", now.saturating_sub(since).as_secs());
            }
            self.untouched_said = false;
            return;
        }
        let since = *self.untouched_since.get_or_insert(now);
        if !self.untouched_said && now >= since + UNTOUCHED_SAID_AFTER {
            self.untouched_said = true;
            warn!("not in touch with a majority of the seats");
        }
    }
}

impl Controller {
    /// What has lasted long enough for the log, or has changed.
    pub(super) fn look(&mut self, now: Duration) {
        if now < self.log.look_due {
            return;
        }
        self.log.look_due = now + LOOK_INTERVAL;
        let voters = self.control_store.members();
        if !self.log.ready && self.control_store.ready() {
            self.log.ready = true;
            let revision = self.control_store.committed().map_or(0, |committed| committed.revision);
            let (after, seats) = (now.as_millis(), voters.len());
            info!("ready first, {after} ms after the start: {seats} seats, revision {revision}");
        }
        if voters != self.log.voters {
            warn!("seats changed: {}; before: {}", ips(&voters), ips(&self.log.voters));
            self.log.voters = voters;
        }
        let in_touch = self.contact.is_fresh(now) && self.control_store.in_touch(now);
        self.log.say_touch(now, in_touch);
        self.log.failures.say(now);
    }

    pub(super) fn say_ended(&self, now: Duration, began: Duration) {
        let after = now.saturating_sub(began).as_secs_f64();
        match self.calls.len() {
            0 => info!("ended {after:.2} s after SIGTERM, 0 calls unanswered"),
            open => warn!("ended {after:.2} s after SIGTERM, {open} calls unanswered"),
        }
    }
}

fn ips(voters: &[SocketAddr]) -> String {
    if voters.is_empty() {
        return "none".to_string();
    }
    let ips: Vec<String> = voters.iter().map(|at| at.ip().to_string()).collect();
    ips.join(" ")
}

/// Calls to the platform that failed since this was last said.
#[derive(Default)]
pub(super) struct Failures {
    since: Option<Duration>,
    no_room: u32,
    too_many: u32,
    no_service: u32,
    unclear: u32,
}

impl Failures {
    pub fn count_start(&mut self, now: Duration, begun: &StartResult) {
        match begun {
            StartResult::Started { .. } => return,
            StartResult::NoCapacity => self.no_room += 1,
            StartResult::RateLimited => self.too_many += 1,
            StartResult::UnknownService => self.no_service += 1,
            StartResult::OutcomeUnknown => self.unclear += 1,
        }
        self.since.get_or_insert(now);
    }

    pub fn count_stop(&mut self, now: Duration, ok: bool) {
        if !ok {
            self.unclear += 1;
            self.since.get_or_insert(now);
        }
    }

    fn say(&mut self, now: Duration) {
        if self.since.is_none_or(|since| now < since + FAILURES_SUMMED) {
            return;
        }
        let Failures { no_room, too_many, no_service, unclear, .. } = std::mem::take(self);
        warn!(
            "platform: {} calls failed in {} s: {no_room} no room, {too_many} too many, \
             {no_service} no service, {unclear} unclear",
            no_room + too_many + no_service + unclear,
            FAILURES_SUMMED.as_secs()
        );
    }
}

/// Since when the platform's lists were not read, and why.
pub(super) struct UnreadLists {
    instances_at: Duration,
    hosts_at: Duration,
    said_due: Duration,
    why: Failed,
}

impl UnreadLists {
    pub fn new(now: Duration) -> UnreadLists {
        UnreadLists {
            instances_at: now,
            hosts_at: now,
            said_due: now + UNREAD_SAID_AFTER,
            why: Failed::Unclear,
        }
    }

    pub fn instances_read(&mut self, now: Duration, failed: Option<&Failed>) {
        match failed {
            Some(why) => self.why = *why,
            None => {
                self.instances_at = now;
                self.read();
            }
        }
    }

    pub fn hosts_read(&mut self, now: Duration, failed: Option<&Failed>) {
        match failed {
            Some(why) => self.why = *why,
            None => {
                self.hosts_at = now;
                self.read();
            }
        }
    }

    fn since(&self) -> Duration {
        self.instances_at.min(self.hosts_at)
    }

    fn read(&mut self) {
        self.said_due = self.said_due.min(self.since() + UNREAD_SAID_AFTER);
    }

    pub fn say(&mut self, now: Duration) {
        let since = self.since();
        if now < self.said_due || now < since + UNREAD_SAID_AFTER {
            return;
        }
        self.said_due = now + UNREAD_SAID_AGAIN;
        let span = now.saturating_sub(since).as_secs();
        match self.why {
            Failed::Status(status) => warn!("platform: lists not read for {span} s: status {status}"),
            Failed::Unclear => warn!("platform: lists not read for {span} s: no whole answer"),
        }
    }
}
