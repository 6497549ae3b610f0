//! The control state of the system's core machines (its archives, three to nine of them), decided without
//! I/O: inputs carry the time, orders are pulled until there are none, chance is seeded.
//!
//! - `voters`: which members count (a table of at most nine), how it is changed;
//! - `bootstrap`: how the seeds agree on the first table;
//! - `register`: the operator's configuration, at a majority of the voters, synced there, read back from a majority;
//! - `transfer`: long texts in pieces;
//! - `lease`: the lease, held by one member at a time under a number that grows;
//! - `files`: the disk, the only I/O here.
//!
//! There is no log and no leader for configurations: any member takes one and proposes it under a ballot of its own, a majority
//! chooses, and what was chosen under a revision never changes. All times are `Duration`s on one steady clock of the caller, from any start.
//!
//! After any input (`receive`, `stored`, `replace`, `show`, `tick`, `leave`), `next` is called until it gives
//! nothing; `tick` is due at `next_due`. `Action::Store` is to be done in order, file and folder synced, and
//! reported by `stored`. `committed` changes only within these calls.

mod bootstrap;
pub mod files;
mod lease;
mod lost_disk;
mod planted;
mod register;
mod status;
#[cfg(test)]
mod tests;
mod transfer;
mod voters;
mod wire;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use lease::LEASE_TERM;
pub use register::{digest, Ballot, Configuration, Version};
pub use status::{MemberStatus, Role, Status};
pub use transfer::{Piece, PieceReceived};
pub use voters::{TableVersion, Voter, VoterTable, VoterTables, MAX_VOTERS};

/// Members without a seat that counts say Join so often.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Each member tells half of the others its state so often, in turn: so two members hear each other every
/// 0.8 s, and `in_touch` lasts over a lost message or none.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const CONTACT_WINDOW: Duration = Duration::from_millis(1600);
/// Contact older than this may end before the next heartbeat: answers are asked for.
const CONTACT_RENEWED_AFTER: Duration = Duration::from_millis(1100);
/// An incarnation that was replaced isn't believed again before: its last messages may still be on their way.
const STALE_INCARNATION_WINDOW: Duration = Duration::from_millis(1500);
const MAX_PEERS: usize = 64;
const PEER_EXPIRY: Duration = Duration::from_secs(10);
const MAX_ACTIONS: usize = 4096;
/// Of `Envelope`: another one isn't understood. 1 was without this number, and without ballots; 2 without `votes_from`.
pub const WIRE_VERSION: u16 = 3;

#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The address others know this member by (as `seed_peers` has it).
    pub me: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// `initial_boot`.
    pub initial: bool,
    pub seed: u64,
    /// Another number for each start of the process; not 0.
    pub incarnation: u64,
}

/// What the disk held at the start: see `files`.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    pub voters: Option<VoterTables>,
    pub configuration: Option<Configuration>,
    /// The highest ballot promised, but for that of `configuration`.
    pub promised: Ballot,
    pub lease_number: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stored {
    Configuration(Configuration),
    Voters(VoterTables),
    LeaseNumber(u64),
    Promise(Ballot),
}

/// What members say to each other; postcard on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// `WIRE_VERSION` of the sender.
    pub version: u16,
    /// Of the sender.
    pub incarnation: u64,
    /// The incarnation the sender last heard from the one it speaks to, or 0: shows that it heard of this start.
    pub echo: u64,
    pub what: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a member whose voter doesn't count yet, or that has none. Answered with `MemberState`, and `Table`.
    Join {
        mark: TableVersion,
    },
    MemberState(Box<MemberState>),
    /// Answered with `MemberState` bearing the same number.
    ReadRequest {
        ask: u64,
    },
    /// A proposal. Acknowledged by a `MemberState` that has it as `saved`, or answered with `Reject`.
    Replicate(Configuration),
    /// Answered with `Learn`, `Replicate`, or both.
    Fetch,
    /// Acknowledged by a `MemberState` with its mark.
    Table(VoterTables),
    LeaseRequest {
        number: u64,
        stamp: u64,
        base: u64,
        held: bool,
    },
    LeaseGrant {
        number: u64,
        stamp: u64,
        base: u64,
        next: Option<VoterTable>,
    },
    LeaseRefusal {
        number: u64,
        highest: u64,
        left_ms: u32,
    },
    /// The round or lease of this number is over.
    LeaseRelease {
        number: u64,
    },
    /// Join from a member that has lost nothing and was there at the first start.
    JoinFirstStart,
    /// A round begins, under the settled table of this version. Answered with `Promise` or `Reject`.
    Prepare {
        ballot: Ballot,
        table: TableVersion,
    },
    /// On the sender's disk: it accepts nothing below the ballot. With what it has accepted, and what it knows
    /// to be chosen.
    Promise {
        ballot: Ballot,
        accepted: Version,
        chosen: Version,
    },
    /// The sender has promised a higher ballot.
    Reject {
        ballot: Ballot,
        promised: Ballot,
    },
    /// Known to be chosen.
    Learn(Configuration),
    /// From a member whose voter was given away, or is to be.
    Departure {
        state: Box<MemberState>,
        /// The last epoch in which the sender counted as a voter, if it is none any more, or 0.
        counted: u64,
        /// It has received SIGTERM. Answered with `MemberState`.
        leaving: bool,
    },
    /// `Table` with a new voter in its `next`, and what `Seated` says of it: accepted together.
    Proposal {
        tables: VoterTables,
        at: SocketAddr,
        incarnation: u64,
    },
    /// Of a new voter, and handed on to it: in which of its incarnations it was heard before its table was settled.
    Seated {
        epoch: u64,
        at: SocketAddr,
        incarnation: u64,
    },
    /// Of a configuration too long for one message. Acknowledged by `PieceReceived`.
    Piece(Piece),
    PieceReceived(PieceReceived),
    /// What the sender has, and the proof that the two hear each other.
    Heartbeat {
        state: Box<MemberState>,
        /// The sender's steady clock, in microseconds.
        stamp: u64,
        /// The last stamp of the receiver that the sender has, or 0.
        echo_stamp: u64,
        /// Whether it is to be answered at once.
        reply: bool,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "wire::WireState", into = "wire::WireState")]
pub struct MemberState {
    pub mark: TableVersion,
    /// Whether the sender has a seat and what it lost, if anything, is back.
    pub counts: bool,
    /// On its disk.
    pub saved: Version,
    /// In its memory.
    pub held: Version,
    /// Known to be at a majority.
    pub committed: Version,
    /// The highest ballot it promised: on its disk, or about to be.
    pub promised: Ballot,
    /// What it saved under a lower ballot is a copy that it read, not its vote.
    pub votes_from: Ballot,
    /// The highest lease number it promised.
    pub number: u64,
    /// The lease's holder, heard by the sender itself within a voter's term.
    pub holder: Option<(SocketAddr, u64)>,
    /// The question this answers, or 0.
    pub ask: u64,
}

impl MemberState {
    /// Whether the sender accepted this version, and has it on its disk.
    fn votes_for(&self, version: Version) -> bool {
        self.saved == version && version.ballot >= self.votes_from
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Send { to: SocketAddr, envelope: Envelope },
    Store { token: u64, what: Stored },
    Answer { call: u64, outcome: Outcome },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// At a majority of disks, or overtaken by a higher revision that is.
    Acknowledged,
    /// Nothing changed: this version, of a higher revision, was chosen by a majority.
    Superseded(Version),
    /// Nothing changed: this version, another text under the same revision, was chosen by a majority.
    Conflict(Version),
    /// Unclear: it may or may not be in force. To be sent again.
    Unavailable { retry_after_ms: u32 },
    /// `show`: no configuration was ever taken.
    Empty,
    /// `show`: the newest.
    Found(Configuration),
    /// This member doesn't count; that one does, as far as is known.
    Redirect(SocketAddr),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub incarnation: u64,
    before: Option<(u64, Duration)>,
    pub heard: Option<Duration>,
    pub join_at: Option<Duration>,
    /// Said so in this incarnation.
    pub first: bool,
    pub join_since: Duration,
    /// The most it has said in this incarnation.
    pub state: MemberState,
    pub state_at: Option<Duration>,
    /// Its last stamp.
    pub stamp: u64,
    /// When this member sent what that one has answered since: both ways work, or did then.
    pub contact_at: Option<Duration>,
    /// When it last said its state knowing of this member's present incarnation.
    pub echoed_at: Option<Duration>,
    pub put_at: Option<Duration>,
    pub fetch_at: Option<Duration>,
    pub told: Option<(Duration, TableVersion)>,
    /// It said in this incarnation that it leaves.
    pub leaving: bool,
    /// The last epoch in which it counted, if its voter was given away in this incarnation.
    pub counted: u64,
}

pub struct ControlStore {
    pub(crate) setup: MemberSettings,
    pub(crate) started: Duration,
    now: Duration,
    rand: oorandom::Rand64,
    orders: VecDeque<Action>,
    /// What this member says to itself.
    inner: VecDeque<Message>,
    tokens: u64,
    pub(crate) peers: BTreeMap<SocketAddr, Peer>,
    pub(crate) tables: Option<VoterTables>,
    /// On their way to the disk, under this token (0: the disk failed).
    pub(crate) incoming: Option<(u64, VoterTables)>,
    /// The epoch of the tables on the disk, if this member has a seat in them, or is to get one.
    pub(crate) on_disk: Option<u64>,
    /// Wrote table 0 down in this incarnation.
    pub(crate) began: bool,
    pub(crate) voting: bool,
    pub(crate) lost_until: Option<Duration>,
    pub(crate) lost_disk_read: Option<lost_disk::LostDiskRead>,
    pub(crate) disk_again: Option<Duration>,
    pub(crate) newest_at: Duration,
    pub(crate) join_due: Duration,
    heartbeat_due: Duration,
    heartbeat_next: usize,
    pub(crate) ready: bool,
    /// The highest revision that a majority had stored when it was first heard.
    pub(crate) ready_goal: Option<u64>,
    pub(crate) leaving: bool,
    pub(crate) leave_due: Duration,
    pub(crate) in_touch_since: Duration,
    pub(crate) behind_since: Option<Duration>,
    /// Since when this member has had the table that counts.
    pub(crate) epoch_since: Duration,
    /// The last proposal known: the epoch, the new voter and its incarnation at that time.
    pub(crate) proposed: Option<(u64, SocketAddr, u64)>,
    /// The epoch with which this member became a voter, if that was in this incarnation: it never counted under it.
    pub(crate) seated: Option<u64>,
    /// The last epoch in which this member counted before its voter was given away.
    pub(crate) counted: u64,
    pub(crate) broadcast: bool,
    told: (TableVersion, bool, Version, Version),
    pub(crate) register: register::Register,
    pub(crate) lease: lease::Lease,
    /// Messages of other versions that were dropped.
    foreign: u64,
    pub(crate) transfers: transfer::Transfers,
}

impl ControlStore {
    pub fn new(setup: MemberSettings, kept: DiskState, now: Duration) -> ControlStore {
        let register = register::Register::restore(&kept, now);
        let tables = kept.voters.filter(VoterTables::is_well_formed);
        let seated =
            tables.as_ref().filter(|tables| tables.base.epoch == 0 || tables.base.voter(setup.me).is_some());
        let on_disk = seated.map(|tables| tables.base.epoch);
        let accepted = tables.as_ref().and_then(|tables| tables.next.as_ref()).map_or(0, |next| next.number);
        let lease = lease::Lease::new(
            kept.lease_number.max(accepted),
            kept.lease_number,
            now + LEASE_TERM.mul_f64(1.1),
        );
        let seed = u128::from(setup.seed) << 64 | u128::from(setup.incarnation);
        let mut store = ControlStore {
            started: now,
            now,
            rand: oorandom::Rand64::new(seed),
            orders: VecDeque::new(),
            inner: VecDeque::new(),
            tokens: 0,
            peers: BTreeMap::new(),
            voting: on_disk.is_some(),
            on_disk,
            tables,
            incoming: None,
            began: false,
            lost_until: None,
            lost_disk_read: None,
            disk_again: None,
            newest_at: now,
            join_due: now,
            heartbeat_due: now,
            heartbeat_next: 0,
            ready: false,
            ready_goal: None,
            leaving: false,
            leave_due: now,
            in_touch_since: now,
            behind_since: None,
            epoch_since: now,
            counted: 0,
            proposed: None,
            seated: None,
            broadcast: true,
            told: Default::default(),
            register,
            lease,
            foreign: 0,
            transfers: Default::default(),
            setup,
        };
        store.lease.try_at = now + store.chance(250);
        store
    }

    /// From 0 to so many milliseconds.
    pub(crate) fn chance(&mut self, ms: u64) -> Duration {
        Duration::from_millis(self.rand.rand_range(0..ms + 1))
    }

    pub(crate) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    pub(crate) fn send(&mut self, to: SocketAddr, what: Message) {
        if to == self.setup.me {
            self.inner.push_back(what);
            return;
        }
        if self.orders.len() >= MAX_ACTIONS {
            return;
        }
        let echo = self.peers.get(&to).map_or(0, |peer| peer.incarnation);
        self.orders.push_back(Action::Send {
            to,
            envelope: Envelope { version: WIRE_VERSION, incarnation: self.setup.incarnation, echo, what },
        });
    }

    pub(crate) fn store(&mut self, what: Stored) -> u64 {
        self.tokens += 1;
        self.orders.push_back(Action::Store { token: self.tokens, what });
        self.tokens
    }

    pub(crate) fn answer(&mut self, call: u64, outcome: Outcome) {
        self.orders.push_back(Action::Answer { call, outcome });
    }

    pub(crate) fn send_state(&mut self, to: SocketAddr, ask: u64) {
        let state = self.member_state(ask);
        self.send(to, Message::MemberState(Box::new(state)));
    }

    pub(crate) fn member_state(&self, ask: u64) -> MemberState {
        let fresh = |(_, _, at): &(SocketAddr, u64, Duration)| self.now <= *at + LEASE_TERM.mul_f64(1.1);
        MemberState {
            mark: self.mark(),
            counts: self.is_voting(),
            saved: self.register.saved,
            held: self.register.held_version(),
            committed: self.register.committed_version(),
            promised: self.register.promised(),
            votes_from: self.register.votes_from(),
            number: self.lease.number,
            holder: self
                .lease
                .holder
                .filter(fresh)
                .map(|(at, number, _)| (at, number))
                .filter(|_| !self.is_bootstrapping()),
            ask,
        }
    }

    pub fn receive(&mut self, now: Duration, from: SocketAddr, envelope: Envelope) {
        self.advance(now);
        if envelope.version != WIRE_VERSION {
            self.foreign += 1;
            return;
        }
        if from == self.setup.me || envelope.incarnation == 0 {
            return;
        }
        if !self.peers.contains_key(&from) && self.peers.len() >= MAX_PEERS {
            let members = self.members();
            self.peers.retain(|at, peer| {
                members.contains(at) || peer.heard.is_some_and(|heard| now <= heard + PEER_EXPIRY)
            });
            if self.peers.len() >= MAX_PEERS {
                return;
            }
        }
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != envelope.incarnation {
            if peer
                .before
                .is_some_and(|(incarnation, until)| incarnation == envelope.incarnation && now < until)
            {
                return;
            }
            // To an earlier start of this member: most likely from an earlier one of the sender, and late.
            if peer.incarnation != 0 && envelope.echo != 0 && envelope.echo != self.setup.incarnation {
                return;
            }
            let (join_at, join_since) = (peer.join_at, peer.join_since);
            *peer = Peer {
                incarnation: envelope.incarnation,
                before: Some((peer.incarnation, now + STALE_INCARNATION_WINDOW)),
                ..Peer::default()
            };
            (peer.join_at, peer.join_since) = (join_at, join_since);
            self.transfers.forget(from);
        }
        peer.heard = Some(now);
        let echoed = envelope.echo == self.setup.incarnation;
        match envelope.what {
            Message::MemberState(state) => self.receive_state(now, from, echoed, *state),
            Message::Heartbeat { state, stamp, echo_stamp, reply } => {
                self.receive_state(now, from, echoed, *state);
                self.receive_heartbeat(now, from, stamp, Some(echo_stamp).filter(|_| echoed));
                if reply {
                    self.send_heartbeat(now, from, false);
                }
            }
            Message::Departure { state, counted, leaving } => {
                self.receive_state(now, from, echoed, *state);
                self.receive_departure(now, from, counted, leaving);
            }
            what => self.receive_message(now, from, what),
        }
        self.settle(now);
    }

    fn receive_message(&mut self, now: Duration, from: SocketAddr, what: Message) {
        match what {
            Message::Join { mark } => self.receive_join(now, from, mark, false),
            Message::JoinFirstStart => self.receive_join(now, from, TableVersion::default(), true),
            Message::MemberState(_) | Message::Heartbeat { .. } | Message::Departure { .. } => {}
            Message::ReadRequest { ask } => self.send_state(from, ask),
            Message::Replicate(configuration) => self.receive_replicate(now, from, configuration),
            Message::Fetch => self.put(now, from, true),
            Message::Piece(piece) => self.receive_piece(now, from, piece),
            Message::PieceReceived(said) => self.receive_piece_received(now, from, said),
            Message::Table(tables) => {
                self.receive_table(now, from, tables);
                self.send_state(from, 0);
            }
            Message::LeaseRequest { number, stamp, base, held } => {
                self.receive_lease_request(now, from, number, stamp, base, held)
            }
            Message::LeaseGrant { number, stamp, base, next } => {
                self.receive_lease_grant(now, from, number, stamp, base, next)
            }
            Message::LeaseRefusal { number, highest, left_ms } => {
                self.receive_lease_refusal(now, number, highest, left_ms)
            }
            Message::Proposal { tables, at, incarnation } => {
                let epoch = tables.base.epoch.saturating_add(1);
                self.receive_seated(epoch, at, incarnation);
                self.receive_table(now, from, tables);
                self.send_state(from, 0);
            }
            Message::Seated { epoch, at, incarnation } => self.receive_seated(epoch, at, incarnation),
            Message::LeaseRelease { number } => self.receive_lease_release(now, from, number),
            Message::Prepare { ballot, table } => self.receive_prepare(now, from, ballot, table),
            Message::Promise { ballot, accepted, chosen } => {
                self.receive_promise(from, ballot, register::Promise { accepted, chosen })
            }
            Message::Reject { ballot, promised } => self.receive_reject(now, ballot, promised),
            Message::Learn(configuration) => self.receive_learn(now, configuration),
        }
    }

    fn receive_state(&mut self, now: Duration, from: SocketAddr, echoed: bool, state: MemberState) {
        self.note_number(state.number);
        if let Some((at, number)) = state.holder {
            self.note_number(number);
            if self.lease.holder.is_none_or(|(_, mine, _)| number > mine) || !self.is_voting() {
                self.note_holder(now, at, number);
            }
        }
        let mark = self.mark();
        if let Some(peer) = self.peers.get_mut(&from) {
            let old = peer.state;
            // Messages overtake each other, and all of this only grows within an incarnation.
            if state.mark >= old.mark {
                peer.state = state;
                peer.state.saved = state.saved.max(old.saved);
                peer.state.held = state.held.max(old.held);
                peer.state.committed = state.committed.max(old.committed);
                peer.state.promised = state.promised.max(old.promised);
                peer.state.votes_from = state.votes_from.max(old.votes_from);
                peer.state.counts = state.counts || (old.counts && state.mark == old.mark);
            }
            peer.state_at = Some(now);
            if echoed {
                peer.echoed_at = Some(now);
            }
        }
        if state.mark < mark {
            self.send_table(now, from);
        } else if state.mark > mark {
            self.send_state(from, 0);
        }
        if echoed {
            self.receive_read_reply(from, &state);
        }
        self.receive_lost_disk_answer(from, echoed, &state);
        self.receive_vote(from, &state);
        if self.in_a_hurry() {
            self.repair(now, from);
        }
    }

    pub fn stored(&mut self, now: Duration, token: u64, ok: bool) {
        self.advance(now);
        let ok = ok || planted::planted(planted::Defect::TakesARefusalForDone);
        let _ = self.configuration_stored(now, token, ok)
            || self.table_stored(now, token, ok)
            || self.number_stored(now, token, ok);
        self.settle(now);
    }

    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        if (!self.voting || self.is_bootstrapping()) && now >= self.join_due {
            self.send_join(now);
        }
        self.bootstrap(now);
        if self.register.disk_again.take_if(|at| now >= *at).is_some() {
            self.store_configuration();
        }
        if self.disk_again.take_if(|at| now >= *at).is_some() {
            self.table_again();
        }
        if !self.contact_within(now, CONTACT_WINDOW.mul_f64(1.5)) {
            self.in_touch_since = now;
        }
        self.step_lease(now);
        self.consider_voters(now);
        self.step_leave(now);
        self.step_transfers(now);
        if now >= self.heartbeat_due {
            self.heartbeat(now);
        }
        self.settle(now);
    }

    fn heartbeat(&mut self, now: Duration) {
        self.heartbeat_due =
            now + HEARTBEAT_INTERVAL.mul_f64(0.9) + self.chance(HEARTBEAT_INTERVAL.as_millis() as u64 / 10);
        let others = self.others();
        if others.is_empty() {
            return;
        }
        // Who is no voter isn't told anything unasked; and contact may be about to end, or be gone.
        let reply = !self.is_voter() || !self.contact_within(now, CONTACT_RENEWED_AFTER);
        let count = if reply { others.len() } else { others.len().div_ceil(2) };
        for _ in 0..count {
            self.heartbeat_next = (self.heartbeat_next + 1) % others.len();
            self.send_heartbeat(now, others[self.heartbeat_next], reply);
        }
        for at in others {
            self.repair(now, at);
        }
    }

    fn send_heartbeat(&mut self, now: Duration, to: SocketAddr, reply: bool) {
        let state = Box::new(self.member_state(0));
        let stamp = now.as_micros() as u64;
        let echo_stamp = self.peers.get(&to).map_or(0, |peer| peer.stamp);
        self.send(to, Message::Heartbeat { state, stamp, echo_stamp, reply });
    }

    fn receive_heartbeat(&mut self, now: Duration, from: SocketAddr, stamp: u64, answers: Option<u64>) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.stamp = peer.stamp.max(stamp);
        if let Some(sent) = answers.filter(|stamp| *stamp > 0).map(Duration::from_micros) {
            peer.contact_at = peer.contact_at.max(Some(sent)).filter(|at| *at <= now);
        }
    }

    /// Whether a majority of the voters has answered what this member sent within so long, by its steady clock.
    fn contact_within(&self, now: Duration, window: Duration) -> bool {
        let Some(tables) = self.tables.as_ref().filter(|tables| tables.base.epoch > 0) else { return false };
        tables.base.has_quorum(|at| {
            if at == self.setup.me {
                return self.is_voting();
            }
            self.peers.get(&at).is_some_and(|peer| {
                let one_way = planted::planted(planted::Defect::TouchesOneWay);
                let at = if one_way { peer.heard } else { peer.contact_at };
                at.is_some_and(|at| now <= at + window)
            })
        })
    }

    /// Since when it has known of a chosen configuration that it does not have.
    fn note_behind(&mut self, now: Duration) {
        let mine = self.register.committed_version().revision;
        let behind = self.peers.values().any(|peer| peer.state.committed.revision > mine);
        self.behind_since = if behind { self.behind_since.or(Some(now)) } else { None };
    }

    /// Draws all conclusions.
    pub(crate) fn settle(&mut self, now: Duration) {
        for _ in 0..64 {
            while let Some(what) = self.inner.pop_front() {
                self.receive_message(now, self.setup.me, what);
            }
            self.commit_table(now);
            self.step_lost_disk_read(now);
            self.catch_up(now);
            self.check_ready(now);
            self.step_register(now);
            self.note_behind(now);
            let news =
                (self.mark(), self.is_voting(), self.register.saved, self.register.committed_version());
            if std::mem::take(&mut self.broadcast) || news != self.told {
                self.told = news;
                let mut to = self.others();
                if !self.is_voter() {
                    to.clear();
                }
                for at in to {
                    self.send_state(at, 0);
                }
            }
            if self.inner.is_empty() {
                return;
            }
        }
    }

    fn check_ready(&mut self, now: Duration) {
        if self.ready || self.joining() {
            return;
        }
        let Some(tables) = &self.tables else { return };
        let (me, mark) = (self.setup.me, tables.mark());
        let mut most = Version::NONE;
        let heard = |at: SocketAddr| {
            at == me && self.is_voting()
                || self.peers.get(&at).is_some_and(|peer| {
                    peer.echoed_at.is_some() && peer.state.counts && peer.state.mark.epoch == mark.epoch
                })
        };
        if !tables.base.has_quorum(heard) {
            return;
        }
        for peer in tables.base.voters.iter().filter_map(|voter| self.peers.get(&voter.at)) {
            if peer.echoed_at.is_some() {
                most = most.max(peer.state.saved);
            }
        }
        // What it knows to be chosen may be older than that: it would hand it out, and lead by it.
        let goal = self.ready_goal.get_or_insert(most.revision);
        let goal = most.revision.min(*goal);
        let caught_up = self.register.committed_version().revision >= goal;
        let has_newest = self.register.known_version() >= most && caught_up;
        if has_newest || planted::planted(planted::Defect::ReadyWithAnOldOne) {
            self.ready = true;
            self.lease.try_at = self.lease.try_at.max(now) + self.bootstrap_turn();
            self.broadcast = true;
        }
    }

    /// When `tick` is to be called at the latest.
    pub fn next_due(&self) -> Duration {
        let mut due = self.heartbeat_due;
        let mut also = |at: Duration| due = due.min(at);
        if self.leaving {
            also(self.leave_due);
        }
        if !self.voting || self.is_bootstrapping() {
            also(self.join_due);
        }
        if self.may_bootstrap(self.now).is_some() {
            also(self.bootstrap_due());
        }
        self.register.disk_again.into_iter().chain(self.disk_again).for_each(&mut also);
        self.transfers.due().into_iter().for_each(&mut also);
        if let Some(until) = self.lost_until.filter(|until| self.joining() && self.now < *until) {
            also(until);
        }
        if self.lease.busy() || (self.ready && self.is_voting() && !self.leaving && self.incoming.is_none()) {
            also(self.lease.due());
        }
        self.next_call_due().into_iter().chain(self.next_round_due()).for_each(&mut also);
        due.max(self.now + Duration::from_millis(1))
    }

    /// The next thing to be done by the caller.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Action> {
        self.orders.pop_front()
    }

    /// The newest configuration known to be at a majority: only this is handed to others.
    pub fn committed(&self) -> Option<&Configuration> {
        self.register.committed.as_ref().filter(|_| self.ready())
    }

    /// Has heard a majority since its start, and holds the newest it heard of.
    pub fn ready(&self) -> bool {
        self.ready && !self.is_bootstrapping()
    }

    /// Whether a majority of the voters has answered what this member sent less than 1.6 s ago, and it does not know
    /// of anything newer than what it hands out for longer than that.
    pub fn in_touch(&self, now: Duration) -> bool {
        let behind = self.behind_since.is_some_and(|since| now > since + CONTACT_WINDOW);
        !behind && self.contact_within(now, CONTACT_WINDOW)
    }

    /// How many messages of other versions were dropped.
    pub fn version_mismatches(&self) -> u64 {
        self.foreign
    }

    /// SIGTERM: gives the lease up, and doesn't take it again. The process ends once `may_exit` allows it.
    pub fn leave(&mut self, now: Duration) {
        self.advance(now);
        self.leaving = true;
        self.leave_due = now;
        // A holder proposes its own successor as a voter first: it may be the only one that can.
        if !planted::planted(planted::Defect::LeavesWithoutHandover) {
            self.consider_voters(now);
        }
        self.step_leave(now);
        self.settle(now);
    }
}

impl ControlStore {
    /// The state in a line, for logs and tests.
    pub fn describe(&self) -> String {
        format!(
            "{:?} counts {} ready {} saved {} held {} committed {} number {} holder {:?} voters {:?}",
            self.mark(),
            self.is_voting(),
            self.ready,
            self.register.saved.revision,
            self.register.held_version().revision,
            self.register.committed_version().revision,
            self.lease.number,
            self.holder(),
            self.members(),
        )
    }
}
