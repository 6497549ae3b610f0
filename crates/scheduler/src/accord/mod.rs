//! A member of a group of schedulers that agrees on one policy by consensus. The protocol is in
//! `tindock_policy_consensus`; this module does its input and output: [`store`] is the durable storage,
//! [`text`] the text of a proposal, [`policy`] applies it over the local configuration, and [`commands`] is
//! the operators' command line. Without `[accord]` in the configuration it is off and has no folder, socket
//! or timer.

pub mod commands;
mod operations;
pub mod policy;
pub mod store;
pub mod text;

use crate::clock::Clock;
use slog::{info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::Store;
use text::ProposalText;

pub use operations::Change;
use tindock_policy_consensus::{
    CheckedProposal, Digest, DurableState, Frame, Id, Member, Payload, ServiceStatus, TextFetcher, Timing,
    MAX_FRAME_BYTES, PIECE_BYTES,
};
use tindock_scheduler_config::AgreementSettings as AccordSettings;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Delay before writing to the folder again after an error.
const DISK_RETRY: Duration = Duration::from_secs(1);
/// Delay before an identity request is repeated.
const REQUEST_RETRY: Duration = Duration::from_millis(100);
/// During a handover the previous process releases its folder and socket within this time.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// A start waits this long for a lease from the voters, then accepts clients in any case.
const FIRST_LEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// Known addresses of members; beyond this number, those of earlier numbers are dropped.
const MAX_ADDRESSES: usize = 4096;

/// Checks whether this scheduler could serve under a policy, and puts a policy in force.
pub trait PolicyHandler {
    fn check(&self, text: &ProposalText) -> Result<(), String>;
    fn apply(&self, text: &Rc<ProposalText>) -> Result<(), String>;
}

/// An opened folder, with the texts that its state refers to.
pub struct OpenedFolder {
    store: Store,
    durable: DurableState,
    is_new: bool,
    texts: BTreeMap<Digest, Rc<ProposalText>>,
}

impl OpenedFolder {
    /// Opens the folder, or creates it for a new member. Waits for the previous process to release it during
    /// a handover.
    pub fn open(settings: &AccordSettings, name: &str) -> Result<OpenedFolder, String> {
        Self::open_within(settings, name, RELEASE_TIMEOUT)
    }

    fn open_within(settings: &AccordSettings, name: &str, wait: Duration) -> Result<OpenedFolder, String> {
        let (store, durable) = Store::open(&settings.folder, name, wait)?;
        let is_new = durable.is_none();
        let durable = match durable {
            Some(durable) => durable,
            None => {
                let durable = DurableState::new(random_id()?);
                store.save(&durable)?;
                durable
            }
        };
        let mut texts = BTreeMap::new();
        for digest in durable.active_digests() {
            let text = store.text(digest).ok_or_else(|| format!("accord: the text {digest} is missing"))?;
            texts.insert(
                digest,
                Rc::new(ProposalText::parse(&text).map_err(|why| format!("accord: {digest} {why}"))?),
            );
        }
        Ok(OpenedFolder { store, durable, is_new, texts })
    }

    /// The text that was in force when the previous process ended.
    pub fn in_force(&self) -> Option<&Rc<ProposalText>> {
        self.texts.get(&self.durable.decided.digest)
    }
}

/// A random number that is unique in practice, and not 0.
fn random_id() -> Result<u64, String> {
    let mut bytes = [0; 8];
    let read = std::fs::File::open("/dev/urandom")
        .and_then(|mut file| std::io::Read::read_exact(&mut file, &mut bytes));
    read.map_err(|e| format!("accord: /dev/urandom: {e}"))?;
    Ok(u64::from_le_bytes(bytes).max(1))
}

/// Identity that a scheduler reports.
#[derive(Clone, Copy)]
struct Identity {
    id: Id,
    group: u64,
    number: u64,
}

struct State {
    member: Member,
    store: Store,
    stored: DurableState,
    fetching: TextFetcher,
    texts: BTreeMap<Digest, Rc<ProposalText>>,
    addresses: BTreeMap<Id, SocketAddr>,
    /// The number whose policy is in force in this process.
    applied: u64,
    /// Why this member may not serve, whatever lease it has: a failed write, or a policy that could not be
    /// applied.
    failure: Option<String>,
}

impl State {
    /// The text of the stored number.
    fn in_force(&self) -> Option<&Rc<ProposalText>> {
        self.texts.get(&self.stored.decided.digest)
    }

    /// Id of the group; 0 before the founding.
    fn group(&self) -> u64 {
        self.in_force().map_or(0, |text| text.group)
    }
}

pub struct GroupMember {
    settings: AccordSettings,
    name: String,
    clock: Clock,
    policies: Rc<dyn PolicyHandler>,
    /// `None` while another process of this name has the folder.
    state: RefCell<Option<State>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    identities: RefCell<(u64, BTreeMap<String, Identity>)>,
    changed: Notify,
    identity_received: Notify,
    dropped: Cell<u64>,
    /// It serves under its last known policy, without a lease.
    serves_last_known: Cell<bool>,
    /// The end, and the policy number, of the lease that this process had when another one took its place.
    retained_lease: Cell<(Duration, u64)>,
    log: Logger,
}

impl GroupMember {
    pub fn new(
        settings: AccordSettings,
        name: String,
        opened: OpenedFolder,
        clock: Clock,
        policies: Rc<dyn PolicyHandler>,
        log: Logger,
    ) -> Result<Rc<Self>, String> {
        let socket = bind(settings.listen, RELEASE_TIMEOUT)?;
        let accord = Rc::new(GroupMember {
            settings,
            name,
            clock,
            policies,
            state: RefCell::new(None),
            socket: RefCell::new(Some(socket)),
            identities: RefCell::default(),
            changed: Notify::new(),
            identity_received: Notify::new(),
            dropped: Cell::new(0),
            serves_last_known: Cell::new(false),
            retained_lease: Cell::default(),
            log,
        });
        let number = opened.durable.decided.number;
        match opened.in_force() {
            Some(text) => info!(accord.log, "policy number {number} of {}, by {}", text.what, text.by),
            None => info!(accord.log, "no policy has been decided in this group yet"),
        }
        accord.begin(opened, number)?;
        Ok(accord)
    }

    /// Starts the member from its stored state; `applied` is the number whose policy is in force here.
    fn begin(&self, opened: OpenedFolder, applied: u64) -> Result<(), String> {
        let OpenedFolder { store, durable, is_new, texts } = opened;
        let lease = texts.get(&durable.decided.digest).map_or(self.settings.lease, |text| text.lease());
        let timing = Timing { lease, response_timeout: self.settings.member_timeout };
        let settled = durable.decided.number > 0;
        let known =
            texts.iter().map(|(digest, text)| (*digest, self.check_text(text, durable.id, settled, lease)));
        let known = known.collect();
        let member = Member::new(timing, durable.clone(), known, is_new, random_id()?, self.clock.now());
        let addresses =
            texts.values().flat_map(|text| text.members.iter().map(|p| (p.id, p.address))).collect();
        let state = State {
            member,
            store,
            stored: durable,
            fetching: TextFetcher::default(),
            texts,
            addresses,
            applied,
            failure: None,
        };
        self.state.replace(Some(state));
        Ok(())
    }

    /// Checks whether this scheduler could serve under a text; at the founding also whether the text names
    /// this incarnation.
    fn check_text(&self, text: &ProposalText, id: Id, settled: bool, lease: Duration) -> CheckedProposal {
        let listed = self.settings.members.iter().all(|(name, address)| {
            text.members.iter().any(|member| member.name == *name && member.address == *address)
        });
        let same = listed && self.settings.members.len() == text.members.len();
        let eligibility = if text.lease() != lease {
            Err(format!("its lease is {:?}, but {lease:?} here", text.lease()))
        } else if !settled && text.number == 1 && !same {
            Err("the configuration here names other members".into())
        } else if !settled && text.number == 1 && text.name_of(id) != Some(self.name.as_str()) {
            Err("it names another incarnation of this scheduler".into())
        } else {
            self.policies.check(text)
        };
        CheckedProposal { number: text.number, members: text.ids(), eligibility }
    }

    // ---- event loop ----

    /// Runs the member until the process ends.
    pub async fn run(self: Rc<Self>) {
        let mut bytes = [0; MAX_FRAME_BYTES + 1];
        self.tick();
        loop {
            let socket = self.socket.borrow().clone();
            let Some(socket) = socket else {
                self.changed.notified().await;
                continue;
            };
            let due = self.clock.instant(self.due());
            tokio::select! {
                received = socket.recv_from(&mut bytes) => {
                    // An error here is about an earlier message that could not be delivered.
                    if let Ok((length, from)) = received {
                        self.receive(&bytes[..length], from);
                    }
                }
                () = tokio::time::sleep_until(due) => self.tick(),
                () = self.changed.notified() => {}
            }
        }
    }

    fn due(&self) -> Duration {
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else { return Duration::MAX };
        let disk = state.failure.as_ref().map(|_| self.clock.now() + DISK_RETRY);
        let due = state.fetching.next_tick().into_iter().chain([state.member.next_tick()]).chain(disk).min();
        // Bounded, since a very late time overflows the clock.
        due.unwrap_or(Duration::MAX).min(self.clock.now() + Duration::from_secs(3600))
    }

    fn tick(&self) {
        let now = self.clock.now();
        if let Some(state) = self.state.borrow_mut().as_mut() {
            if now >= state.member.next_tick() {
                state.member.tick(now);
            }
        }
        self.process_outputs();
    }

    fn receive(&self, bytes: &[u8], source: SocketAddr) {
        let Some(frame) = Frame::decode(bytes) else { return self.count_dropped() };
        let now = self.clock.now();
        let mut answer = None;
        {
            let mut state = self.state.borrow_mut();
            let Some(state) = state.as_mut() else { return };
            let (id, group) = (state.stored.id, state.group());
            match frame.payload {
                Payload::IdentityRequest { nonce, name } if name == self.name => {
                    let number = state.stored.decided.number;
                    answer = Some(Payload::IdentityReply { nonce, name, group, number });
                }
                Payload::IdentityReply { nonce, name, group, number } => {
                    let (expected, identities) = &mut *self.identities.borrow_mut();
                    if nonce == *expected && nonce != 0 {
                        identities.insert(name, Identity { id: frame.from, group, number });
                        self.identity_received.notify_one();
                    }
                }
                payload => {
                    let known = state.addresses.contains_key(&frame.from);
                    // A new member knows no others, and accepts messages to its id; an established one only
                    // those of members.
                    let ours = frame.group == group && known || group == 0 || frame.group == 0 && known;
                    if frame.to != id || !ours {
                        return self.count_dropped();
                    }
                    if !known && state.addresses.len() < MAX_ADDRESSES {
                        state.addresses.insert(frame.from, source);
                    }
                    match payload {
                        Payload::Consensus(message) => state.member.receive(now, frame.from, message),
                        Payload::PieceRequest { digest, piece } => {
                            answer =
                                state.store.text(digest).and_then(|text| piece_reply(digest, piece, &text));
                        }
                        Payload::PieceReply { digest, piece, whole, bytes } => {
                            let from = frame.from;
                            if let Some(text) =
                                state.fetching.receive_piece(now, from, digest, piece, whole, bytes)
                            {
                                self.text_received(state, digest, &text);
                            }
                        }
                        Payload::IdentityRequest { .. } | Payload::IdentityReply { .. } => {
                            self.count_dropped()
                        }
                    }
                }
            }
            if let Some(payload) = answer {
                let to = state.addresses.get(&frame.from).copied().unwrap_or(source);
                self.send(to, &Frame { group, from: id, to: frame.from, payload });
            }
        }
        self.process_outputs();
    }

    fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }

    /// Handles a completely received text; one that does not match its digest or cannot be parsed is
    /// rejected.
    fn text_received(&self, state: &mut State, digest: Digest, text: &[u8]) {
        let read =
            Some(text).filter(|text| store::digest(text) == digest).and_then(|t| ProposalText::parse(t).ok());
        let read = read.ok_or_else(|| format!("the text of the proposal {digest} cannot be read"));
        let stored = read.and_then(|read| state.store.add(text).map(|_| read));
        match stored {
            Ok(read) => self.add_text(state, digest, Rc::new(read)),
            Err(why) => {
                warn!(self.log, "proposal rejected: {why}");
                state.member.text_unavailable(digest);
            }
        }
    }

    fn add_text(&self, state: &mut State, digest: Digest, text: Rc<ProposalText>) {
        let (settled, id) = (state.stored.decided.number > 0, state.stored.id);
        let lease = state.in_force().map_or(self.settings.lease, |text| text.lease());
        let checked = self.check_text(&text, id, settled, lease);
        if state.addresses.len() + text.members.len() > MAX_ADDRESSES {
            state.addresses.clear();
            let texts = state.texts.values();
            let all = texts.flat_map(|text| text.members.iter().map(|p| (p.id, p.address)));
            state.addresses.extend(all);
        }
        state.addresses.extend(text.members.iter().map(|member| (member.id, member.address)));
        state.texts.insert(digest, text);
        state.member.text_available(self.clock.now(), digest, checked);
    }

    /// Handles the effects of an input: fetches texts, writes the state, sends messages, and applies a
    /// decided policy.
    fn process_outputs(&self) {
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else { return };
        let now = self.clock.now();
        loop {
            let wanted = state.member.take_text_requests();
            if wanted.is_empty() {
                break;
            }
            for (digest, from) in wanted {
                match state.store.text(digest).and_then(|text| ProposalText::parse(&text).ok()) {
                    Some(text) => self.add_text(state, digest, Rc::new(text)),
                    None if state.fetching.request(now, digest, from) => {}
                    None => state.member.text_unavailable(digest),
                }
            }
        }
        // One call returns the pieces to request and the texts given up; the latter may be requested again.
        let (pieces, lost) = state.fetching.tick(now);
        lost.into_iter().for_each(|digest| state.member.text_unavailable(digest));
        let messages = state.member.take_messages();
        if !self.persist(state) {
            // The messages depend on a state that is not on disk: they are dropped, as if lost in the
            // network.
            return;
        }
        let (id, group) = (state.stored.id, state.group());
        let frames = messages.into_iter().map(|(to, message)| (to, Payload::Consensus(message)));
        let pieces =
            pieces.into_iter().map(|p| (p.from, Payload::PieceRequest { digest: p.digest, piece: p.piece }));
        for (to, payload) in frames.chain(pieces) {
            if let Some(&at) = state.addresses.get(&to) {
                self.send(at, &Frame { group, from: id, to, payload });
            }
        }
        self.apply_policy(state);
    }

    /// Writes the durable state if it has changed; returns whether it is on disk.
    fn persist(&self, state: &mut State) -> bool {
        if *state.member.durable_state() == state.stored {
            return true;
        }
        let durable = state.member.durable_state().clone();
        match state.store.save(&durable) {
            Ok(()) => {
                if durable.decided != state.stored.decided {
                    let needed = durable.active_digests();
                    state.texts.retain(|digest, _| needed.contains(digest));
                    state.store.remove_unneeded(&durable.retained_digests());
                }
                if state.failure.take().is_some() {
                    info!(self.log, "the folder can be written again");
                }
                state.stored = durable;
                true
            }
            Err(why) => {
                if state.failure.is_none() {
                    warn!(
                        self.log,
                        "refuses tasks and sends no messages until its folder can be written: {why}"
                    );
                }
                state.failure = Some(format!("its folder cannot be written: {why}"));
                false
            }
        }
    }

    /// Applies the policy that is in force, between two tasks: the next task is served under it.
    fn apply_policy(&self, state: &mut State) {
        let number = state.member.in_force().number;
        if state.applied == number || state.member.eligibility().is_err() {
            return;
        }
        let Some(text) = state.texts.get(&state.member.in_force().digest).cloned() else { return };
        match self.policies.apply(&text) {
            Ok(()) => {
                state.applied = number;
                state.failure = None;
                info!(self.log, "policy number {number} is in force: {}, by {}", text.what, text.by);
            }
            Err(why) => {
                if state.failure.is_none() {
                    warn!(self.log, "policy number {number} cannot be applied, tasks are refused: {why}");
                }
                state.failure = Some(format!("policy number {number} cannot be applied: {why}"));
            }
        }
    }

    fn send(&self, to: SocketAddr, frame: &Frame) {
        if let Some(socket) = &*self.socket.borrow() {
            // A message that does not fit the socket buffer is lost; the protocol tolerates that.
            let _ = socket.try_send_to(&frame.encode(), to);
        }
    }

    // ---- service ----

    /// Called for each task: whether it may be accepted now, or why not.
    pub fn serves(&self) -> Result<(), String> {
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else {
            // The lease holds until its end, whichever process of this member renews it: otherwise clients on
            // old connections would be refused during an upgrade.
            let serves = self.clock.now() < self.retained_lease.get().0;
            return serves.then_some(()).ok_or_else(|| "another process of this name has its place".into());
        };
        if let Some(why) = &state.failure {
            return Err(why.clone());
        }
        match state.member.service_status(self.clock.now()) {
            ServiceStatus::Allowed(number) if number == state.applied => {
                if self.serves_last_known.replace(false) {
                    info!(self.log, "serves with a lease from the voters again");
                }
                Ok(())
            }
            ServiceStatus::Allowed(_) => Err("the policy in force is not applied yet".into()),
            // Resumed, and the lease from before the handover still holds.
            ServiceStatus::Denied(_) if self.retained_lease_holds(state) => Ok(()),
            ServiceStatus::Denied(why) => {
                let number = state.stored.decided.number;
                let cut_off = number == 0 || state.member.members().all.contains(&state.stored.id);
                if self.settings.serves_without_lease && cut_off && state.member.eligibility().is_ok() {
                    if !self.serves_last_known.replace(true) {
                        warn!(
                            self.log,
                            "serves under its last known policy, which may not be in force elsewhere: {why}"
                        );
                    }
                    return Ok(());
                }
                Err(match state.member.eligibility() {
                    Err(eligibility) => format!("{why}: {eligibility}"),
                    Ok(()) => why.into(),
                })
            }
        }
    }

    fn retained_lease_holds(&self, state: &State) -> bool {
        let (until, number) = self.retained_lease.get();
        let same = number == state.applied && number == state.member.in_force().number;
        same && state.member.eligibility().is_ok() && self.clock.now() < until
    }

    /// Waits briefly for a lease from the voters, if this member needs one.
    pub async fn wait_for_first_lease(&self) {
        let number = self.state.borrow().as_ref().map_or(0, |state| state.stored.decided.number);
        if number == 0 || self.settings.serves_without_lease {
            return;
        }
        let lease = async {
            while self.serves().is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = tokio::time::timeout(FIRST_LEASE_TIMEOUT, lease).await;
    }

    /// Releases folder and address for another process of this name.
    pub fn suspend(&self) {
        let now = self.clock.now();
        let left = |state: &State| (now + state.member.lease_left(now), state.applied);
        let left = self.serves().ok().and_then(|()| self.state.borrow().as_ref().map(left));
        self.retained_lease.set(left.unwrap_or_default());
        self.state.replace(None);
        self.socket.replace(None);
        self.changed.notify_one();
    }

    /// Resumes after that process is gone or did not serve, as soon as it has released the folder, with the
    /// policy decided meanwhile. Retries in the background, since waiting would delay service.
    pub async fn resume(self: Rc<Self>) {
        let mut logged = false;
        while let Err(why) = self.reopen() {
            if !logged {
                warn!(self.log, "cannot resume yet: {why}");
            }
            logged = true;
            tokio::time::sleep(REQUEST_RETRY).await;
        }
        self.changed.notify_one();
    }

    fn reopen(&self) -> Result<(), String> {
        let opened = OpenedFolder::open_within(&self.settings, &self.name, Duration::ZERO)?;
        let socket = bind(self.settings.listen, Duration::ZERO)?;
        // A number that was decided meanwhile is applied like any other.
        self.begin(opened, self.retained_lease.get().1)?;
        self.socket.replace(Some(socket));
        Ok(())
    }
}

fn piece_reply(digest: Digest, piece: u16, text: &[u8]) -> Option<Payload> {
    let start = usize::from(piece) * PIECE_BYTES;
    let bytes = text.get(start..text.len().min(start + PIECE_BYTES))?.to_vec();
    Some(Payload::PieceReply { digest, piece, whole: text.len() as u32, bytes })
}

fn bind(at: SocketAddr, wait: Duration) -> Result<Rc<UdpSocket>, String> {
    let began = std::time::Instant::now();
    loop {
        match std::net::UdpSocket::bind(at) {
            Ok(socket) => {
                let socket = socket.set_nonblocking(true).and_then(|()| UdpSocket::from_std(socket));
                return socket.map(Rc::new).map_err(|e| format!("accord, {at}: {e}"));
            }
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && began.elapsed() < wait => {
                std::thread::sleep(Duration::from_millis(10));
            }
            Err(e) => return Err(format!("accord, {at}: {e}")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tindock_policy_consensus::Ballot;

    /// Guards against a voter that cannot restart: it may have fenced a ballot for a proposal whose text it
    /// never received. Randomized runs that killed such a voter found this.
    #[test]
    fn a_restart_needs_the_text_of_a_staged_proposal_but_not_of_a_fenced_one() {
        let folder = std::env::temp_dir().join(format!("tindock-fence-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let settings = AccordSettings {
            listen: ([127, 0, 0, 1], 0).into(),
            folder: folder.clone(),
            members: Vec::new(),
            voters: 1,
            lease: Duration::from_secs(6),
            member_timeout: Duration::from_secs(2),
            serves_without_lease: false,
        };
        let opened = OpenedFolder::open(&settings, "n0").expect("a new folder");
        let open = Some((Ballot { round: 1, by: 5 }, Digest([7; 32])));
        let durable = DurableState { fence: open, ..opened.durable.clone() };
        opened.store.save(&durable).expect("kept");
        drop(opened);
        assert_eq!(OpenedFolder::open(&settings, "n0").expect("a folder").durable, durable);
        let opened = OpenedFolder::open(&settings, "n0").expect("a folder");
        opened.store.save(&DurableState { staged: open, ..durable }).expect("kept");
        drop(opened);
        let why = OpenedFolder::open(&settings, "n0").map(|_| ()).expect_err("an error");
        assert!(why.contains("is missing"), "{why}");
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
