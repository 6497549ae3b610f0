//! A member of a group that decides its policy together: `tindock_accord` decides, here are its hands. [`store`] keeps
//! what must not be forgotten, [`text`] is what is proposed, [`policy`] puts it in
//! the place of what the own file says, [`commands`] are staff's. Off unless the
//! configuration has `[accord]`: then there is no folder, no socket and no timer of it.

pub mod commands;
pub mod policy;
mod staff;
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
use text::Text;

pub use staff::Change;
use tindock_accord::{
    CheckedProposal, Digest, DurableState, Frame, Id, Member, Payload, ServiceStatus, TextFetcher, Timing,
    MAX_FRAME_BYTES, PIECE_BYTES,
};
use tindock_berth::AgreementSettings as Told;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// A folder that cannot be written is tried again after this.
const DISK_AGAIN: Duration = Duration::from_secs(1);
/// Who is asked for its name is asked again after this.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Folder and socket of the process before this one are let go of within this time, where it hands over.
const LET_GO: Duration = Duration::from_secs(2);
/// A start waits so long for the voters' word before it lets clients in all the same.
const FIRST_WORD: Duration = Duration::from_secs(1);
/// Members whose addresses are known; beyond it those of earlier numbers are forgotten.
const BOOK: usize = 4096;

/// Who can say whether this scheduler could serve under a policy, and puts one in force.
pub trait Policies {
    fn check(&self, text: &Text) -> Result<(), String>;
    fn take_up(&self, text: &Rc<Text>) -> Result<(), String>;
}

/// A folder that was opened, with the texts that its state names.
pub struct Opened {
    store: Store,
    kept: DurableState,
    fresh: bool,
    texts: BTreeMap<Digest, Rc<Text>>,
}

impl Opened {
    /// Opens the folder, or makes it: then this is a new member. The process before this one lets go of it soon, where it
    /// hands over.
    pub fn folder(told: &Told, name: &str) -> Result<Opened, String> {
        Self::folder_within(told, name, LET_GO)
    }

    fn folder_within(told: &Told, name: &str, wait: Duration) -> Result<Opened, String> {
        let (store, kept) = Store::open(&told.folder, name, wait)?;
        let fresh = kept.is_none();
        let kept = match kept {
            Some(kept) => kept,
            None => {
                let kept = DurableState::new(draw()?);
                store.keep(&kept)?;
                kept
            }
        };
        let mut texts = BTreeMap::new();
        for digest in kept.active_digests() {
            let text = store.text(digest).ok_or_else(|| format!("accord: the text {digest} is not there"))?;
            texts
                .insert(digest, Rc::new(Text::read(&text).map_err(|why| format!("accord: {digest} {why}"))?));
        }
        Ok(Opened { store, kept, fresh, texts })
    }

    /// What was in force when the process before ended.
    pub fn in_force(&self) -> Option<&Rc<Text>> {
        self.texts.get(&self.kept.decided.digest)
    }
}

/// A number that nobody else draws.
fn draw() -> Result<u64, String> {
    let mut bytes = [0; 8];
    let read = std::fs::File::open("/dev/urandom")
        .and_then(|mut file| std::io::Read::read_exact(&mut file, &mut bytes));
    read.map_err(|e| format!("accord: /dev/urandom: {e}"))?;
    Ok(u64::from_le_bytes(bytes).max(1))
}

/// What another scheduler says of itself.
#[derive(Clone, Copy)]
struct Here {
    id: Id,
    group: u64,
    number: u64,
}

struct State {
    member: Member,
    store: Store,
    written: DurableState,
    fetching: TextFetcher,
    texts: BTreeMap<Digest, Rc<Text>>,
    book: BTreeMap<Id, SocketAddr>,
    /// The number whose policy is in force in this process.
    applied: u64,
    /// Why it may not serve whatever the voters say.
    stuck: Option<String>,
}

impl State {
    /// What its written number stands for.
    fn in_force(&self) -> Option<&Rc<Text>> {
        self.texts.get(&self.written.decided.digest)
    }

    /// 0 before the founding.
    fn group(&self) -> u64 {
        self.in_force().map_or(0, |text| text.group)
    }
}

pub struct Accord {
    told: Told,
    name: String,
    clock: Clock,
    policies: Rc<dyn Policies>,
    /// None while another process of this name has the folder.
    state: RefCell<Option<State>>,
    socket: RefCell<Option<Rc<UdpSocket>>>,
    here: RefCell<(u64, BTreeMap<String, Here>)>,
    moved: Notify,
    heard: Notify,
    dropped: Cell<u64>,
    /// It serves on what it last knew.
    void: Cell<bool>,
    /// Until when it may serve on the lease that it had when another process took its place, and under which number.
    rests: Cell<(Duration, u64)>,
    log: Logger,
}

impl Accord {
    pub fn new(
        told: Told,
        name: String,
        opened: Opened,
        clock: Clock,
        policies: Rc<dyn Policies>,
        log: Logger,
    ) -> Result<Rc<Self>, String> {
        let socket = bind(told.listen, LET_GO)?;
        let accord = Rc::new(Accord {
            told,
            name,
            clock,
            policies,
            state: RefCell::new(None),
            socket: RefCell::new(Some(socket)),
            here: RefCell::default(),
            moved: Notify::new(),
            heard: Notify::new(),
            dropped: Cell::new(0),
            void: Cell::new(false),
            rests: Cell::default(),
            log,
        });
        let number = opened.kept.decided.number;
        match opened.in_force() {
            Some(text) => info!(accord.log, "policy number {number} of {}, by {}", text.what, text.by),
            None => info!(accord.log, "no policy has been decided in this group yet"),
        }
        accord.begin(opened, number)?;
        Ok(accord)
    }

    /// Takes part with what is kept; `applied` is the number whose policy is in force here.
    fn begin(&self, opened: Opened, applied: u64) -> Result<(), String> {
        let Opened { store, kept, fresh, texts } = opened;
        let lease = texts.get(&kept.decided.digest).map_or(self.told.lease, |text| text.lease());
        let terms = Timing { lease, response_timeout: self.told.member_timeout };
        let settled = kept.decided.number > 0;
        let known = texts.iter().map(|(digest, text)| (*digest, self.reading(text, kept.id, settled, lease)));
        let known = known.collect();
        let member = Member::new(terms, kept.clone(), known, fresh, draw()?, self.clock.now());
        let book = texts.values().flat_map(|text| text.members.iter().map(|p| (p.id, p.address))).collect();
        let state = State {
            member,
            store,
            written: kept,
            fetching: TextFetcher::default(),
            texts,
            book,
            applied,
            stuck: None,
        };
        self.state.replace(Some(state));
        Ok(())
    }

    /// Whether this scheduler could serve under a text; at the founding also whether it is the one that was meant.
    fn reading(&self, text: &Text, id: Id, settled: bool, lease: Duration) -> CheckedProposal {
        let told = self.told.members.iter().all(|(name, address)| {
            text.members.iter().any(|person| person.name == *name && person.address == *address)
        });
        let same = told && self.told.members.len() == text.members.len();
        let fit = if text.lease() != lease {
            Err(format!("its lease is {:?}, and {lease:?} here", text.lease()))
        } else if !settled && text.number == 1 && !same {
            Err("the configuration here names other members".into())
        } else if !settled && text.number == 1 && text.name_of(id) != Some(self.name.as_str()) {
            Err("it names another life of this scheduler".into())
        } else {
            self.policies.check(text)
        };
        CheckedProposal { number: text.number, members: text.ids(), eligibility: fit }
    }

    // ---- while it runs ----

    /// Takes part until the process ends.
    pub async fn keep(self: Rc<Self>) {
        let mut bytes = [0; MAX_FRAME_BYTES + 1];
        self.tick();
        loop {
            let socket = self.socket.borrow().clone();
            let Some(socket) = socket else {
                self.moved.notified().await;
                continue;
            };
            let due = self.clock.instant(self.due());
            tokio::select! {
                heard = socket.recv_from(&mut bytes) => {
                    // An error here tells of an earlier message that met nobody.
                    if let Ok((length, from)) = heard {
                        self.hear(&bytes[..length], from);
                    }
                }
                () = tokio::time::sleep_until(due) => self.tick(),
                () = self.moved.notified() => {}
            }
        }
    }

    fn due(&self) -> Duration {
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else { return Duration::MAX };
        let disk = state.stuck.as_ref().map(|_| self.clock.now() + DISK_AGAIN);
        let due = state.fetching.next_tick().into_iter().chain([state.member.next_tick()]).chain(disk).min();
        // Far ahead of any process's end; later ones do not fit a clock.
        due.unwrap_or(Duration::MAX).min(self.clock.now() + Duration::from_secs(3600))
    }

    fn tick(&self) {
        let now = self.clock.now();
        if let Some(state) = self.state.borrow_mut().as_mut() {
            if now >= state.member.next_tick() {
                state.member.tick(now);
            }
        }
        self.after();
    }

    fn hear(&self, bytes: &[u8], source: SocketAddr) {
        let Some(frame) = Frame::decode(bytes) else { return self.drop_one() };
        let now = self.clock.now();
        let mut answer = None;
        {
            let mut state = self.state.borrow_mut();
            let Some(state) = state.as_mut() else { return };
            let (id, group) = (state.written.id, state.group());
            match frame.payload {
                Payload::IdentityRequest { nonce, name } if name == self.name => {
                    let number = state.written.decided.number;
                    answer = Some(Payload::IdentityReply { nonce, name, group, number });
                }
                Payload::IdentityReply { nonce, name, group, number } => {
                    let (asked, here) = &mut *self.here.borrow_mut();
                    if nonce == *asked && nonce != 0 {
                        here.insert(name, Here { id: frame.from, group, number });
                        self.heard.notify_one();
                    }
                }
                word => {
                    let known = state.book.contains_key(&frame.from);
                    // A new member knows nobody, and believes who knows its life; others hear members alone.
                    let ours = frame.group == group && known || group == 0 || frame.group == 0 && known;
                    if frame.to != id || !ours {
                        return self.drop_one();
                    }
                    if !known && state.book.len() < BOOK {
                        state.book.insert(frame.from, source);
                    }
                    match word {
                        Payload::Consensus(message) => state.member.receive(now, frame.from, message),
                        Payload::PieceRequest { digest, piece } => {
                            answer = state.store.text(digest).and_then(|text| part(digest, piece, &text));
                        }
                        Payload::PieceReply { digest, piece, whole, bytes } => {
                            let from = frame.from;
                            if let Some(text) =
                                state.fetching.receive_piece(now, from, digest, piece, whole, bytes)
                            {
                                self.came(state, digest, &text);
                            }
                        }
                        Payload::IdentityRequest { .. } | Payload::IdentityReply { .. } => self.drop_one(),
                    }
                }
            }
            if let Some(word) = answer {
                let to = state.book.get(&frame.from).copied().unwrap_or(source);
                self.send(to, &Frame { group, from: id, to: frame.from, payload: word });
            }
        }
        self.after();
    }

    fn drop_one(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }

    /// A text is whole; what it is not, is not taken.
    fn came(&self, state: &mut State, digest: Digest, text: &[u8]) {
        let read = Some(text).filter(|text| store::digest(text) == digest).and_then(|t| Text::read(t).ok());
        let read = read.ok_or_else(|| format!("the text of a proposal, {digest}, cannot be read here"));
        let kept = read.and_then(|read| state.store.add(text).map(|_| read));
        match kept {
            Ok(read) => self.take_text(state, digest, Rc::new(read)),
            Err(why) => {
                warn!(self.log, "a proposal is not taken in: {why}");
                state.member.text_unavailable(digest);
            }
        }
    }

    fn take_text(&self, state: &mut State, digest: Digest, text: Rc<Text>) {
        let (settled, id) = (state.written.decided.number > 0, state.written.id);
        let lease = state.in_force().map_or(self.told.lease, |text| text.lease());
        let reading = self.reading(&text, id, settled, lease);
        if state.book.len() + text.members.len() > BOOK {
            state.book.clear();
            let texts = state.texts.values();
            let all = texts.flat_map(|text| text.members.iter().map(|p| (p.id, p.address)));
            state.book.extend(all);
        }
        state.book.extend(text.members.iter().map(|person| (person.id, person.address)));
        state.texts.insert(digest, text);
        state.member.text_available(self.clock.now(), digest, reading);
    }

    /// What an input has led to: texts to be fetched, the disk, what is said, and what is in force.
    fn after(&self) {
        let mut state = self.state.borrow_mut();
        let Some(state) = state.as_mut() else { return };
        let now = self.clock.now();
        loop {
            let wanted = state.member.take_text_requests();
            if wanted.is_empty() {
                break;
            }
            for (digest, from) in wanted {
                match state.store.text(digest).and_then(|text| Text::read(&text).ok()) {
                    Some(text) => self.take_text(state, digest, Rc::new(text)),
                    None if state.fetching.request(now, digest, from) => {}
                    None => state.member.text_unavailable(digest),
                }
            }
        }
        // In one go: what is to be asked for, and what was given up, which may be asked for again.
        let (pieces, lost) = state.fetching.tick(now);
        lost.into_iter().for_each(|digest| state.member.text_unavailable(digest));
        let said = state.member.take_messages();
        if !self.is_kept(state) {
            // What was to be said depends on what is not on the disk: it is lost, as any word may be.
            return;
        }
        let (id, group) = (state.written.id, state.group());
        let frames = said.into_iter().map(|(to, message)| (to, Payload::Consensus(message)));
        let pieces =
            pieces.into_iter().map(|p| (p.from, Payload::PieceRequest { digest: p.digest, piece: p.piece }));
        for (to, word) in frames.chain(pieces) {
            if let Some(&at) = state.book.get(&to) {
                self.send(at, &Frame { group, from: id, to, payload: word });
            }
        }
        self.take_up(state);
    }

    /// Whether all that must not be forgotten is on the disk.
    fn is_kept(&self, state: &mut State) -> bool {
        if *state.member.durable_state() == state.written {
            return true;
        }
        let kept = state.member.durable_state().clone();
        match state.store.keep(&kept) {
            Ok(()) => {
                if kept.decided != state.written.decided {
                    let needed = kept.active_digests();
                    state.texts.retain(|digest, _| needed.contains(digest));
                    state.store.tidy(&kept.retained_digests());
                }
                if state.stuck.take().is_some() {
                    info!(self.log, "its folder can be written again");
                }
                state.written = kept;
                true
            }
            Err(why) => {
                if state.stuck.is_none() {
                    warn!(self.log, "takes no part and no tasks until its folder can be written: {why}");
                }
                state.stuck = Some(format!("its folder cannot be written: {why}"));
                false
            }
        }
    }

    /// One step between two tasks: whoever comes next comes under the new policy.
    fn take_up(&self, state: &mut State) {
        let number = state.member.in_force().number;
        if state.applied == number || state.member.eligibility().is_err() {
            return;
        }
        let Some(text) = state.texts.get(&state.member.in_force().digest).cloned() else { return };
        match self.policies.take_up(&text) {
            Ok(()) => {
                state.applied = number;
                state.stuck = None;
                info!(self.log, "policy number {number} is in force: {}, by {}", text.what, text.by);
            }
            Err(why) => {
                if state.stuck.is_none() {
                    warn!(self.log, "policy number {number} cannot be taken up, no tasks are: {why}");
                }
                state.stuck = Some(format!("policy number {number} cannot be taken up: {why}"));
            }
        }
    }

    fn send(&self, to: SocketAddr, frame: &Frame) {
        if let Some(socket) = &*self.socket.borrow() {
            // A word that finds no room is lost, as any may be.
            let _ = socket.try_send_to(&frame.encode(), to);
        }
    }

    // ---- service ----

    /// Asked for each task: whether it may be taken now; a line says why not.
    pub fn serves(&self) -> Result<(), String> {
        let state = self.state.borrow();
        let Some(state) = state.as_ref() else {
            // Guards against clients on old connections that are turned away in an upgrade: the voters' word of before
            // holds on for its time, whichever process of this member asks next.
            let serves = self.clock.now() < self.rests.get().0;
            return serves.then_some(()).ok_or_else(|| "another process of this name has its place".into());
        };
        if let Some(why) = &state.stuck {
            return Err(why.clone());
        }
        match state.member.service_status(self.clock.now()) {
            ServiceStatus::Allowed(number) if number == state.applied => {
                if self.void.replace(false) {
                    info!(self.log, "serves on the voters' word again");
                }
                Ok(())
            }
            ServiceStatus::Allowed(_) => Err("the policy in force is not taken up yet".into()),
            // Back in its place, and the word of before still holds.
            ServiceStatus::Denied(_) if self.rests_under(state) => Ok(()),
            ServiceStatus::Denied(why) => {
                let number = state.written.decided.number;
                let cut_off = number == 0 || state.member.members().all.contains(&state.written.id);
                if self.told.serves_without_lease && cut_off && state.member.eligibility().is_ok() {
                    if !self.void.replace(true) {
                        warn!(
                            self.log,
                            "serves on what it last knew, which may not be in force elsewhere: {why}"
                        );
                    }
                    return Ok(());
                }
                Err(match state.member.eligibility() {
                    Err(fit) => format!("{why}: {fit}"),
                    Ok(()) => why.into(),
                })
            }
        }
    }

    fn rests_under(&self, state: &State) -> bool {
        let (until, number) = self.rests.get();
        let same = number == state.applied && number == state.member.in_force().number;
        same && state.member.eligibility().is_ok() && self.clock.now() < until
    }

    /// Waits a little for the voters' word, where there is one to be had.
    pub async fn first_word(&self) {
        let number = self.state.borrow().as_ref().map_or(0, |state| state.written.decided.number);
        if number == 0 || self.told.serves_without_lease {
            return;
        }
        let word = async {
            while self.serves().is_err() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = tokio::time::timeout(FIRST_WORD, word).await;
    }

    /// Another process of this name takes its place: lets go of folder and address.
    pub fn rest(&self) {
        let now = self.clock.now();
        let left = |state: &State| (now + state.member.lease_left(now), state.applied);
        let left = self.serves().ok().and_then(|()| self.state.borrow().as_ref().map(left));
        self.rests.set(left.unwrap_or_default());
        self.state.replace(None);
        self.socket.replace(None);
        self.moved.notify_one();
    }

    /// That process is gone, or did not serve: takes the place again as soon as it lets go of it, with what was decided
    /// meanwhile. Guards against a wait that would hold up service.
    pub async fn resume(self: Rc<Self>) {
        let mut told = false;
        while let Err(why) = self.take_again() {
            if !told {
                warn!(self.log, "cannot take part again yet: {why}");
            }
            told = true;
            tokio::time::sleep(ASK_AGAIN).await;
        }
        self.moved.notify_one();
    }

    fn take_again(&self) -> Result<(), String> {
        let opened = Opened::folder_within(&self.told, &self.name, Duration::ZERO)?;
        let socket = bind(self.told.listen, Duration::ZERO)?;
        // A number that was decided meanwhile is taken up like any other.
        self.begin(opened, self.rests.get().1)?;
        self.socket.replace(Some(socket));
        Ok(())
    }
}

fn part(digest: Digest, piece: u16, text: &[u8]) -> Option<Payload> {
    let begins = usize::from(piece) * PIECE_BYTES;
    let bytes = text.get(begins..text.len().min(begins + PIECE_BYTES))?.to_vec();
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
    use tindock_accord::Ballot;

    /// Guards against a voter that does not start again: it may have closed a fence for a proposal that it never read. Found
    /// by runs by chance, in which such a one was killed.
    #[test]
    fn a_fence_needs_no_text_and_what_was_staged_does() {
        let folder = std::env::temp_dir().join(format!("tindock-fence-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let told = Told {
            listen: ([127, 0, 0, 1], 0).into(),
            folder: folder.clone(),
            members: Vec::new(),
            voters: 1,
            lease: Duration::from_secs(6),
            member_timeout: Duration::from_secs(2),
            serves_without_lease: false,
        };
        let opened = Opened::folder(&told, "n0").expect("a new folder");
        let open = Some((Ballot { round: 1, by: 5 }, Digest([7; 32])));
        let kept = DurableState { fence: open, ..opened.kept.clone() };
        opened.store.keep(&kept).expect("kept");
        drop(opened);
        assert_eq!(Opened::folder(&told, "n0").expect("a folder").kept, kept);
        let opened = Opened::folder(&told, "n0").expect("a folder");
        opened.store.keep(&DurableState { staged: open, ..kept }).expect("kept");
        drop(opened);
        let why = Opened::folder(&told, "n0").map(|_| ()).expect_err("an error");
        assert!(why.contains("is not there"), "{why}");
        std::fs::remove_dir_all(&folder).expect("removed");
    }
}
