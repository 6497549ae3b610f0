//! A change of owner. The former owner of an instance stops lending it as it learns of the change, and hands its loans over;
//! the new one waits for that before it lends. A former owner that is silent is not taken for ended: silence of a process
//! short of processor, or behind a full link, is no end, and two that lend the same slots hand out more than there are.
//! The new owner asks for it (`Claims`), so that one that has nothing to hand over says so at once. The wait ends with the
//! handover, with proof that the former process has ended, or after `HANDOVER_TIMEOUT`.

use crate::lender::{Book, Entry, Loan};
use crate::owners::owner_among;
use crate::planted::{planted, Defect};
use crate::words::{kind as hash, Kind, Line, LoanedSlot, MAX_LOANED_SLOTS};
use crate::{Lending, Member, Order, AGAIN, RETURNING};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// A new owner waits at most so long for what the former one hands over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Without a former owner to wait for, requesters are given so long to tell what they hold.
const HEARING: Duration = Duration::from_millis(200);
/// The same while the members are those that were heard of: those of a zone hear of each other within this.
const PROVISIONAL_HEARING: Duration = Duration::from_millis(400);
/// A former owner that is claimed from, and has not learned of a change, lends the instance no more for so long. By then it has
/// learned of it, or the claim was by one that is behind.
const DISPUTED: Duration = Duration::from_millis(1200);
/// An instance that is first heard of so soon after a change of owners may have been lent by another.
const AFTER_CHANGE: Duration = Duration::from_secs(2);
/// What was handed over before this process knew that it is the owner is kept so long.
const EARLY: Duration = Duration::from_secs(1);
/// To whom an instance was handed over is remembered so long, for one that learns of two changes as one.
const GIVEN: Duration = Duration::from_secs(10);
/// Bounds of what is kept for that.
const MAX_EARLY: usize = 16_384;
const MAX_PENDING: usize = 16_384;
const MAX_GIVEN: usize = 16_384;

/// Why the owners are looked at again.
pub(crate) enum Cause<'a> {
    /// Other instances, or another configuration.
    News,
    /// Other members; these were the former ones.
    Members(&'a [Member]),
    /// A member's process has ended, or speaks again.
    Evidence,
}

/// How a new owner begins with an instance.
pub(crate) struct Beginning {
    /// It lends nothing before.
    pub rests: Duration,
    /// The former owner whose handover ends the rest.
    pub awaits: Option<SocketAddr>,
}

/// A handover that was not acknowledged yet.
pub(crate) struct Pending {
    to: SocketAddr,
    kind: Kind,
    instance: String,
    loans: Vec<Loan>,
    complete: bool,
    sent: Duration,
    tries: u32,
    began: Duration,
}

/// Loans that were handed over before this process knew itself to be the owner.
pub(crate) struct Early {
    came: Duration,
    complete: bool,
    pub loans: Vec<Loan>,
}

impl Lending {
    /// How this process begins with an instance that it owns from now on.
    pub(crate) fn beginning(&self, entry: &Entry, boot: Duration, cause: &Cause) -> Beginning {
        let now = self.now;
        let at_once = Beginning { rests: Duration::ZERO, awaits: None };
        let span = if self.owners.is_provisional() { PROVISIONAL_HEARING } else { HEARING };
        let hearing = Beginning { rests: now + span, awaits: None };
        // One that has just begun has been lent by nobody. One that began before this process did may have been.
        let young = entry.since > Duration::ZERO;
        let fresh = young && !entry.ready && now < entry.since + boot.mul_f64(0.5);
        if fresh || planted(Defect::LendsAtOnce) {
            return at_once;
        }
        if let Some(early) = self.early.get(&entry.instance) {
            return if early.complete { at_once } else { hearing };
        }
        let former = match cause {
            Cause::News if now >= self.began.max(self.changed) + AFTER_CHANGE => return at_once,
            Cause::Evidence => return hearing,
            Cause::News => &self.former,
            Cause::Members(former) => *former,
        };
        match self.former_owner(former, entry) {
            Some(at) if !self.is_gone_for_sure(at) && !planted(Defect::HandoverNotAwaited) => {
                Beginning { rests: now + HANDOVER_TIMEOUT, awaits: Some(at) }
            }
            _ => hearing,
        }
    }

    /// Who owned it under the former members. A process that was not among them asks who would without it.
    fn former_owner(&self, former: &[Member], entry: &Entry) -> Option<SocketAddr> {
        let was_member = former.iter().any(|member| member.at == self.me);
        let others = || self.owners.members().iter().filter(|member| member.at != self.me);
        let owner = match was_member {
            true => owner_among(former.iter(), entry.kind, &entry.zone),
            false => owner_among(others(), entry.kind, &entry.zone),
        };
        owner.filter(|at| *at != self.me)
    }

    /// Its process has ended; or it is no member any more, and silent here as well.
    fn is_gone_for_sure(&self, at: SocketAddr) -> bool {
        let is_member = self.owners.member(at).is_some();
        self.owners.has_ended(at) || (!is_member && self.passed_over.contains_key(&at))
    }

    /// Former owners that are waited for, and are no members any more: if their processes have ended nothing will come.
    pub(crate) fn probe_former_owners(&mut self) {
        let awaited: BTreeSet<SocketAddr> =
            self.shelves.values().flat_map(|shelf| &shelf.books).filter_map(|book| book.awaits).collect();
        let left = awaited.into_iter().filter(|at| self.owners.member(*at).is_none());
        self.orders.extend(left.map(|owner| Order::Probe { owner }));
    }

    /// Connections to the process at this address are refused.
    pub fn has_ended(&mut self, now: Duration, owner: SocketAddr) {
        self.now = now;
        let news = self.owners.note_refusal(now, owner);
        self.look_for_isolation();
        if news && self.owners.has_ended(owner) {
            self.lives.ended(self.awake, owner);
            self.owners_changed();
            self.ask_anew(|_, to| to == owner);
        }
        let is_member = self.owners.member(owner).is_some();
        if is_member && !self.owners.has_ended(owner) {
            return self.pump();
        }
        for shelf in self.shelves.values_mut() {
            for book in shelf.books.iter_mut().filter(|book| book.awaits == Some(owner)) {
                book.stop_waiting(now + HEARING);
            }
        }
        self.pump();
    }

    /// Other members count as ended than before.
    pub(crate) fn owners_changed(&mut self) {
        self.arrange(Cause::Evidence);
        self.tell_new_lenders(&Default::default());
    }

    /// A book that another owns from now on.
    pub(crate) fn hand_over(&mut self, book: &Book) {
        let entry = &book.entry;
        let Some(to) = self.owners.owner(entry.kind, &entry.zone).filter(|at| *at != self.me) else { return };
        if !self.entries.contains_key(&entry.instance) || planted(Defect::NothingHandedOver) {
            return;
        }
        self.pending.retain(|pending| pending.instance != entry.instance);
        let complete = self.now >= book.settled;
        // One that has waited for it itself has nothing to say but for whom.
        if let Some(former) = book.awaits {
            return self.note_given(&entry.instance, former);
        }
        if self.pending.len() >= MAX_PENDING {
            return;
        }
        let now = self.now;
        let pending = Pending {
            to,
            kind: entry.kind,
            instance: entry.instance.clone(),
            loans: book.loans.clone(),
            complete,
            sent: now,
            tries: 1,
            began: now,
        };
        let line = self.handover_line(&pending);
        self.note_given(&pending.instance, to);
        self.pending.push(pending);
        self.say(to, line);
    }

    fn note_given(&mut self, instance: &str, owner: SocketAddr) {
        if self.given.len() < MAX_GIVEN {
            self.given.insert(instance.to_string(), (owner, self.now));
        }
    }

    /// Who may know more of an instance than this process: the one that it was handed to, or that owned it, as far as is known
    /// here, before the last change. One that has learned of two changes as one never owned what it is asked for.
    fn next_to_ask(&self, from: SocketAddr, kind: Kind, instance: &str) -> Option<SocketAddr> {
        let given = self.given.get(instance).map(|(owner, _)| *owner);
        let owned = || owner_among(self.former.iter(), kind, &self.entries.get(instance)?.zone);
        given.or_else(owned).filter(|at| *at != from && *at != self.me)
    }

    /// Instances that this process waits for are claimed from their former owners, now and then.
    pub(crate) fn claim(&mut self) {
        let now = self.now;
        let mut claims = Vec::new();
        for book in self.shelves.values_mut().flat_map(|shelf| &mut shelf.books) {
            let Some(former) = book.awaits.filter(|_| now >= book.claim_due) else { continue };
            book.claim_due = now + AGAIN;
            if now >= book.rests_until() {
                book.awaits = None;
                continue;
            }
            claims.push((
                former,
                Line::Claims { kind: book.entry.kind, instance: book.entry.instance.clone() },
            ));
        }
        for (former, line) in claims {
            self.say(former, line);
        }
    }

    /// Another says that it owns an instance from now on. Who still is its owner, by the members known here, hands it over
    /// when it learns that it is not.
    pub(crate) fn claimed(&mut self, from: SocketAddr, kind: Kind, instance: String) {
        let entry = self.entries.get(&instance);
        if entry.is_some_and(|entry| self.lender(kind, &entry.zone) == Some(self.me)) {
            return self.rest_disputed(kind, &instance);
        }
        if let Some(owner) = self.next_to_ask(from, kind, &instance) {
            return self.say(from, Line::GaveTo { kind, instance, owner });
        }
        // What was handed over to this process goes on with it.
        let early = self.early.remove(&instance).map(|early| early.loans).unwrap_or_default();
        let loans = self.parked.get(&instance).into_iter().flatten().chain(&early);
        let loans = loans.take(MAX_LOANED_SLOTS).map(|loan| loan.as_told(self.now)).collect();
        self.say(from, Line::HandsOver { kind, instance, loans, complete: true });
    }

    /// Another claims what this one owns as far as it knows. One of the two is behind, and the claimer lends after its wait.
    fn rest_disputed(&mut self, kind: Kind, instance: &str) {
        if planted(Defect::ClaimsIgnored) {
            return;
        }
        let Some(shelf) = self.shelves.get_mut(&kind) else { return };
        if let Some(book) = shelf.books.iter_mut().find(|book| book.entry.instance == instance) {
            book.rest_until(self.now + DISPUTED);
        }
    }

    /// The one that is waited for has handed the instance over to another before.
    pub(crate) fn gave_to(&mut self, from: SocketAddr, kind: Kind, instance: &str, owner: SocketAddr) {
        let Some(shelf) = self.shelves.get_mut(&kind) else { return };
        let book = shelf.books.iter_mut().find(|book| book.entry.instance == instance);
        let Some(book) = book.filter(|book| book.awaits == Some(from)) else { return };
        if owner != self.me {
            (book.awaits, book.claim_due) = (Some(owner), Duration::ZERO);
        }
    }

    fn handover_line(&self, pending: &Pending) -> Line {
        let slot = |loan: &Loan| loan.as_told(self.now);
        let loans = pending.loans.iter().take(MAX_LOANED_SLOTS).map(slot).collect();
        let (kind, instance, complete) = (pending.kind, pending.instance.clone(), pending.complete);
        Line::HandsOver { kind, instance, loans, complete }
    }

    /// Handovers that were not acknowledged are sent again.
    pub(crate) fn hand_over_again(&mut self) {
        let now = self.now;
        self.pending.retain(|pending| now <= pending.began + RETURNING);
        let mut due = Vec::new();
        for (index, pending) in self.pending.iter_mut().enumerate() {
            if now >= pending.sent + AGAIN * (1 << (pending.tries - 1).min(4)) {
                (pending.sent, pending.tries) = (now, pending.tries + 1);
                due.push(index);
            }
        }
        for index in due {
            let pending = &self.pending[index];
            let (to, line) = (pending.to, self.handover_line(pending));
            self.say(to, line);
        }
        self.early.retain(|_, early| now <= early.came + EARLY);
        self.given.retain(|_, (_, at)| now <= *at + GIVEN);
    }

    /// A former owner says what it has lent, and that it lends no more. Where that is not all (`complete`), since it was not the
    /// owner for long, requesters are given time to tell the rest.
    pub(crate) fn taken_over(
        &mut self,
        from: SocketAddr,
        kind: Kind,
        instance: String,
        slots: Vec<LoanedSlot>,
        complete: bool,
    ) {
        let now = self.now;
        self.say(from, Line::TookOver { instance: hash(&instance) });
        let told = |slot: &LoanedSlot| {
            let left = Duration::from_millis(slot.left.into());
            Loan::handed_over(now, slot.to, slot.life, slot.seq, left)
        };
        let over =
            |slot: &&LoanedSlot| slot.left > 0 && !self.over.holds_nothing(&(slot.to, slot.life, slot.seq));
        let loans: Vec<Loan> = slots.iter().filter(over).map(told).collect();
        let shelf = self.shelves.get_mut(&kind);
        match shelf.and_then(|shelf| shelf.books.iter_mut().find(|book| book.entry.instance == instance)) {
            Some(book) => {
                book.merge(loans);
                if book.awaits.is_some() {
                    book.stop_waiting(if complete { now } else { now + HEARING });
                }
            }
            None if self.early.len() < MAX_EARLY => {
                self.early.insert(instance, Early { came: now, complete, loans });
            }
            None => {}
        }
        self.serve(kind);
    }

    /// A handover was acknowledged.
    pub(crate) fn handed_over(&mut self, from: SocketAddr, instance: u32) {
        self.pending.retain(|pending| pending.to != from || hash(&pending.instance) != instance);
    }
}
