//! Functions whose names have the same 32-bit hash (FNV-1a), by which earlier releases name functions in
//! datagrams, and processes of both releases side by side.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_slot_allocation::datagram::{incarnation_number, Datagram, Form};
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::{Ended, Message};
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

const FIRST: &str = "fina57b";
const SECOND: &str = "goze97a";
const OTHER: &str = "goze98a";
/// Incarnations of processes of this release, and of an earlier one.
const THIS_RELEASE: u32 = 22;
const EARLIER_RELEASE: u32 = 21;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 7301))
}

fn member(n: u8, incarnation: u32) -> Member {
    Member { at: at(n), zone: format!("z{n}"), region: "r".into(), incarnation }
}

fn function(name: &str) -> Function {
    Function { id: FunctionId::of(name), name: name.into(), slots: 8, boot: ms(1000) }
}

fn instance_of(name: &str) -> String {
    format!("i-{name}")
}

/// An instance of this function that started long ago, in the zone of scheduler `n`.
fn entry(name: &str, n: u8) -> Entry {
    Entry {
        instance: instance_of(name),
        function_id: FunctionId::of(name),
        at: SocketAddr::from(([10, 2, 0, n], 80)),
        zone: format!("z{n}"),
        ready: true,
        accepts_calls: true,
        since: Duration::ZERO,
    }
}

/// Scheduler `n` of two; all instances are in the zone of scheduler 2.
fn scheduler(n: u8, incarnations: [u32; 2], functions: &[&str]) -> Allocator {
    let members = vec![member(1, incarnations[0]), member(2, incarnations[1])];
    let incarnation = members[usize::from(n) - 1].incarnation;
    let mut allocator = Allocator::new(at(n), format!("z{n}"), incarnation, n.into(), Duration::ZERO);
    allocator.set_functions(ms(1), functions.iter().map(|name| function(name)).collect());
    allocator.set_members(ms(1), members);
    allocator.update_instances(ms(1), functions.iter().map(|name| entry(name, 2)).collect(), &[]);
    allocator
}

/// Two schedulers of this release.
fn pair(functions: [&[&str]; 2]) -> [Allocator; 2] {
    let both = [THIS_RELEASE, THIS_RELEASE];
    let mut pair = [scheduler(1, both, functions[0]), scheduler(2, both, functions[1])];
    // By now the owner of the instances is past the wait of a new owner.
    run(&mut pair, ms(2), ms(3000));
    pair
}

/// What became of a call: the instance to which it was sent, or a rejection.
type Outcome = (u32, Option<String>);

/// Exchanges datagrams of two schedulers; returns the outcomes of calls at the first.
fn run(pair: &mut [Allocator; 2], from: Duration, to: Duration) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut now = from;
    while now < to {
        pair.iter_mut().for_each(|allocator| allocator.tick(now));
        for sender in [0, 1, 0, 1] {
            while let Some(action) = pair[sender].pull() {
                match action {
                    Action::Send { bytes, .. } => {
                        assert!(pair[1 - sender].receive(now, at(sender as u8 + 1), &bytes));
                    }
                    Action::Dispatch { call, instance, .. } => outcomes.push((call, Some(instance))),
                    Action::Reject { call, .. } => outcomes.push((call, None)),
                    _ => {}
                }
            }
        }
        now += ms(25);
    }
    outcomes
}

fn request_slot(allocator: &mut Allocator, now: Duration, name: &str) -> u32 {
    allocator.request_slot(now, FunctionId::of(name), 1, now + ms(1000), now + ms(4000), "")
}

/// Guards against a request that is run by another function: functions were identified by a 32-bit hash of
/// their names alone.
#[rstest]
#[case::same_hash([FIRST, SECOND])]
#[case::other_hash([FIRST, OTHER])]
fn each_call_gets_an_instance_of_its_own_function(#[case] names: [&str; 2]) {
    let mut pair = pair([&names, &names]);
    let mut expected = Vec::new();
    for name in names.iter().cycle().take(8) {
        expected.push((request_slot(&mut pair[0], ms(3000), name), Some(instance_of(name))));
    }
    let mut outcomes = run(&mut pair, ms(3000), ms(3500));
    outcomes.sort();
    assert_eq!(outcomes, expected);
}

/// Guards against the same while the configuration changes: the requester knows one of the functions, and the
/// owner the other.
#[test]
fn owner_that_knows_only_the_other_function_rejects_the_call() {
    let mut pair = pair([&[FIRST], &[SECOND]]);
    let call = request_slot(&mut pair[0], ms(3000), FIRST);
    assert_eq!(run(&mut pair, ms(3000), ms(3500)), [(call, None)]);
}

/// Delivers a message of scheduler 1, which is of this incarnation, to an owner; returns the datagrams sent to it.
fn reply(owner: &mut Allocator, incarnation: u32, bytes: &[u8]) -> Vec<Vec<u8>> {
    owner.tick(ms(3000));
    while owner.pull().is_some() {}
    assert!(owner.receive(ms(3001), at(1), bytes), "a datagram of incarnation {incarnation}");
    let sent = std::iter::from_fn(|| owner.pull()).filter_map(|action| match action {
        Action::Send { to, bytes } if to == at(1) => Some(bytes),
        _ => None,
    });
    sent.collect()
}

fn request(name: &str) -> Message {
    let function_id = FunctionId::of(name);
    Message::Request { seq: 7, function_id, priority: 1, aim: 1000, left: 4000, avoid: 0, hops: 3 }
}

/// What an owner replies to a request of a process of the earlier release.
fn reply_to_earlier_release(functions: &[&str], name: &str) -> Message {
    let mut owner = scheduler(2, [EARLIER_RELEASE, THIS_RELEASE], functions);
    let datagram = Datagram { incarnation: EARLIER_RELEASE, messages: vec![request(name)] };
    let replies = reply(&mut owner, EARLIER_RELEASE, &datagram.encode_as(Form::ShortHashes));
    let first = replies.first().expect("a reply");
    let reply = Datagram::decode(first).expect("a datagram");
    assert_eq!(*first, reply.encode_as(Form::ShortHashes), "the earlier release does not understand it");
    reply.messages.into_iter().next().expect("a message")
}

#[test]
fn request_of_the_earlier_release_is_granted() {
    let reply = reply_to_earlier_release(&[FIRST, OTHER], OTHER);
    assert!(
        matches!(&reply, Message::Grant { instance, .. } if *instance == instance_of(OTHER)),
        "{reply:?}"
    );
}

/// The hash in its request does not tell which function is meant.
#[test]
fn request_of_the_earlier_release_for_one_of_two_functions_is_rejected() {
    let reply = reply_to_earlier_release(&[FIRST, SECOND], SECOND);
    assert!(matches!(reply, Message::RetryAfter { .. }), "{reply:?}");
}

/// A call that only an owner of the earlier release could serve.
fn call_to_earlier_release(functions: &[&str], name: &str) -> (Vec<Vec<u8>>, bool) {
    let mut requester = scheduler(1, [THIS_RELEASE, EARLIER_RELEASE], functions);
    while requester.pull().is_some() {}
    let call = request_slot(&mut requester, ms(3000), name);
    let actions: Vec<Action> = std::iter::from_fn(|| requester.pull()).collect();
    let rejected = |action: &Action| matches!(action, Action::Reject { call: of, .. } if *of == call);
    let rejected = actions.iter().any(rejected);
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::Send { to, bytes } if to == at(2) => Some(bytes),
        _ => None,
    });
    (sent.collect(), rejected)
}

#[test]
fn earlier_release_gets_requests_in_its_own_form() {
    let (sent, rejected) = call_to_earlier_release(&[FIRST, OTHER], OTHER);
    let datagram = sent.first().and_then(|bytes| Datagram::decode(bytes)).expect("a request");
    assert_eq!(sent[0], datagram.encode_as(Form::ShortHashes));
    assert!(!rejected);
}

/// Guards against asking a process that takes the two functions for one: it might grant a slot of the other.
#[test]
fn call_that_the_earlier_release_would_misunderstand_is_rejected_at_once() {
    let (sent, rejected) = call_to_earlier_release(&[FIRST, SECOND], SECOND);
    assert!(rejected && sent.is_empty(), "{sent:?}");
}

/// As the earlier release encoded it: a request for a slot of `goze97a`, a return and a ping.
const EARLIER_DATAGRAM: &str = "1503000789a7f1b60601e807a01f0003050789a7f1b606005009000000";

fn bytes_of(hexadecimal: &str) -> Vec<u8> {
    let digits = |n: usize| u8::from_str_radix(&hexadecimal[n..n + 2], 16).expect("hexadecimal digits");
    (0..hexadecimal.len()).step_by(2).map(digits).collect()
}

#[test]
fn earlier_form_is_unchanged() {
    let function_id = FunctionId::of(SECOND);
    let messages = vec![
        request(SECOND),
        Message::Return { seq: 7, function_id, ended: Ended::Done, ms: 80 },
        Message::Release { seq: 0, function_id: FunctionId::NONE, instance: 0 },
    ];
    let datagram = Datagram { incarnation: EARLIER_RELEASE, messages };
    assert_eq!(datagram.encode_as(Form::ShortHashes), bytes_of(EARLIER_DATAGRAM));
    // Its functions are known by their short hashes alone.
    let read = Datagram::decode(&bytes_of(EARLIER_DATAGRAM)).expect("a datagram");
    assert!(read.messages.iter().filter_map(Message::function).all(FunctionId::is_short));
    assert_eq!(read.encode_as(Form::ShortHashes), bytes_of(EARLIER_DATAGRAM));
}

#[test]
fn incarnation_number_tells_the_form() {
    for seed in (0..1000u64).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
        let as_earlier_releases = (seed ^ seed >> 32) as u32 | 1;
        assert_eq!(Form::understood_by(as_earlier_releases), Form::ShortHashes);
        assert_eq!(Form::understood_by(incarnation_number(seed)), Form::Identifiers);
        // Stands for no process.
        assert_ne!(incarnation_number(seed), 0);
    }
}

/// A ping finds out which incarnation is the present one, so every release must understand it.
#[test]
fn datagram_that_names_no_function_is_the_same_in_both_forms() {
    let ping = Message::Release { seq: 5, function_id: FunctionId::NONE, instance: 0 };
    let messages = vec![ping, Message::ReturnAck { seq: 3 }];
    let datagram = Datagram { incarnation: THIS_RELEASE, messages };
    assert_eq!(datagram.encode_as(Form::Identifiers), datagram.encode_as(Form::ShortHashes));
    assert_eq!(Datagram::decode(&datagram.encode()), Some(datagram));
}

#[test]
fn truncated_or_extended_datagram_is_dropped() {
    let datagram = Datagram { incarnation: THIS_RELEASE, messages: vec![request(FIRST), request(SECOND)] };
    for form in [Form::Identifiers, Form::ShortHashes] {
        let bytes = datagram.encode_as(form);
        for length in 0..bytes.len() {
            assert_eq!(Datagram::decode(&bytes[..length]), None, "{form:?} {length}");
        }
        let extended: Vec<u8> = bytes.iter().copied().chain([0]).collect();
        assert_eq!(Datagram::decode(&extended), None, "{form:?}");
    }
    assert_eq!(Datagram::decode(&datagram.encode()), Some(datagram));
}

/// Guards against a slot that stays taken until its call must be over: its return named two functions.
#[test]
fn return_of_the_earlier_release_frees_its_slot_though_another_function_has_the_hash() {
    let mut owner = scheduler(2, [EARLIER_RELEASE, THIS_RELEASE], &[FIRST]);
    let datagram = |message| {
        Datagram { incarnation: EARLIER_RELEASE, messages: vec![message] }.encode_as(Form::ShortHashes)
    };
    reply(&mut owner, EARLIER_RELEASE, &datagram(request(FIRST)));
    let granted = |owner: &Allocator| owner.pools().map(|pool| pool.granted()).sum::<usize>();
    assert_eq!(granted(&owner), 1);
    owner.set_functions(ms(3002), [FIRST, SECOND].iter().map(|name| function(name)).collect());
    let function_id = FunctionId::of(FIRST);
    let message = Message::Return { seq: 7, function_id, ended: Ended::Done, ms: 80 };
    assert!(owner.receive(ms(3003), at(1), &datagram(message)));
    assert_eq!(granted(&owner), 0);
}
