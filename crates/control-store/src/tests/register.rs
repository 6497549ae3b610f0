//! Tests of the parts of the register, and of a single member that receives constructed messages.

use std::net::SocketAddr;
use std::time::Duration;

use crate::defects::Defect;
use crate::register::{Acceptor, Decision, Promise, ReplaceRequest, Round};
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
    // A version known to be chosen is accepted even below a promise.
    assert_eq!(acceptor.prepare(ballot(5, 0)), Ok(version(3, 1, 1)));
    acceptor.learn(version(4, 2, 2));
    assert_eq!((acceptor.accepted(), acceptor.promised()), (version(4, 2, 2), ballot(5, 0)));
}

#[rstest::rstest]
// Nothing was accepted: the request with the highest revision wins; of equals, the first.
#[case(&[], &[(1, 5), (2, 6), (2, 7)], Decision::Propose(1))]
// The version accepted under the highest ballot counts, not the highest revision.
#[case(&[(version(1, 9, 9), false), (version(2, 3, 3), false)], &[(4, 4)], Decision::Propose(0))]
#[case(
    &[(version(1, 9, 9), false), (version(2, 3, 3), false)],
    &[(3, 4)],
    Decision::Complete(version(2, 3, 3))
)]
#[case(&[(version(2, 3, 3), true)], &[(3, 4), (1, 1)], Decision::Settled(version(2, 3, 3)))]
#[case(&[], &[], Decision::Settled(Version::NONE))]
fn a_round_decides_by_highest_ballot(
    #[case] accepted: &[(Version, bool)],
    #[case] requests: &[(u64, u64)],
    #[case] decision: Decision,
) {
    let mut round = Round::new(ballot(10, 0));
    round.promise(addr(7), promise(Version::NONE, Version::NONE));
    for (index, (version, chosen)) in accepted.iter().enumerate() {
        let known = if *chosen { *version } else { Version::NONE };
        round.promise(addr(index), promise(*version, known));
    }
    let requests =
        requests.iter().map(|(revision, digest)| ReplaceRequest { revision: *revision, digest: *digest });
    assert_eq!(round.decide(&requests.collect::<Vec<_>>()), decision);
}

#[test]
fn member_state_survives_serialization() {
    let base = MemberState { saved: version(3, 2, 1), ..MemberState::default() };
    let same = MemberState { held: base.saved, committed: base.saved, promised: ballot(3, 0), ..base };
    let other = MemberState { held: version(5, 3, 1), promised: ballot(6, 1), ..base };
    let read = MemberState { votes_from: ballot(6, 1), promised: ballot(6, 1), ..base };
    let bytes = |state: &MemberState| postcard::to_allocvec(state).expect("bytes");
    for state in [MemberState::default(), base, same, other, read] {
        assert_eq!(postcard::from_bytes::<MemberState>(&bytes(&state)).expect("a state"), state);
    }
    // Equal values are encoded once.
    assert!(bytes(&same).len() < bytes(&base).len() && bytes(&same).len() < bytes(&other).len());
}

/// One of three voters; the test plays the other two.
struct SingleMember {
    store: ControlStore,
    now: Duration,
    /// While this is false, its disk completes no write.
    disk: bool,
    stored: Vec<Stored>,
    sent: Vec<(SocketAddr, Message)>,
    answers: Vec<crate::Outcome>,
}

const TABLE: TableVersion = TableVersion { epoch: 1, number: 0 };

impl SingleMember {
    fn new(restored: DiskState) -> SingleMember {
        let voters = (0..3).map(|index| Voter { at: addr(index), since: 1 }).collect();
        let tables = VoterTables { base: VoterTable { epoch: 1, number: 0, voters }, next: None };
        let restored = DiskState { voters: Some(tables), ..restored };
        let seeds = (0..3).map(addr).collect();
        let settings = MemberSettings { me: addr(0), seeds, initial: false, seed: 1, incarnation: 1 };
        let now = Duration::from_secs(50);
        let store = ControlStore::new(settings, restored, now);
        let mut member = SingleMember {
            store,
            now,
            disk: true,
            stored: Vec::new(),
            sent: Vec::new(),
            answers: Vec::new(),
        };
        for index in 1..3 {
            let state = MemberState { table_version: TABLE, counts: true, ..MemberState::default() };
            member.receive(index, Message::MemberState(Box::new(state)));
        }
        member
    }

    fn receive(&mut self, from: usize, what: Message) {
        self.receive_version(from, what, WIRE_VERSION);
    }

    fn receive_version(&mut self, from: usize, what: Message, version: u16) {
        self.now += MS;
        let envelope = Envelope { version, incarnation: 7, echo: 1, what };
        self.store.receive(self.now, addr(from), envelope);
        self.drain_actions();
    }

    fn drain_actions(&mut self) {
        while let Some(action) = self.store.next() {
            match action {
                Action::Send { to, envelope } => self.sent.push((to, envelope.what)),
                Action::Store { token, what } if self.disk => {
                    self.stored.push(what);
                    self.store.stored(self.now, token, true);
                }
                Action::Store { .. } => {}
                Action::Answer { outcome, .. } => self.answers.push(outcome),
            }
        }
    }

    fn promised(&self, ballot: Ballot) -> bool {
        let promise =
            |what: &Message| matches!(what, Message::Promise { ballot: reported, .. } if *reported == ballot);
        self.sent.iter().any(|(_, what)| promise(what))
    }
}

#[test]
fn a_promise_is_synced_before_it_is_sent() {
    let mut member = SingleMember::new(DiskState::default());
    member.disk = false;
    member.receive(1, Message::Prepare { ballot: ballot(5, 1), table: TABLE });
    assert!(!member.promised(ballot(5, 1)));
    let mut member = SingleMember::new(DiskState::default());
    member.receive(1, Message::Prepare { ballot: ballot(5, 1), table: TABLE });
    assert!(member.promised(ballot(5, 1)) && member.stored.contains(&Stored::Promise(ballot(5, 1))));
}

#[test]
fn a_promise_survives_a_restart() {
    let restored = DiskState { promised: ballot(5, 1), ..DiskState::default() };
    let mut member = SingleMember::new(restored);
    let low = Configuration::new(3, b"low".to_vec()).under(ballot(4, 2));
    member.receive(2, Message::Replicate(low.clone()));
    let reject = Message::Reject { ballot: ballot(4, 2), promised: ballot(5, 1) };
    assert!(member.sent.contains(&(addr(2), reject)));
    assert!(!member.stored.contains(&Stored::Configuration(low.clone())));
    // Once known to be chosen, it is accepted anyway.
    member.receive(2, Message::Learn(low.clone()));
    assert!(member.stored.contains(&Stored::Configuration(low)));
}

#[rstest::rstest]
#[case::of_another_table(TableVersion { epoch: 2, number: 0 }, ballot(5, 1))]
#[case::of_an_unsettled_table(TableVersion { epoch: 1, number: 3 }, ballot(5, 1))]
#[case::from_another_proposer(TABLE, ballot(5, 2))]
#[case::with_a_round_above_the_maximum(TABLE, ballot(u64::MAX, 1))]
#[case::with_round_zero(TABLE, ballot(0, 1))]
fn invalid_prepare_gets_no_promise(#[case] table: TableVersion, #[case] ballot: Ballot) {
    let mut member = SingleMember::new(DiskState::default());
    member.receive(1, Message::Prepare { ballot, table });
    assert!(!member.promised(ballot) && member.stored.is_empty());
}

#[test]
fn messages_of_another_version_are_dropped_and_counted() {
    let mut member = SingleMember::new(DiskState::default());
    let prepare = Message::Prepare { ballot: ballot(5, 1), table: TABLE };
    member.receive_version(1, prepare.clone(), WIRE_VERSION + 1);
    assert!(!member.promised(ballot(5, 1)));
    assert_eq!(member.store.version_mismatches(), 1);
    member.receive(1, prepare);
    assert!(member.promised(ballot(5, 1)));
}

/// Guards against an answer from local knowledge: the member knows what is chosen, but no other member
/// replies.
#[test]
fn nothing_is_confirmed_without_a_majority() {
    let mut member = SingleMember::new(DiskState::default());
    let chosen = Configuration::new(3, b"chosen".to_vec()).under(ballot(4, 1));
    member.receive(1, Message::Learn(chosen.clone()));
    assert_eq!(member.store.committed(), Some(&chosen));
    for (call, (revision, text)) in [(3, "chosen"), (3, "another"), (2, "older")].into_iter().enumerate() {
        member.store.replace(member.now, call as u64, revision, text.as_bytes().to_vec());
        member.drain_actions();
    }
    assert!(member.answers.is_empty());
    member.now += MS * 2600;
    member.store.tick(member.now);
    member.drain_actions();
    let unavailable = |outcome: &crate::Outcome| matches!(outcome, crate::Outcome::Unavailable { .. });
    assert!(member.answers.len() == 3 && member.answers.iter().all(unavailable), "{:?}", member.answers);
}

/// Requests repeated after a majority answered them: each is acknowledged, refused or superseded according to
/// the version in force.
#[test]
fn a_repeated_replace_is_answered_from_the_chosen_version() {
    use crate::Outcome::*;
    let mut member = SingleMember::new(DiskState::default());
    let chosen = Configuration::new(3, b"chosen".to_vec()).under(ballot(4, 1));
    member.receive(1, Message::Learn(chosen.clone()));
    let in_force = chosen.version();
    let requests =
        [(3, "chosen", Acknowledged), (3, "another", Conflict(in_force)), (2, "older", Superseded(in_force))];
    for (revision, text, outcome) in requests {
        member.sent.clear();
        member.store.replace(member.now, revision, revision, text.as_bytes().to_vec());
        member.drain_actions();
        let read_number = member.sent.iter().find_map(|(to, what)| match what {
            Message::ReadRequest { read_number } if *to == addr(1) => Some(*read_number),
            _ => None,
        });
        let state = MemberState {
            table_version: TABLE,
            counts: true,
            saved: in_force,
            held: in_force,
            committed: in_force,
            read_number: read_number.expect("a read"),
            ..MemberState::default()
        };
        member.receive(1, Message::MemberState(Box::new(state)));
        member.now += MS * 300;
        member.store.tick(member.now);
        member.drain_actions();
        assert_eq!(member.answers.pop(), Some(outcome));
    }
}

/// Guards against unbounded memory: texts that wait for a majority are limited in bytes, not only in number.
#[test]
fn waiting_texts_are_bounded_in_bytes() {
    let mut member = SingleMember::new(DiskState::default());
    let text: std::sync::Arc<[u8]> = vec![b'x'; 12 << 20].into();
    for call in 1..=4 {
        member.store.replace(member.now, call, call, text.clone());
        member.drain_actions();
    }
    let unavailable = |outcome: &crate::Outcome| matches!(outcome, crate::Outcome::Unavailable { .. });
    assert!(member.answers.len() == 2 && member.answers.iter().all(unavailable), "{}", member.answers.len());
}

fn proposal() -> Configuration {
    Configuration::new(3, b"not known to be chosen".to_vec()).under(ballot(2, 1))
}

/// The state of another member that has the same text under the same ballot.
fn has_saved(version: Version, votes_from: Ballot) -> Message {
    let promised = votes_from.max(version.ballot);
    let state = MemberState {
        table_version: TABLE,
        counts: true,
        saved: version,
        held: version,
        promised,
        ..MemberState::default()
    };
    Message::MemberState(Box::new(MemberState { votes_from, ..state }))
}

/// Guards against counting a copy as a vote: a round under the promise may have finished without the member
/// that read the text, and its vote would make the text chosen beside what that round proposed.
#[rstest::rstest]
#[case::accepted(Ballot::NONE, true)]
#[case::read_below_a_promise(ballot(6, 1), false)]
fn a_copy_read_by_a_peer_is_no_vote(#[case] votes_from: Ballot, #[case] chosen: bool) {
    let mut member = SingleMember::new(DiskState::default());
    member.receive(2, Message::Replicate(proposal()));
    member.receive(1, has_saved(proposal().version(), votes_from));
    assert_eq!((member.store.member_state(0).committed != Version::NONE), chosen);
    // A late state from before it became active does not revert this.
    member.receive(1, has_saved(proposal().version(), Ballot::NONE));
    assert_eq!((member.store.member_state(0).committed != Version::NONE), chosen);
}

/// After a restart, a text that was accepted cannot be told from one that was read: neither counts below the
/// promise.
#[rstest::rstest]
#[case::accepted(Ballot::NONE, true)]
#[case::below_a_promise(ballot(6, 1), false)]
fn a_copy_on_the_disk_below_a_promise_is_no_vote(#[case] promised: Ballot, #[case] chosen: bool) {
    let restored = DiskState { configuration: Some(proposal()), promised, ..DiskState::default() };
    let mut member = SingleMember::new(restored);
    member.receive(1, has_saved(proposal().version(), Ballot::NONE));
    assert_eq!((member.store.member_state(0).committed != Version::NONE), chosen);
}

#[rstest::rstest]
#[case::correct(None, ballot(6, 1))]
#[case::injected(Some(Defect::VotesForReadCopy), Ballot::NONE)]
fn a_new_voter_does_not_vote_for_a_copy_it_read(#[case] defect: Option<Defect>, #[case] votes_from: Ballot) {
    crate::defects::INJECTED.set(defect);
    let restored = DiskState { configuration: Some(proposal()), ..DiskState::default() };
    let mut member = SingleMember::new(restored);
    member.store.has_caught_up(proposal().version(), ballot(6, 1));
    member.drain_actions();
    assert!(member.store.has_caught_up(proposal().version(), ballot(6, 1)));
    assert_eq!(member.store.member_state(0).votes_from, votes_from);
    crate::defects::INJECTED.set(None);
}
