//! The leadership lease: at most one holder at a time, by grants of a majority that expire on their own.
//!
//! The holder counts its term from before it sent the request, minus a tenth; a voter considers itself bound
//! for a tenth longer than the term, from when it granted. Clocks may therefore drift by a tenth against each
//! other. Source: Gray and Cheriton, "Leases" (1989).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::defects::{injected, Defect};
use crate::voters::{VoterTable, VoterTables, DISK_RETRY_AFTER};
use crate::{ControlStore, Message, Stored};

pub const LEASE_TERM: Duration = Duration::from_millis(900);
const RENEW_INTERVAL: Duration = Duration::from_millis(350);
/// A round without a majority by then has failed.
const ROUND_TIMEOUT: Duration = Duration::from_millis(300);
/// Until then, missing grants are requested again at this interval: a voter may have been bound to a round
/// that has ended since.
const REQUEST_RESEND_AFTER: Duration = Duration::from_millis(80);
/// Far below the integer limit, and exact in a double.
const MAX_LEASE_NUMBER: u64 = 1 << 52;
const NUMBER_STEP: u64 = 4096;

/// A voter considers itself bound for a tenth longer than the term, as its clock may be the faster one.
fn voter_term() -> Duration {
    if injected(Defect::LeaseIgnoresDrift) {
        return LEASE_TERM;
    }
    LEASE_TERM.mul_f64(1.1)
}

/// The holder counts a tenth less than the term, as its clock may be the slower one.
fn holder_term() -> Duration {
    if injected(Defect::LeaseIgnoresDrift) {
        return LEASE_TERM;
    }
    LEASE_TERM.mul_f64(0.9)
}

pub(crate) struct Granted {
    to: SocketAddr,
    number: u64,
    until: Duration,
}

struct Pending {
    token: u64,
    from: SocketAddr,
    number: u64,
    stamp: u64,
}

/// This member's own attempt to get the lease, or the lease it holds.
struct Round {
    number: u64,
    stamp: u64,
    requested_at: Duration,
    renew_at: Duration,
    /// The round fails if the lease is not held by then.
    fail_at: Duration,
    granted: BTreeSet<SocketAddr>,
    /// The table for the next epoch that some voter accepted, with the highest number.
    highest_accepted: Option<VoterTable>,
    until: Option<Duration>,
}

#[derive(Default)]
pub(crate) struct Lease {
    /// The highest number promised.
    pub number: u64,
    pub on_disk: u64,
    /// The highest number this member itself promised: `number` may have been read from others.
    own_promised: u64,
    /// No new grants before this time.
    pub grants_from: Duration,
    pub try_at: Duration,
    granted: Option<Granted>,
    pending: Option<Pending>,
    storing: Option<(u64, u64)>,
    /// When to retry after a failed write of a number; checked by `catch_up`.
    pub disk_retry_at: Duration,
    round: Option<Round>,
    stamp: u64,
    /// The number of the last released round: its requests may still arrive late.
    released: u64,
    /// The highest number seen in any message.
    highest_seen: u64,
    /// The last known holder, its number, and when it was last confirmed.
    pub holder: Option<(SocketAddr, u64, Duration)>,
}

impl Lease {
    pub fn new(number: u64, on_disk: u64, grants_from: Duration) -> Lease {
        Lease { number, on_disk, own_promised: on_disk, grants_from, ..Lease::default() }
    }

    pub fn is_own_round(&self, number: u64) -> bool {
        self.round.as_ref().is_some_and(|round| round.number == number)
    }

    /// Forgets grants and rounds, but not the numbers: they are on disk.
    pub fn forget(&mut self) {
        (self.granted, self.pending, self.round, self.holder) = (None, None, None, None);
    }

    /// Whether this member has a round in progress or holds the lease.
    pub fn has_round(&self) -> bool {
        self.round.is_some()
    }

    pub fn due(&self) -> Duration {
        match &self.round {
            Some(round) => round.renew_at.min(round.until.unwrap_or(round.fail_at)),
            None => self.try_at,
        }
    }
}

impl ControlStore {
    /// The number of the lease this member holds at this moment.
    pub fn lease_number(&self, now: Duration) -> Option<u64> {
        self.lease_held(now).filter(|_| !self.is_bootstrapping())
    }

    /// Like `lease_number`, but includes the lease for bootstrapping.
    pub(crate) fn lease_held(&self, now: Duration) -> Option<u64> {
        let round = self.lease.round.as_ref()?;
        round.until.filter(|until| now < *until || injected(Defect::IgnoresLeaseExpiry)).map(|_| round.number)
    }

    /// By this member's steady clock.
    pub fn lease_until(&self) -> Option<Duration> {
        self.lease.round.as_ref()?.until
    }

    /// The last known lease holder and its number. That lease may have expired.
    pub fn holder(&self) -> Option<(SocketAddr, u64)> {
        self.lease.holder.map(|(at, number, _)| (at, number)).filter(|_| !self.is_bootstrapping())
    }

    pub(crate) fn note_holder(&mut self, now: Duration, at: SocketAddr, number: u64) {
        if self.lease.holder.is_none_or(|(_, before, _)| number >= before) {
            self.lease.holder = Some((at, number, now));
        }
    }

    pub(crate) fn note_number(&mut self, number: u64) {
        if number < MAX_LEASE_NUMBER {
            self.lease.highest_seen = self.lease.highest_seen.max(number);
        }
    }

    /// How long this member is bound by its grants, and so may not request the lease itself.
    fn bound_until(&self, now: Duration) -> Option<Duration> {
        let granted = self.lease.granted.as_ref().filter(|granted| granted.to != self.settings.me);
        let from =
            if injected(Defect::ForgetsGrantsOnRestart) { Duration::ZERO } else { self.lease.grants_from };
        let until = granted.map_or(from, |granted| granted.until.max(from));
        (now < until).then_some(until)
    }

    pub(crate) fn step_lease(&mut self, now: Duration) {
        if let Some(round) = &self.lease.round {
            let ended = match round.until {
                Some(until) => now >= until,
                None => now >= round.fail_at,
            };
            if ended {
                self.release_lease();
                let after = self.bound_until(now).unwrap_or(now + Duration::from_millis(50));
                self.lease.try_at = after + self.random_delay(250);
            } else if now >= round.renew_at && round.until.is_some() {
                self.send_lease_requests(now);
            } else if now >= round.renew_at {
                self.request_missing_grants(now);
            }
            return;
        }
        let may = self.ready && self.is_voting() && !self.leaving && self.incoming.is_none();
        if !may || now < self.lease.try_at {
            return;
        }
        // Two members that request in turn, each while bound to the other's last round, would repeat this for
        // seconds.
        if let Some(until) = self.bound_until(now) {
            self.lease.try_at = until + self.random_delay(250);
            return;
        }
        let Some(base) = self.tables.as_ref().map(|tables| &tables.base) else { return };
        let Some(index) = base.voters.iter().position(|voter| voter.at == self.settings.me) else { return };
        let since = if base.epoch == 0 { base.seeds_digest() } else { base.voters[index].since };
        let highest = self.lease.highest_seen.max(self.lease.number);
        let number = (highest / NUMBER_STEP + 1) * NUMBER_STEP + since % 64 * 64 + index as u64;
        if number >= MAX_LEASE_NUMBER {
            return;
        }
        self.note_number(number);
        self.lease.round = Some(Round {
            number,
            stamp: 0,
            requested_at: now,
            renew_at: now + REQUEST_RESEND_AFTER,
            fail_at: now + ROUND_TIMEOUT,
            granted: BTreeSet::new(),
            highest_accepted: None,
            until: None,
        });
        self.send_lease_requests(now);
    }

    pub(crate) fn send_lease_requests(&mut self, now: Duration) {
        let Some(base) = self.tables.as_ref().map(|tables| tables.base.epoch) else { return };
        self.lease.stamp += 1;
        let stamp = self.lease.stamp;
        let Some(round) = &mut self.lease.round else { return };
        round.stamp = stamp;
        round.requested_at = now;
        round.renew_at = now + if round.until.is_some() { RENEW_INTERVAL } else { REQUEST_RESEND_AFTER };
        round.granted.clear();
        let (number, held) = (round.number, round.until.is_some());
        if held {
            self.note_holder(now, self.settings.me, number);
        }
        let mut to = self.others();
        to.push(self.settings.me);
        for at in to {
            self.send(at, Message::LeaseRequest { number, stamp, base, held });
        }
    }

    /// Uses the same stamp, so that the term still counts from before the first request.
    fn request_missing_grants(&mut self, now: Duration) {
        let Some(base) = self.tables.as_ref().map(|tables| tables.base.epoch) else { return };
        let mut to = self.others();
        to.push(self.settings.me);
        let Some(round) = &mut self.lease.round else { return };
        round.renew_at = now + REQUEST_RESEND_AFTER;
        let (number, stamp) = (round.number, round.stamp);
        to.retain(|at| !round.granted.contains(at));
        for at in to {
            self.send(at, Message::LeaseRequest { number, stamp, base, held: false });
        }
    }

    /// Ends this member's round and releases the voters that granted it.
    pub(crate) fn release_lease(&mut self) {
        if let Some(round) = self.lease.round.take() {
            let mut to = self.others();
            to.push(self.settings.me);
            for at in to {
                self.send(at, Message::LeaseRelease { number: round.number });
            }
        }
    }

    pub(crate) fn receive_lease_release(&mut self, now: Duration, from: SocketAddr, number: u64) {
        self.lease.released = number;
        if self.lease.granted.as_ref().is_some_and(|held| held.to == from && held.number == number) {
            self.lease.granted = None;
            if from != self.settings.me && self.lease.round.is_none() {
                self.lease.try_at = self.lease.try_at.min(now + self.random_delay(250));
            }
        }
        if self.lease.pending.as_ref().is_some_and(|held| held.from == from && held.number == number) {
            self.lease.pending = None;
        }
        if from != self.settings.me
            && self.lease.holder.is_some_and(|(at, held, _)| at == from && held == number)
        {
            self.lease.try_at = self.lease.try_at.min(now + self.random_delay(100));
        }
    }

    pub(crate) fn receive_lease_request(
        &mut self,
        now: Duration,
        from: SocketAddr,
        number: u64,
        stamp: u64,
        base: u64,
        held: bool,
    ) {
        if number >= MAX_LEASE_NUMBER || number == self.lease.released {
            return;
        }
        let epoch = self.table_version().epoch;
        if held {
            self.note_holder(now, from, number);
            if from != self.settings.me {
                self.lease.try_at = self.lease.try_at.max(now + voter_term() + self.random_delay(250));
            }
        }
        if base < epoch {
            self.send_table(now, from);
        }
        if base > epoch {
            self.send_state(from, 0);
        }
        let seed = |tables: &VoterTables| tables.base.epoch > 0 || tables.base.voter(from).is_some();
        if base != epoch
            || !self.is_voting()
            || self.incoming.is_some()
            || !self.tables.as_ref().is_some_and(seed)
        {
            return;
        }
        let live = self.lease.granted.as_ref().filter(|granted| now < granted.until);
        // A holder is bound to itself even if its disk was too slow for its own grant.
        let own_lease = self.lease_until().filter(|until| now < *until && from != self.settings.me);
        let bound = live.filter(|granted| granted.to != from).map(|granted| granted.until).max(own_lease);
        let bound = bound.map(|until| until.saturating_sub(now));
        // Under a number that it promised before a restart, it grants again at once. A number that it only
        // read may have been promised by the requesting member alone, while a grant by the voter it replaced
        // is still valid.
        let granted_before =
            number == self.lease.own_promised || held || injected(Defect::GrantsUnderReadNumber);
        let repeated = number == self.lease.number && granted_before;
        let restart_wait =
            (now < self.lease.grants_from && !repeated && !injected(Defect::ForgetsGrantsOnRestart))
                .then(|| self.lease.grants_from.saturating_sub(now));
        let lower = (number < self.lease.number).then(|| bound.unwrap_or_default());
        let busy = (self.lease.storing.is_some()).then_some(Duration::from_millis(20));
        let same = live.is_some_and(|granted| granted.to == from && granted.number == number);
        let busy = busy.filter(|_| !same);
        if let Some(left) = lower.or(bound).or(restart_wait).or(busy) {
            let left_ms = left.as_millis().min(10_000) as u32;
            return self.send(from, Message::LeaseRefusal { number, highest: self.lease.number, left_ms });
        }
        if number > self.lease.on_disk {
            (self.lease.number, self.lease.own_promised) = (number, number);
            let token = self.store_number();
            self.lease.pending = Some(Pending { token, from, number, stamp });
        } else {
            self.grant(now, from, number, stamp);
        }
    }

    fn grant(&mut self, now: Duration, to: SocketAddr, number: u64, stamp: u64) {
        self.lease.granted = Some(Granted { to, number, until: now + voter_term() });
        if to != self.settings.me {
            self.lease.try_at = self.lease.try_at.max(now + voter_term() + self.random_delay(250));
        }
        let Some(tables) = &self.tables else { return };
        let (base, next) = (tables.base.epoch, tables.next.clone());
        self.send(to, Message::LeaseGrant { number, stamp, base, next });
    }

    pub(crate) fn store_number(&mut self) -> u64 {
        if let Some((token, number)) = self.lease.storing {
            if number >= self.lease.number {
                return token;
            }
        }
        let number = self.lease.number;
        let token = self.store(Stored::LeaseNumber(number));
        self.lease.storing = Some((token, number));
        token
    }

    pub(crate) fn number_stored(&mut self, now: Duration, token: u64, ok: bool) -> bool {
        let Some((_, number)) = self.lease.storing.filter(|(mine, _)| *mine == token) else { return false };
        self.lease.storing = None;
        if !ok {
            self.lease.disk_retry_at = now + DISK_RETRY_AFTER;
        }
        let pending = self.lease.pending.take_if(|pending| pending.token == token);
        if ok {
            self.lease.on_disk = self.lease.on_disk.max(number);
            if let Some(pending) =
                pending.filter(|pending| pending.number >= self.lease.number && self.is_voting())
            {
                self.grant(now, pending.from, pending.number, pending.stamp);
            }
        }
        true
    }

    pub(crate) fn receive_lease_refusal(&mut self, now: Duration, number: u64, highest: u64, left_ms: u32) {
        self.note_number(highest);
        let Some(round) = self.lease.round.as_ref().filter(|round| round.number == number) else { return };
        if round.until.is_some() {
            return;
        }
        if highest > number && left_ms > 0 {
            // Another member requests a higher number at the same time, and would wait for the grant this
            // member gave itself.
            self.release_lease();
            self.lease.try_at = now + ROUND_TIMEOUT + self.random_delay(250);
        } else {
            let earliest = now + Duration::from_millis(u64::from(left_ms)) + self.random_delay(100);
            self.lease.try_at = self.lease.try_at.max(earliest);
        }
    }

    pub(crate) fn receive_lease_grant(
        &mut self,
        now: Duration,
        from: SocketAddr,
        number: u64,
        stamp: u64,
        base: u64,
        next: Option<VoterTable>,
    ) {
        let Some(tables) = self.tables.clone().filter(|tables| tables.base.epoch == base) else { return };
        let Some(round) = &mut self.lease.round else { return };
        if round.number != number || round.stamp != stamp {
            return;
        }
        round.granted.insert(from);
        if let Some(next) = next.filter(|next| next.epoch == base + 1 && next.number < number) {
            if round.highest_accepted.as_ref().is_none_or(|accepted| accepted.number < next.number) {
                round.highest_accepted = Some(next);
            }
        }
        let granted = &round.granted;
        if !tables.base.has_quorum(|at| granted.contains(&at)) {
            return;
        }
        // Paxos: a table that may have been accepted is proposed again under this number before anything
        // else.
        let mine = tables.next.as_ref().is_some_and(|next| next.number == number);
        if let Some(highest_accepted) =
            round.highest_accepted.clone().filter(|accepted| accepted.epoch == base + 1 && !mine)
        {
            round.fail_at = round.fail_at.max(now + ROUND_TIMEOUT);
            if self.incoming.is_none() && number >= self.lease.number {
                let next = VoterTable { number, ..highest_accepted };
                let tables = VoterTables { base: tables.base, next: Some(next) };
                if tables.is_well_formed() {
                    self.install_tables(tables);
                }
            }
            return;
        }
        // Members that are not seeds have no vote before the first table exists.
        let joint = tables.next.as_ref().filter(|_| base > 0);
        if joint.is_some_and(|next| !next.has_quorum(|at| granted.contains(&at))) {
            return;
        }
        // This member has promised a higher number itself: it would hold the lease but could never change the
        // voters.
        if round.until.is_none() && number < self.lease.number {
            self.lease.try_at = now + Duration::from_millis(50);
            return self.release_lease();
        }
        let until = if injected(Defect::LeaseTermFromGrantArrival) {
            now + LEASE_TERM.mul_f64(1.2)
        } else {
            round.requested_at + holder_term()
        };
        let first = round.until.is_none();
        round.until = Some(round.until.map_or(until, |before| before.max(until)));
        if first {
            self.note_holder(now, self.settings.me, number);
            self.broadcast = true;
        }
    }
}
