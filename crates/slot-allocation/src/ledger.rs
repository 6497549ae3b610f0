//! The ledger of one instance at its owner: which calls hold its slots, and when it grants none.

use crate::defects::{injected, Defect};
use crate::messages::GrantedSlot;
use crate::pool::{Entry, SlotRequest};
use crate::selection::InstanceStats;
use std::net::SocketAddr;
use std::time::Duration;

/// A grant expires this long after the end of its call, to allow for the reply's latency and for a slow
/// clock.
const EXPIRY_GRACE: Duration = Duration::from_millis(300);
/// A requester is queried about a grant that is held for this long, or for this many times the mean run time,
/// whichever is longer.
const CHECK_AFTER: Duration = Duration::from_millis(1000);
const CHECK_AFTER_RUNS: f64 = 8.0;

/// A granted slot.
#[derive(Debug, Clone)]
pub struct SlotGrant {
    pub to: SocketAddr,
    /// The incarnation of the requester's process. A later incarnation does not hold the slot, but the call
    /// may still run.
    pub incarnation: u32,
    pub seq: u32,
    pub since: Duration,
    pub until: Duration,
    pub priority: u8,
    /// When the requester is next asked whether it still holds the slot, and how often it has been asked.
    check_at: Duration,
    checks: u32,
}

impl SlotGrant {
    /// A slot that is granted now.
    pub fn new(now: Duration, request: &SlotRequest, mean_run: Duration) -> SlotGrant {
        SlotGrant {
            to: request.from,
            incarnation: request.incarnation,
            seq: request.seq,
            since: now,
            until: request.end + EXPIRY_GRACE,
            priority: request.priority,
            check_at: now + mean_run.mul_f64(CHECK_AFTER_RUNS).max(CHECK_AFTER),
            checks: 0,
        }
    }

    /// Whether this call holds the slot.
    pub fn matches(&self, from: SocketAddr, incarnation: u32, seq: u32) -> bool {
        self.to == from && self.seq == seq && self.incarnation == incarnation
    }

    /// A grant that its requester reports.
    pub fn reported(now: Duration, to: SocketAddr, incarnation: u32, seq: u32, left: Duration) -> SlotGrant {
        let (check_at, until) = (now + CHECK_AFTER, now + left + EXPIRY_GRACE);
        SlotGrant { to, incarnation, seq, since: now, until, priority: 0, check_at, checks: 0 }
    }

    /// The grant as it is handed over to a new owner.
    pub fn as_granted_slot(&self, now: Duration) -> GrantedSlot {
        let left = u32::try_from(self.until.saturating_sub(now).as_millis()).unwrap_or(u32::MAX);
        GrantedSlot { to: self.to, incarnation: self.incarnation, seq: self.seq, left }
    }

    /// A grant that a former owner handed over. It may have been returned there meanwhile, so its requester
    /// is queried soon.
    pub fn from_handover(
        now: Duration,
        to: SocketAddr,
        incarnation: u32,
        seq: u32,
        left: Duration,
    ) -> SlotGrant {
        SlotGrant {
            check_at: now + CHECK_AFTER / 4,
            until: now + left,
            ..SlotGrant::reported(now, to, incarnation, seq, left)
        }
    }

    /// Schedules the next check, with a growing interval.
    pub fn schedule_check(&mut self, now: Duration) {
        self.check_at = now + CHECK_AFTER / 4 * (1 << self.checks.min(2));
        self.checks += 1;
    }

    /// Schedules a check at once, unless the slot was granted just now.
    pub fn check_soon(&mut self, now: Duration) {
        if now >= self.since + CHECK_AFTER / 4 {
            (self.check_at, self.checks) = (now, 0);
        }
    }

    /// Whether the requester is to be asked now.
    pub fn is_check_due(&self, now: Duration) -> bool {
        now >= self.check_at
    }
}

/// The slots of one instance at its owner.
#[derive(Debug)]
pub struct InstanceLedger {
    pub entry: Entry,
    pub grants: Vec<SlotGrant>,
    /// No slots are granted before this time.
    pub paused_until: Duration,
    /// The former owner whose handover ends the pause.
    pub awaits: Option<SocketAddr>,
    /// When the first pause ends: grants made before are known from then on.
    pub complete_from: Duration,
    /// When the instance is next claimed from its former owner.
    pub claim_due: Duration,
    /// How often in a row it has not responded.
    pub silent: u32,
    /// When it was last dialled, while it starts.
    pub dialled: Duration,
    /// A dial has failed: the first connection that succeeds shows how long the start took.
    pub refused: bool,
    pub stats: InstanceStats,
}

impl InstanceLedger {
    pub fn new(entry: Entry, paused_until: Duration, grants: Vec<SlotGrant>) -> Self {
        let mut ledger = InstanceLedger {
            entry,
            grants,
            paused_until,
            awaits: None,
            complete_from: paused_until,
            claim_due: Duration::ZERO,
            silent: 0,
            dialled: Duration::ZERO,
            refused: false,
            stats: InstanceStats::default(),
        };
        // Grants kept from an earlier ownership may have been returned to another owner since.
        for grant in &mut ledger.grants {
            grant.check_at = Duration::ZERO;
        }
        ledger
    }

    /// Ends the wait for a handover; slots are granted from `paused_until` on.
    pub fn stop_waiting(&mut self, paused_until: Duration) {
        self.awaits = None;
        self.paused_until = self.paused_until.min(paused_until);
        self.complete_from = self.complete_from.min(paused_until);
    }

    /// Adds grants of a former owner that are not known yet.
    pub fn merge(&mut self, grants: Vec<SlotGrant>) {
        for grant in grants {
            if !self.grants.iter().any(|old| old.matches(grant.to, grant.incarnation, grant.seq)) {
                self.grants.push(grant);
            }
        }
    }

    /// No slots are granted before `then`.
    pub fn pause_until(&mut self, then: Duration) {
        self.paused_until = self.paused_until.max(then);
    }

    pub fn pause_end(&self) -> Duration {
        self.paused_until
    }

    /// For how much longer no slot is granted although the instance accepts calls.
    pub fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }

    /// Whether slots can be granted now.
    pub fn can_grant(&self, now: Duration) -> bool {
        (self.entry.accepts_calls || injected(Defect::DrainingGranted))
            && self.entry.ready
            && now >= self.paused_until
    }
}
