//! Log lines of the controller: changes once, and lasting conditions after a while.

use super::Controller;
use crate::platform::CallError;
use spdlog::{info, warn};
use std::net::SocketAddr;
use std::time::Duration;
use tindock_autoscaler::StartResult;

/// Conditions are checked this often.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Lost contact with a majority is logged after so long.
const LOST_CONTACT_LOGGED_AFTER: Duration = Duration::from_secs(2);
/// Lists that could not be read are logged after so long, and again at the interval below.
const UNREAD_LOGGED_AFTER: Duration = Duration::from_secs(3);
const UNREAD_LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Failed calls to the platform are logged as a summary this often.
const FAILURE_SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// What was logged last, so that each change is logged once.
pub(super) struct LogState {
    next_check: Duration,
    ready: bool,
    voters: Vec<SocketAddr>,
    /// Since when there is no contact with a majority.
    lost_contact_since: Option<Duration>,
    lost_contact_logged: bool,
    /// The committed revision that could not be parsed.
    pub unreadable: Option<u64>,
    pub failures: Failures,
}

impl LogState {
    pub fn new(voters: Vec<SocketAddr>) -> LogState {
        LogState {
            next_check: Duration::ZERO,
            ready: false,
            voters,
            lost_contact_since: Some(Duration::ZERO),
            lost_contact_logged: false,
            unreadable: None,
            failures: Failures::default(),
        }
    }

    /// Number of voters at the last check.
    pub fn voters(&self) -> usize {
        self.voters.len()
    }

    /// Logs that contact has been lost for a while, and that it is back.
    fn log_contact(&mut self, now: Duration, in_touch: bool) {
        if in_touch {
            if let Some(since) = self.lost_contact_since.take().filter(|_| self.lost_contact_logged) {
                warn!("in touch with a majority again after {} s", now.saturating_sub(since).as_secs());
            }
            self.lost_contact_logged = false;
            return;
        }
        let since = *self.lost_contact_since.get_or_insert(now);
        if !self.lost_contact_logged && now >= since + LOST_CONTACT_LOGGED_AFTER {
            self.lost_contact_logged = true;
            warn!("not in touch with a majority of the voters");
        }
    }
}

impl Controller {
    /// Logs changes, and conditions that have lasted long enough.
    pub(super) fn log_state(&mut self, now: Duration) {
        if now < self.log.next_check {
            return;
        }
        self.log.next_check = now + CHECK_INTERVAL;
        let voters = self.control_store.members();
        if !self.log.ready && self.control_store.ready() {
            self.log.ready = true;
            let revision = self.control_store.committed().map_or(0, |committed| committed.revision);
            let (after, count) = (now.as_millis(), voters.len());
            info!("ready, {after} ms after the start: {count} voters, revision {revision}");
        }
        if voters != self.log.voters {
            warn!("voters changed: {}; before: {}", ips(&voters), ips(&self.log.voters));
            self.log.voters = voters;
        }
        let in_touch = self.contact.is_fresh(now) && self.control_store.in_touch(now);
        self.log.log_contact(now, in_touch);
        self.log.failures.log_if_due(now);
    }

    pub(super) fn log_end(&self, now: Duration, began: Duration) {
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

/// Calls to the platform that failed since the last summary.
#[derive(Default)]
pub(super) struct Failures {
    since: Option<Duration>,
    no_capacity: u32,
    rate_limited: u32,
    unknown_service: u32,
    outcome_unknown: u32,
}

impl Failures {
    pub fn count_start(&mut self, now: Duration, result: &StartResult) {
        match result {
            StartResult::Started { .. } => return,
            StartResult::NoCapacity => self.no_capacity += 1,
            StartResult::RateLimited => self.rate_limited += 1,
            StartResult::UnknownService => self.unknown_service += 1,
            StartResult::OutcomeUnknown => self.outcome_unknown += 1,
        }
        self.since.get_or_insert(now);
    }

    pub fn count_stop(&mut self, now: Duration, ok: bool) {
        if !ok {
            self.outcome_unknown += 1;
            self.since.get_or_insert(now);
        }
    }

    fn log_if_due(&mut self, now: Duration) {
        if self.since.is_none_or(|since| now < since + FAILURE_SUMMARY_INTERVAL) {
            return;
        }
        let Failures { no_capacity, rate_limited, unknown_service, outcome_unknown, .. } =
            std::mem::take(self);
        warn!(
            "platform: {} calls failed in {} s: {no_capacity} no capacity, {rate_limited} rate limited, \
             {unknown_service} unknown service, {outcome_unknown} outcome unknown",
            no_capacity + rate_limited + unknown_service + outcome_unknown,
            FAILURE_SUMMARY_INTERVAL.as_secs()
        );
    }
}

/// Since when the platform's lists could not be read, and why.
pub(super) struct UnreadLists {
    instances_at: Duration,
    hosts_at: Duration,
    next_log: Duration,
    why: CallError,
}

impl UnreadLists {
    pub fn new(now: Duration) -> UnreadLists {
        UnreadLists {
            instances_at: now,
            hosts_at: now,
            next_log: now + UNREAD_LOGGED_AFTER,
            why: CallError::OutcomeUnknown,
        }
    }

    pub fn instances_read(&mut self, now: Duration, failed: Option<&CallError>) {
        match failed {
            Some(why) => self.why = *why,
            None => {
                self.instances_at = now;
                self.list_read();
            }
        }
    }

    pub fn hosts_read(&mut self, now: Duration, failed: Option<&CallError>) {
        match failed {
            Some(why) => self.why = *why,
            None => {
                self.hosts_at = now;
                self.list_read();
            }
        }
    }

    fn since(&self) -> Duration {
        self.instances_at.min(self.hosts_at)
    }

    fn list_read(&mut self) {
        self.next_log = self.next_log.min(self.since() + UNREAD_LOGGED_AFTER);
    }

    pub fn log_if_due(&mut self, now: Duration) {
        let since = self.since();
        if now < self.next_log || now < since + UNREAD_LOGGED_AFTER {
            return;
        }
        self.next_log = now + UNREAD_LOG_INTERVAL;
        let span = now.saturating_sub(since).as_secs();
        match self.why {
            CallError::Status(status) => warn!("platform: lists not read for {span} s: status {status}"),
            CallError::OutcomeUnknown => warn!("platform: lists not read for {span} s: no complete answer"),
        }
    }
}
