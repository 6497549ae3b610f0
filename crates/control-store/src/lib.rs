//! The replicated control state of the core machines (three to nine controllers), implemented without I/O:
//! inputs carry the time, actions are pulled until none is left, and randomness comes from a seed.
//!
//! - `voters`: the table of voting members (at most nine) and how it changes;
//! - `bootstrap`: how the seeds agree on the first table;
//! - `register`: the operator's configuration, synced to disk at a majority of the voters and read back from
//!   a majority;
//! - `transfer`: long texts sent in pieces;
//! - `lease`: the leadership lease, held by one member at a time under an increasing number;
//! - `files`: the disk, the only I/O of this crate.
//!
//! There is no log and no leader for configurations: any member accepts one and proposes it under its own
//! ballot, a majority chooses, and what was chosen under a revision never changes. All times are `Duration`s
//! on one steady clock of the caller, with an arbitrary start.
//!
//! After any input (`receive`, `stored`, `replace`, `show`, `tick`, `leave`), `next` must be called until it
//! returns `None`; `tick` is due at `next_due`. `Action::Store` must be executed in order, with file and
//! folder synced, and confirmed by `stored`. `committed` changes only within these calls.

mod bootstrap;
mod defects;
pub mod files;
mod lease;
mod lost_disk;
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

/// How often a member without an active vote sends Join.
pub(crate) const JOIN_INTERVAL: Duration = Duration::from_millis(200);
/// Each member sends its state to half of the others at this interval, in turn. Two members therefore
/// exchange a message every 0.8 s, and `in_touch` survives one lost message.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const CONTACT_WINDOW: Duration = Duration::from_millis(1600);
/// Contact older than this may expire before the next heartbeat: heartbeats then ask for an immediate reply.
const CONTACT_RENEWED_AFTER: Duration = Duration::from_millis(1100);
/// How long messages of a replaced incarnation are ignored: its last messages may still be in transit.
const STALE_INCARNATION_WINDOW: Duration = Duration::from_millis(1500);
const MAX_PEERS: usize = 64;
const PEER_EXPIRY: Duration = Duration::from_secs(10);
const MAX_ACTIONS: usize = 4096;
/// Version of `Envelope`; envelopes of other versions are dropped. Version 1 had neither this number nor
/// ballots, version 2 had no `votes_from`.
pub const WIRE_VERSION: u16 = 3;

#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The address other members use for this one (as listed in `seed_peers`).
    pub me: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// The `initial_boot` setting: this is the first start of the whole system.
    pub initial: bool,
    pub seed: u64,
    /// A different number for each start of the process; never 0.
    pub incarnation: u64,
}

/// The state found on disk at the start: see `files`.
#[derive(Clone, Debug, Default)]
pub struct DiskState {
    pub voters: Option<VoterTables>,
    pub configuration: Option<Configuration>,
    /// The highest ballot promised, apart from the ballot of `configuration`.
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

/// The message format between members; encoded with postcard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// `WIRE_VERSION` of the sender.
    pub version: u16,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// The last incarnation of the receiver that the sender knows, or 0. It shows whether the sender knows of
    /// the receiver's current start.
    pub echo: u64,
    pub what: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a member that is no voter or whose vote is not active yet. Answered with `MemberState`, and with
    /// `Table` if its table is older.
    Join {
        #[serde(rename = "mark")]
        table_version: TableVersion,
    },
    MemberState(Box<MemberState>),
    /// Answered with a `MemberState` with the same number.
    ReadRequest {
        #[serde(rename = "ask")]
        read_number: u64,
    },
    /// A proposal. Acknowledged by a `MemberState` that has it as `saved`, or answered with `Reject`.
    Replicate(Configuration),
    /// Requests the receiver's configuration. Answered with `Learn`, `Replicate`, or both.
    Fetch,
    /// Acknowledged by a `MemberState` with its table version.
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
    /// The round or lease of this number has ended.
    LeaseRelease {
        number: u64,
    },
    /// Join from a member that has lost no state and took part in the first start.
    JoinFirstStart,
    /// Starts a round under the settled table of this version. Answered with `Promise` or `Reject`.
    Prepare {
        ballot: Ballot,
        table: TableVersion,
    },
    /// Synced to the sender's disk: it accepts nothing below the ballot. Carries the version it has accepted
    /// and the version it knows to be chosen.
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
    /// A configuration known to be chosen.
    Learn(Configuration),
    /// From a member that was replaced as a voter, or is about to be.
    Departure {
        state: Box<MemberState>,
        /// The last epoch in which the sender's vote was active, if it is no longer a voter, or 0.
        counted: u64,
        /// The sender has received SIGTERM. Answered with `MemberState`.
        leaving: bool,
    },
    /// `Table` with a new voter in its `next`, together with the content of `Seated` for that voter: both are
    /// accepted at once.
    Proposal {
        tables: VoterTables,
        at: SocketAddr,
        incarnation: u64,
    },
    /// Identifies the incarnation of a new voter that the proposer knew before the table was settled.
    /// Forwarded to the new voter.
    Seated {
        epoch: u64,
        at: SocketAddr,
        incarnation: u64,
    },
    /// A piece of a configuration too long for one message. Acknowledged by `PieceReceived`.
    Piece(Piece),
    PieceReceived(PieceReceived),
    /// The sender's state, with stamps that prove contact in both directions.
    Heartbeat {
        state: Box<MemberState>,
        /// The sender's steady clock, in microseconds.
        stamp: u64,
        /// The receiver's last stamp known to the sender, or 0.
        echo_stamp: u64,
        /// Whether an immediate answer is requested.
        reply: bool,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "wire::WireState", into = "wire::WireState")]
pub struct MemberState {
    pub table_version: TableVersion,
    /// Whether the sender is a voter and has recovered any lost state: its vote is active.
    pub counts: bool,
    /// The version on its disk.
    pub saved: Version,
    /// The version in its memory.
    pub held: Version,
    /// The version it knows to be stored at a majority.
    pub committed: Version,
    /// The highest ballot it promised: on its disk, or being stored.
    pub promised: Ballot,
    /// A saved version under a lower ballot is a copy read from others, not a vote.
    pub votes_from: Ballot,
    /// The highest lease number it promised.
    pub number: u64,
    /// The lease holder with its lease number, if the sender received a message from it within a voter's
    /// lease term.
    pub holder: Option<(SocketAddr, u64)>,
    /// The number of the read that this answers, or 0.
    pub read_number: u64,
}

impl MemberState {
    /// Whether the sender accepted this version and has it on its disk.
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
    /// Stored at a majority of disks, or superseded by a higher revision that is.
    Acknowledged,
    /// Nothing changed: this version, of a higher revision, was chosen by a majority.
    Superseded(Version),
    /// Nothing changed: this version, another text under the same revision, was chosen by a majority.
    Conflict(Version),
    /// Unknown result: the configuration may or may not be in force. The operator should send it again.
    Unavailable { retry_after_ms: u32 },
    /// `show`: no configuration was ever accepted.
    Empty,
    /// `show`: the newest configuration.
    Found(Configuration),
    /// This member's vote is not active; the named member's is, as far as known.
    Redirect(SocketAddr),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub incarnation: u64,
    replaced_incarnation: Option<(u64, Duration)>,
    pub received_at: Option<Duration>,
    pub join_at: Option<Duration>,
    /// It reported its first start in this incarnation.
    pub first_start: bool,
    pub join_since: Duration,
    /// The newest values it reported in this incarnation.
    pub state: MemberState,
    pub state_at: Option<Duration>,
    /// Its last stamp.
    pub stamp: u64,
    /// Send time of the last message that this peer has answered: at that time, messages passed in both
    /// directions.
    pub contact_at: Option<Duration>,
    /// When it last reported its state knowing this member's current incarnation.
    pub echoed_at: Option<Duration>,
    pub copy_sent_at: Option<Duration>,
    pub fetch_at: Option<Duration>,
    pub table_sent: Option<(Duration, TableVersion)>,
    /// It announced in this incarnation that it leaves.
    pub leaving: bool,
    /// The last epoch in which its vote was active, if it was replaced as a voter in this incarnation.
    pub counted: u64,
}

pub struct ControlStore {
    pub(crate) settings: MemberSettings,
    pub(crate) started: Duration,
    now: Duration,
    rng: oorandom::Rand64,
    actions: VecDeque<Action>,
    /// Messages of this member to itself.
    self_messages: VecDeque<Message>,
    last_token: u64,
    pub(crate) peers: BTreeMap<SocketAddr, Peer>,
    pub(crate) tables: Option<VoterTables>,
    /// Tables being written to disk, with the store token (0: the write failed and will be retried).
    pub(crate) incoming: Option<(u64, VoterTables)>,
    /// The epoch of the tables on disk, if this member is a voter in them or is about to become one.
    pub(crate) on_disk: Option<u64>,
    /// Whether table 0 was written in this incarnation.
    pub(crate) wrote_seed_table: bool,
    pub(crate) voting: bool,
    pub(crate) lost_disk_wait_until: Option<Duration>,
    pub(crate) lost_disk_read: Option<lost_disk::LostDiskRead>,
    pub(crate) disk_retry_at: Option<Duration>,
    pub(crate) newest_member_at: Duration,
    pub(crate) join_due: Duration,
    heartbeat_due: Duration,
    heartbeat_next: usize,
    pub(crate) ready: bool,
    /// The highest revision stored at the first majority that replied after the start.
    pub(crate) ready_goal: Option<u64>,
    pub(crate) leaving: bool,
    pub(crate) leave_due: Duration,
    pub(crate) in_touch_since: Duration,
    pub(crate) behind_since: Option<Duration>,
    /// When this member received the current table.
    pub(crate) epoch_since: Duration,
    /// The last known proposal: the epoch, the new voter and its incarnation at that time.
    pub(crate) proposed: Option<(u64, SocketAddr, u64)>,
    /// The epoch in which this member became a voter, if that was in this incarnation: its vote was never
    /// active under that epoch in an earlier one.
    pub(crate) joined_epoch: Option<u64>,
    /// The last epoch in which this member's vote was active before it was replaced as a voter.
    pub(crate) counted: u64,
    pub(crate) broadcast: bool,
    announced: (TableVersion, bool, Version, Version),
    pub(crate) register: register::Register,
    pub(crate) lease: lease::Lease,
    /// Messages dropped because of another wire version.
    version_mismatches: u64,
    pub(crate) transfers: transfer::Transfers,
}

impl ControlStore {
    pub fn new(settings: MemberSettings, restored: DiskState, now: Duration) -> ControlStore {
        let register = register::Register::restore(&restored, now);
        let tables = restored.voters.filter(VoterTables::is_well_formed);
        let own_tables = tables
            .as_ref()
            .filter(|tables| tables.base.epoch == 0 || tables.base.voter(settings.me).is_some());
        let on_disk = own_tables.map(|tables| tables.base.epoch);
        let accepted = tables.as_ref().and_then(|tables| tables.next.as_ref()).map_or(0, |next| next.number);
        let lease = lease::Lease::new(
            restored.lease_number.max(accepted),
            restored.lease_number,
            now + LEASE_TERM.mul_f64(1.1),
        );
        let seed = u128::from(settings.seed) << 64 | u128::from(settings.incarnation);
        let mut store = ControlStore {
            started: now,
            now,
            rng: oorandom::Rand64::new(seed),
            actions: VecDeque::new(),
            self_messages: VecDeque::new(),
            last_token: 0,
            peers: BTreeMap::new(),
            voting: on_disk.is_some(),
            on_disk,
            tables,
            incoming: None,
            wrote_seed_table: false,
            lost_disk_wait_until: None,
            lost_disk_read: None,
            disk_retry_at: None,
            newest_member_at: now,
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
            joined_epoch: None,
            broadcast: true,
            announced: Default::default(),
            register,
            lease,
            version_mismatches: 0,
            transfers: Default::default(),
            settings,
        };
        store.lease.try_at = now + store.random_delay(250);
        store
    }

    /// A random delay of 0 to `ms` milliseconds.
    pub(crate) fn random_delay(&mut self, ms: u64) -> Duration {
        Duration::from_millis(self.rng.rand_range(0..ms + 1))
    }

    pub(crate) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    pub(crate) fn send(&mut self, to: SocketAddr, what: Message) {
        if to == self.settings.me {
            self.self_messages.push_back(what);
            return;
        }
        if self.actions.len() >= MAX_ACTIONS {
            return;
        }
        let echo = self.peers.get(&to).map_or(0, |peer| peer.incarnation);
        self.actions.push_back(Action::Send {
            to,
            envelope: Envelope { version: WIRE_VERSION, incarnation: self.settings.incarnation, echo, what },
        });
    }

    pub(crate) fn store(&mut self, what: Stored) -> u64 {
        self.last_token += 1;
        self.actions.push_back(Action::Store { token: self.last_token, what });
        self.last_token
    }

    pub(crate) fn answer(&mut self, call: u64, outcome: Outcome) {
        self.actions.push_back(Action::Answer { call, outcome });
    }

    pub(crate) fn send_state(&mut self, to: SocketAddr, read_number: u64) {
        let state = self.member_state(read_number);
        self.send(to, Message::MemberState(Box::new(state)));
    }

    pub(crate) fn member_state(&self, read_number: u64) -> MemberState {
        let recent = |(_, _, at): &(SocketAddr, u64, Duration)| self.now <= *at + LEASE_TERM.mul_f64(1.1);
        MemberState {
            table_version: self.table_version(),
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
                .filter(recent)
                .map(|(at, number, _)| (at, number))
                .filter(|_| !self.is_bootstrapping()),
            read_number,
        }
    }

    pub fn receive(&mut self, now: Duration, from: SocketAddr, envelope: Envelope) {
        self.advance(now);
        if envelope.version != WIRE_VERSION {
            self.version_mismatches += 1;
            return;
        }
        if from == self.settings.me || envelope.incarnation == 0 {
            return;
        }
        if !self.peers.contains_key(&from) && self.peers.len() >= MAX_PEERS {
            let members = self.members();
            self.peers.retain(|at, peer| {
                members.contains(at)
                    || peer.received_at.is_some_and(|received_at| now <= received_at + PEER_EXPIRY)
            });
            if self.peers.len() >= MAX_PEERS {
                return;
            }
        }
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != envelope.incarnation {
            if peer
                .replaced_incarnation
                .is_some_and(|(incarnation, until)| incarnation == envelope.incarnation && now < until)
            {
                return;
            }
            // Addressed to an earlier incarnation of this member, so most likely a late message from an
            // earlier incarnation of the sender.
            if peer.incarnation != 0 && envelope.echo != 0 && envelope.echo != self.settings.incarnation {
                return;
            }
            let (join_at, join_since) = (peer.join_at, peer.join_since);
            *peer = Peer {
                incarnation: envelope.incarnation,
                replaced_incarnation: Some((peer.incarnation, now + STALE_INCARNATION_WINDOW)),
                ..Peer::default()
            };
            (peer.join_at, peer.join_since) = (join_at, join_since);
            self.transfers.forget(from);
        }
        peer.received_at = Some(now);
        let echoed = envelope.echo == self.settings.incarnation;
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
            Message::Join { table_version } => self.receive_join(now, from, table_version, false),
            Message::JoinFirstStart => self.receive_join(now, from, TableVersion::default(), true),
            Message::MemberState(_) | Message::Heartbeat { .. } | Message::Departure { .. } => {}
            Message::ReadRequest { read_number } => self.send_state(from, read_number),
            Message::Replicate(configuration) => self.receive_replicate(now, from, configuration),
            Message::Fetch => self.send_copy(now, from, true),
            Message::Piece(piece) => self.receive_piece(now, from, piece),
            Message::PieceReceived(received) => self.receive_piece_received(now, from, received),
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
        let table_version = self.table_version();
        if let Some(peer) = self.peers.get_mut(&from) {
            let old = peer.state;
            // Messages may be reordered, and all these values only grow within an incarnation.
            if state.table_version >= old.table_version {
                peer.state = state;
                peer.state.saved = state.saved.max(old.saved);
                peer.state.held = state.held.max(old.held);
                peer.state.committed = state.committed.max(old.committed);
                peer.state.promised = state.promised.max(old.promised);
                peer.state.votes_from = state.votes_from.max(old.votes_from);
                peer.state.counts = state.counts || (old.counts && state.table_version == old.table_version);
            }
            peer.state_at = Some(now);
            if echoed {
                peer.echoed_at = Some(now);
            }
        }
        if state.table_version < table_version {
            self.send_table(now, from);
        } else if state.table_version > table_version {
            self.send_state(from, 0);
        }
        if echoed {
            self.receive_read_reply(from, &state);
        }
        self.receive_lost_disk_answer(from, echoed, &state);
        self.receive_vote(from, &state);
        if self.is_catching_up() {
            self.repair(now, from);
        }
    }

    pub fn stored(&mut self, now: Duration, token: u64, ok: bool) {
        self.advance(now);
        let ok = ok || defects::injected(defects::Defect::TreatsFailedWriteAsDone);
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
        if self.register.disk_retry_at.take_if(|at| now >= *at).is_some() {
            self.store_configuration();
        }
        if self.disk_retry_at.take_if(|at| now >= *at).is_some() {
            self.retry_table_store();
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
        self.heartbeat_due = now
            + HEARTBEAT_INTERVAL.mul_f64(0.9)
            + self.random_delay(HEARTBEAT_INTERVAL.as_millis() as u64 / 10);
        let others = self.others();
        if others.is_empty() {
            return;
        }
        // A member that is no voter receives no unsolicited state; otherwise contact may be about to expire
        // or already have expired.
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

    /// Whether a majority of the voters has answered a message this member sent within the window, by its
    /// steady clock.
    fn contact_within(&self, now: Duration, window: Duration) -> bool {
        let Some(tables) = self.tables.as_ref().filter(|tables| tables.base.epoch > 0) else { return false };
        tables.base.has_quorum(|at| {
            if at == self.settings.me {
                return self.is_voting();
            }
            self.peers.get(&at).is_some_and(|peer| {
                let one_way = defects::injected(defects::Defect::ContactFromOneWay);
                let at = if one_way { peer.received_at } else { peer.contact_at };
                at.is_some_and(|at| now <= at + window)
            })
        })
    }

    /// Tracks since when a chosen configuration is known that this member does not have.
    fn note_behind(&mut self, now: Duration) {
        let mine = self.register.committed_version().revision;
        let behind = self.peers.values().any(|peer| peer.state.committed.revision > mine);
        self.behind_since = if behind { self.behind_since.or(Some(now)) } else { None };
    }

    /// Runs all steps that may be due after an input, until there are no messages to itself left.
    pub(crate) fn settle(&mut self, now: Duration) {
        for _ in 0..64 {
            while let Some(what) = self.self_messages.pop_front() {
                self.receive_message(now, self.settings.me, what);
            }
            self.commit_table(now);
            self.step_lost_disk_read(now);
            self.catch_up(now);
            self.check_ready(now);
            self.step_register(now);
            self.note_behind(now);
            let current = (
                self.table_version(),
                self.is_voting(),
                self.register.saved,
                self.register.committed_version(),
            );
            if std::mem::take(&mut self.broadcast) || current != self.announced {
                self.announced = current;
                let mut to = self.others();
                if !self.is_voter() {
                    to.clear();
                }
                for at in to {
                    self.send_state(at, 0);
                }
            }
            if self.self_messages.is_empty() {
                return;
            }
        }
    }

    fn check_ready(&mut self, now: Duration) {
        if self.ready || self.joining() {
            return;
        }
        let Some(tables) = &self.tables else { return };
        let (me, table_version) = (self.settings.me, tables.table_version());
        let mut newest = Version::NONE;
        let replied = |at: SocketAddr| {
            at == me && self.is_voting()
                || self.peers.get(&at).is_some_and(|peer| {
                    peer.echoed_at.is_some()
                        && peer.state.counts
                        && peer.state.table_version.epoch == table_version.epoch
                })
        };
        if !tables.base.has_quorum(replied) {
            return;
        }
        for peer in tables.base.voters.iter().filter_map(|voter| self.peers.get(&voter.at)) {
            if peer.echoed_at.is_some() {
                newest = newest.max(peer.state.saved);
            }
        }
        // The version known to be chosen may be older than the newest: serving it would hand out and lead
        // with outdated configuration.
        let goal = self.ready_goal.get_or_insert(newest.revision);
        let goal = newest.revision.min(*goal);
        let caught_up = self.register.committed_version().revision >= goal;
        let has_newest = self.register.known_version() >= newest && caught_up;
        if has_newest || defects::injected(defects::Defect::ReadyWithStaleConfiguration) {
            self.ready = true;
            self.lease.try_at = self.lease.try_at.max(now) + self.bootstrap_delay();
            self.broadcast = true;
        }
    }

    /// The latest time at which `tick` must be called.
    pub fn next_due(&self) -> Duration {
        let mut due = self.heartbeat_due;
        let mut include = |at: Duration| due = due.min(at);
        if self.leaving {
            include(self.leave_due);
        }
        if !self.voting || self.is_bootstrapping() {
            include(self.join_due);
        }
        if self.may_bootstrap(self.now).is_some() {
            include(self.bootstrap_due());
        }
        self.register.disk_retry_at.into_iter().chain(self.disk_retry_at).for_each(&mut include);
        self.transfers.due().into_iter().for_each(&mut include);
        if let Some(until) = self.lost_disk_wait_until.filter(|until| self.joining() && self.now < *until) {
            include(until);
        }
        if self.lease.has_round()
            || (self.ready && self.is_voting() && !self.leaving && self.incoming.is_none())
        {
            include(self.lease.due());
        }
        self.next_call_due().into_iter().chain(self.next_round_due()).for_each(&mut include);
        due.max(self.now + Duration::from_millis(1))
    }

    /// The next action for the caller.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The newest configuration known to be stored at a majority: the only one that is served to others.
    pub fn committed(&self) -> Option<&Configuration> {
        self.register.committed.as_ref().filter(|_| self.ready())
    }

    /// Whether a majority has replied since the start and this member has the newest version they reported.
    pub fn ready(&self) -> bool {
        self.ready && !self.is_bootstrapping()
    }

    /// Whether a majority of the voters has answered a message that this member sent less than 1.6 s ago, and
    /// this member has not known of a newer configuration than the one it serves for longer than that.
    pub fn in_touch(&self, now: Duration) -> bool {
        let behind = self.behind_since.is_some_and(|since| now > since + CONTACT_WINDOW);
        !behind && self.contact_within(now, CONTACT_WINDOW)
    }

    /// Number of messages dropped because of another wire version.
    pub fn version_mismatches(&self) -> u64 {
        self.version_mismatches
    }

    /// Called on SIGTERM: releases the lease and does not request it again. The process exits once `may_exit`
    /// allows it.
    pub fn leave(&mut self, now: Duration) {
        self.advance(now);
        self.leaving = true;
        self.leave_due = now;
        // A holder proposes its own successor as a voter first: it may be the only member that can.
        if !defects::injected(defects::Defect::LeavesWithoutHandover) {
            self.consider_voters(now);
        }
        self.step_leave(now);
        self.settle(now);
    }
}

impl ControlStore {
    /// The state in one line, for logs and tests.
    pub fn describe(&self) -> String {
        format!(
            "{:?} counts {} ready {} saved {} held {} committed {} number {} holder {:?} voters {:?}",
            self.table_version(),
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
