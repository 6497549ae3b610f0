//! The register's parts, one by one, and a member against messages made up here.

use std::net::SocketAddr;
use std::time::Duration;

use crate::planted::Defect;
use crate::register::{Acceptor, Decision, Order, Promise, Round};
use crate::tests::sim::{addr, MS};
use crate::{
    Action, Ballot, Configuration, ControlStore, DiskState, Envelope, MemberSettings, MemberState, Message,
    Stored, TableVersion, Version, Voter, VoterTable, VoterTables, WIRE_VERSION,
};

fn ballot(round: u64, proposer: usize) -> Ballot {
    Ballot { round, incarnation: 7, proposer: addr(proposer) }
}

fn version(round: u64, revision: u64, digest: u64) -> Version {
    Version { ballot: ballot(round, 0), revision, digest }
}

fn promise(accepted: Version, chosen: Version) -> Promise {
    Promise { accepted, chosen }
}

#[test]
fn an_acceptor_keeps_its_promise() {
    let mut acceptor = Acceptor::default();
    assert_eq!(acceptor.prepare(ballot(2, 0)), Ok(Version::NONE));
    assert_eq!(acceptor.prepare(ballot(1, 0)), Err(ballot(2, 0)));
    acceptor.accept(version(1, 9, 9));
    assert_eq!(acceptor.accepted(), Version::NONE);
    acceptor.accept(version(3, 1, 1));
    assert_eq!((acceptor.accepted(), acceptor.promised()), (version(3, 1, 1), ballot(3, 0)));
    // Known to be chosen: also below a promise.
    assert_eq!(acceptor.prepare(ballot(5, 0)), Ok(version(3, 1, 1)));
    acceptor.learn(version(4, 2, 2));
    assert_eq!((acceptor.accepted(), acceptor.promised()), (version(4, 2, 2), ballot(5, 0)));
}

#[rstest::rstest]
// Nothing was accepted: of the orders the highest, of equals the first.
#[case(&[], &[(1, 5), (2, 6), (2, 7)], Decision::Propose(1))]
// What was accepted with the highest ballot counts, not the highest revision.
#[case(&[(version(1, 9, 9), false), (version(2, 3, 3), false)], &[(4, 4)], Decision::Propose(0))]
#[case(&[(version(1, 9, 9), false), (version(2, 3, 3), false)], &[(3, 4)], Decision::Complete(version(2, 3, 3)))]
#[case(&[(version(2, 3, 3), true)], &[(3, 4), (1, 1)], Decision::Settled(version(2, 3, 3)))]
#[case(&[], &[], Decision::Settled(Version::NONE))]
fn a_round_decides(
    #[case] accepted: &[(Version, bool)],
    #[case] orders: &[(u64, u64)],
    #[case] decision: Decision,
) {
    let mut round = Round::new(ballot(10, 0));
    round.promise(addr(7), promise(Version::NONE, Version::NONE));
    for (index, (version, chosen)) in accepted.iter().enumerate() {
        let known = if *chosen { *version } else { Version::NONE };
        round.promise(addr(index), promise(*version, known));
    }
    let orders = orders.iter().map(|(revision, digest)| Order { revision: *revision, digest: *digest });
    assert_eq!(round.decide(&orders.collect::<Vec<_>>()), decision);
}

#[test]
fn a_state_is_read_as_it_was_written() {
    let usual = MemberState { saved: version(3, 2, 1), ..MemberState::default() };
    let same = MemberState { held: usual.saved, committed: usual.saved, promised: ballot(3, 0), ..usual };
    let other = MemberState { held: version(5, 3, 1), promised: ballot(6, 1), ..usual };
    let read = MemberState { votes_from: ballot(6, 1), promised: ballot(6, 1), ..usual };
    let bytes = |state: &MemberState| postcard::to_allocvec(state).expect("bytes");
    for state in [MemberState::default(), usual, same, other, read] {
        assert_eq!(postcard::from_bytes::<MemberState>(&bytes(&state)).expect("a state"), state);
    }
    // What is the same is written once.
    assert!(bytes(&same).len() < bytes(&usual).len() && bytes(&same).len() < bytes(&other).len());
}

/// A voter of three, whose two others are played by the test.
struct Alone {
    store: ControlStore,
    now: Duration,
    /// Its disk does nothing while this is false.
    disk: bool,
    kept: Vec<Stored>,
    said: Vec<(SocketAddr, Message)>,
    answers: Vec<crate::Outcome>,
}

const TABLE: TableVersion = TableVersion { epoch: 1, number: 0 };

impl Alone {
    fn new(kept: DiskState) -> Alone {
        let voters = (0..3).map(|index| Voter { at: addr(index), since: 1 }).collect();
        let tables = VoterTables { base: VoterTable { epoch: 1, number: 0, voters }, next: None };
        let kept = DiskState { voters: Some(tables), ..kept };
        let seeds = (0..3).map(addr).collect();
        let settings = MemberSettings { me: addr(0), seeds, initial: false, seed: 1, incarnation: 1 };
        let now = Duration::from_secs(50);
        let store = ControlStore::new(settings, kept, now);
        let mut alone =
            Alone { store, now, disk: true, kept: Vec::new(), said: Vec::new(), answers: Vec::new() };
        for index in 1..3 {
            let state = MemberState { mark: TABLE, counts: true, ..MemberState::default() };
            alone.hears(index, Message::MemberState(Box::new(state)));
        }
        alone
    }

    fn hears(&mut self, from: usize, what: Message) {
        self.hears_version(from, what, WIRE_VERSION);
    }

    fn hears_version(&mut self, from: usize, what: Message, version: u16) {
        self.now += MS;
        let envelope = Envelope { version, incarnation: 7, echo: 1, what };
        self.store.receive(self.now, addr(from), envelope);
        self.pull();
    }

    fn pull(&mut self) {
        while let Some(action) = self.store.next() {
            match action {
                Action::Send { to, envelope } => self.said.push((to, envelope.what)),
                Action::Store { token, what } if self.disk => {
                    self.kept.push(what);
                    self.store.stored(self.now, token, true);
                }
                Action::Store { .. } => {}
                Action::Answer { outcome, .. } => self.answers.push(outcome),
            }
        }
    }

    fn promised(&self, ballot: Ballot) -> bool {
        let promise =
            |what: &Message| matches!(what, Message::Promise { ballot: told, .. } if *told == ballot);
        self.said.iter().any(|(_, what)| promise(what))
    }
}

#[test]
fn a_promise_is_on_disk_before_it_is_told() {
    let mut alone = Alone::new(DiskState::default());
    alone.disk = false;
    alone.hears(1, Message::Prepare { ballot: ballot(5, 1), table: TABLE });
    assert!(!alone.promised(ballot(5, 1)));
    let mut alone = Alone::new(DiskState::default());
    alone.hears(1, Message::Prepare { ballot: ballot(5, 1), table: TABLE });
    assert!(alone.promised(ballot(5, 1)) && alone.kept.contains(&Stored::Promise(ballot(5, 1))));
}

#[test]
fn a_promise_holds_after_a_start() {
    let kept = DiskState { promised: ballot(5, 1), ..DiskState::default() };
    let mut alone = Alone::new(kept);
    let low = Configuration::new(3, b"low".to_vec()).under(ballot(4, 2));
    alone.hears(2, Message::Replicate(low.clone()));
    let reject = Message::Reject { ballot: ballot(4, 2), promised: ballot(5, 1) };
    assert!(alone.said.contains(&(addr(2), reject)));
    assert!(!alone.kept.contains(&Stored::Configuration(low.clone())));
    // Chosen, it is taken all the same.
    alone.hears(2, Message::Learn(low.clone()));
    assert!(alone.kept.contains(&Stored::Configuration(low)));
}

#[rstest::rstest]
#[case::another_table(TableVersion { epoch: 2, number: 0 }, ballot(5, 1))]
#[case::a_table_that_is_not_settled(TableVersion { epoch: 1, number: 3 }, ballot(5, 1))]
#[case::in_the_name_of_another(TABLE, ballot(5, 2))]
#[case::a_round_at_the_end(TABLE, ballot(u64::MAX, 1))]
#[case::no_round(TABLE, ballot(0, 1))]
fn no_promise_is_made_to(#[case] table: TableVersion, #[case] ballot: Ballot) {
    let mut alone = Alone::new(DiskState::default());
    alone.hears(1, Message::Prepare { ballot, table });
    assert!(!alone.promised(ballot) && alone.kept.is_empty());
}

#[test]
fn messages_of_another_version_are_dropped_and_counted() {
    let mut alone = Alone::new(DiskState::default());
    let prepare = Message::Prepare { ballot: ballot(5, 1), table: TABLE };
    alone.hears_version(1, prepare.clone(), WIRE_VERSION + 1);
    assert!(!alone.promised(ballot(5, 1)));
    assert_eq!(alone.store.version_mismatches(), 1);
    alone.hears(1, prepare);
    assert!(alone.promised(ballot(5, 1)));
}

/// What this member knows is chosen, and nobody answers any more: it says nothing of it.
#[test]
fn nothing_is_confirmed_without_a_majority() {
    let mut alone = Alone::new(DiskState::default());
    let chosen = Configuration::new(3, b"chosen".to_vec()).under(ballot(4, 1));
    alone.hears(1, Message::Learn(chosen.clone()));
    assert_eq!(alone.store.committed(), Some(&chosen));
    for (call, (revision, text)) in [(3, "chosen"), (3, "another"), (2, "older")].into_iter().enumerate() {
        alone.store.replace(alone.now, call as u64, revision, text.as_bytes().to_vec());
        alone.pull();
    }
    assert!(alone.answers.is_empty());
    alone.now += MS * 2600;
    alone.store.tick(alone.now);
    alone.pull();
    let unavailable = |outcome: &crate::Outcome| matches!(outcome, crate::Outcome::Unavailable { .. });
    assert!(alone.answers.len() == 3 && alone.answers.iter().all(unavailable), "{:?}", alone.answers);
}

/// Asked again after they were answered by a majority: confirmed, refused, overtaken, each with what is in force.
#[test]
fn an_order_sent_again_is_answered_by_what_is_chosen() {
    use crate::Outcome::*;
    let mut alone = Alone::new(DiskState::default());
    let chosen = Configuration::new(3, b"chosen".to_vec()).under(ballot(4, 1));
    alone.hears(1, Message::Learn(chosen.clone()));
    let in_force = chosen.version();
    let orders =
        [(3, "chosen", Acknowledged), (3, "another", Conflict(in_force)), (2, "older", Superseded(in_force))];
    for (revision, text, outcome) in orders {
        alone.said.clear();
        alone.store.replace(alone.now, revision, revision, text.as_bytes().to_vec());
        alone.pull();
        let ask = alone.said.iter().find_map(|(to, what)| match what {
            Message::ReadRequest { ask } if *to == addr(1) => Some(*ask),
            _ => None,
        });
        let state = MemberState {
            mark: TABLE,
            counts: true,
            saved: in_force,
            held: in_force,
            committed: in_force,
            ask: ask.expect("a read"),
            ..MemberState::default()
        };
        alone.hears(1, Message::MemberState(Box::new(state)));
        alone.now += MS * 300;
        alone.store.tick(alone.now);
        alone.pull();
        assert_eq!(alone.answers.pop(), Some(outcome));
    }
}

/// Texts that wait for a majority are bounded in bytes, not only in number.
#[test]
fn long_texts_are_put_off() {
    let mut alone = Alone::new(DiskState::default());
    let text: std::sync::Arc<[u8]> = vec![b'x'; 12 << 20].into();
    for call in 1..=4 {
        alone.store.replace(alone.now, call, call, text.clone());
        alone.pull();
    }
    let unavailable = |outcome: &crate::Outcome| matches!(outcome, crate::Outcome::Unavailable { .. });
    assert!(alone.answers.len() == 2 && alone.answers.iter().all(unavailable), "{}", alone.answers.len());
}

fn proposal() -> Configuration {
    Configuration::new(3, b"not known to be chosen".to_vec()).under(ballot(2, 1))
}

/// What another member says of the text that both have, under the same ballot.
fn has_saved(version: Version, votes_from: Ballot) -> Message {
    let promised = votes_from.max(version.ballot);
    let state = MemberState {
        mark: TABLE,
        counts: true,
        saved: version,
        held: version,
        promised,
        ..MemberState::default()
    };
    Message::MemberState(Box::new(MemberState { votes_from, ..state }))
}

/// A round under the promise may have gone by without the member that read the text: its vote would make the text chosen
/// beside what that round proposed.
#[rstest::rstest]
#[case::accepted(Ballot::NONE, true)]
#[case::read_below_a_promise(ballot(6, 1), false)]
fn a_copy_that_another_has_read_is_no_vote(#[case] votes_from: Ballot, #[case] chosen: bool) {
    let mut alone = Alone::new(DiskState::default());
    alone.hears(2, Message::Replicate(proposal()));
    alone.hears(1, has_saved(proposal().version(), votes_from));
    assert_eq!((alone.store.member_state(0).committed != Version::NONE), chosen);
    // A late state of the time before it counted takes nothing back.
    alone.hears(1, has_saved(proposal().version(), Ballot::NONE));
    assert_eq!((alone.store.member_state(0).committed != Version::NONE), chosen);
}

/// A start can't tell a text that was accepted from one that was read, and counts neither below the promise.
#[rstest::rstest]
#[case::accepted(Ballot::NONE, true)]
#[case::below_a_promise(ballot(6, 1), false)]
fn a_copy_on_the_disk_below_a_promise_is_no_vote(#[case] promised: Ballot, #[case] chosen: bool) {
    let kept = DiskState { configuration: Some(proposal()), promised, ..DiskState::default() };
    let mut alone = Alone::new(kept);
    alone.hears(1, has_saved(proposal().version(), Ballot::NONE));
    assert_eq!((alone.store.member_state(0).committed != Version::NONE), chosen);
}

#[rstest::rstest]
#[case::mended(None, ballot(6, 1))]
#[case::planted(Some(Defect::VotesForWhatItRead), Ballot::NONE)]
fn a_new_voter_counts_without_a_vote_for_what_it_read(
    #[case] defect: Option<Defect>,
    #[case] votes_from: Ballot,
) {
    crate::planted::PLANTED.set(defect);
    let kept = DiskState { configuration: Some(proposal()), ..DiskState::default() };
    let mut alone = Alone::new(kept);
    alone.store.has_caught_up(proposal().version(), ballot(6, 1));
    alone.pull();
    assert!(alone.store.has_caught_up(proposal().version(), ballot(6, 1)));
    assert_eq!(alone.store.member_state(0).votes_from, votes_from);
    crate::planted::PLANTED.set(None);
}
