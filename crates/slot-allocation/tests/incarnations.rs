//! Datagrams that are duplicated, late, out of order, or from an earlier incarnation of the sender or for one
//! of the receiver: they must not cause anything to be granted, returned or counted twice.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_slot_allocation::datagram::Datagram;
use tindock_slot_allocation::defects::{Defect, INJECTED};
use tindock_slot_allocation::function_id::{name_hash, FunctionId};
use tindock_slot_allocation::messages::{Ended, Message};
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

const KIND: &str = "sums";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 7301))
}

/// One scheduler; the test sends and receives all datagrams of its peers.
struct Driven {
    allocator: Allocator,
    now: Duration,
    sent: Vec<(SocketAddr, Message)>,
    dispatched: Vec<u32>,
}

fn member(n: u8, incarnation: u32) -> Member {
    Member { at: at(n), zone: format!("z{n}"), region: "r".into(), incarnation }
}

/// Scheduler 1 (zone z1), with an instance of `slots` slots in zone z`zone`; scheduler 2 has zone z2.
fn driven(zone: u8, slots: usize) -> Driven {
    driven_for(zone, slots, 4000)
}

/// The same, `age` ms after its start.
fn driven_for(zone: u8, slots: usize, age: u64) -> Driven {
    let now = Duration::from_secs(10);
    let mut allocator = Allocator::new(at(1), "z1".into(), 12, 5, Duration::ZERO);
    // Begins as the only member: with another member present it would wait for a handover.
    allocator.set_members(now, vec![member(1, 12)]);
    allocator.set_members(now, vec![member(1, 12), member(2, 22)]);
    let function = Function { id: FunctionId::of(KIND), name: KIND.into(), slots, boot: ms(300) };
    allocator.set_functions(now, vec![function]);
    let entry = Entry {
        instance: "i-1".into(),
        function_id: FunctionId::of(KIND),
        at: SocketAddr::from(([10, 2, 0, 1], 80)),
        zone: format!("z{zone}"),
        ready: true,
        accepts_calls: true,
        since: Duration::ZERO,
    };
    allocator.update_instances(now, vec![entry], &[]);
    let mut driven = Driven { allocator, now, sent: Vec::new(), dispatched: Vec::new() };
    driven.advance(ms(age));
    driven
}

impl Driven {
    fn pull(&mut self) {
        while let Some(action) = self.allocator.pull() {
            match action {
                Action::Send { to, bytes } => {
                    let datagram = Datagram::decode(&bytes).expect("a datagram");
                    self.sent.extend(datagram.messages.into_iter().map(|message| (to, message)));
                }
                Action::Dispatch { call, .. } => self.dispatched.push(call),
                _ => {}
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += ms(25);
            self.allocator.tick(self.now);
            self.pull();
        }
    }

    /// Delivers a message of this incarnation of scheduler 2; returns the messages sent to it in reply.
    fn receive(&mut self, incarnation: u32, message: Message) -> Vec<Message> {
        self.sent.clear();
        self.now += ms(1);
        self.allocator.receive(self.now, at(2), &Datagram { incarnation, messages: vec![message] }.encode());
        self.pull();
        self.sent.iter().filter(|(to, _)| *to == at(2)).map(|(_, message)| message.clone()).collect()
    }

    fn granted(&self) -> usize {
        self.allocator.pools().map(|pool| pool.granted()).sum()
    }

    fn rate(&self) -> f64 {
        self.allocator.pools().map(|pool| pool.rate(self.now)).sum()
    }

    fn request_slot(&mut self) -> u32 {
        let end = self.now + ms(5000);
        let call =
            self.allocator.request_slot(self.now, FunctionId::of(KIND), 1, self.now + ms(4000), end, "");
        self.pull();
        call
    }
}

fn request(seq: u32) -> Message {
    Message::Request {
        seq,
        function_id: FunctionId::of(KIND),
        priority: 1,
        aim: 4000,
        left: 5000,
        avoid: 0,
        hops: 0,
    }
}

fn slot_return(seq: u32) -> Message {
    Message::Return { seq, function_id: FunctionId::of(KIND), ended: Ended::Done, ms: 5 }
}

fn grant(seq: u32) -> Message {
    let worker = SocketAddr::from(([10, 2, 0, 1], 80));
    Message::Grant { seq, instance: "i-1".into(), at: worker, free: 0, waiting: 0 }
}

fn holds(seq: u32) -> Message {
    Message::Holds { seq, function_id: FunctionId::of(KIND), instance: "i-1".into(), left: 5000 }
}

const CAPACITY: Message = Message::Capacity { function_id: FunctionId::NONE, free: 0, waiting: 0, run: 0 };

fn granted(messages: &[Message], seq: u32) -> bool {
    messages.iter().any(|message| matches!(message, Message::Grant { seq: of, .. } if *of == seq))
}

/// A queued request, a late datagram of the incarnation before, then a free slot.
fn queued_request_survives_late_datagram() -> bool {
    let mut owner = driven(1, 1);
    owner.receive(22, CAPACITY);
    let local = owner.request_slot();
    assert_eq!((owner.dispatched.as_slice(), owner.granted()), ([local].as_slice(), 1));
    owner.receive(24, request(7));
    owner.receive(22, slot_return(3));
    owner.sent.clear();
    owner.allocator.settle(owner.now, local, Ended::Done);
    owner.pull();
    let messages: Vec<Message> = owner.sent.iter().map(|(_, message)| message.clone()).collect();
    granted(&messages, 7)
}

/// A request of the incarnation before, after a datagram of the present one.
fn late_request_of_former_incarnation_gets_no_slot() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(22, CAPACITY);
    owner.receive(24, CAPACITY);
    let messages = owner.receive(22, request(7));
    !granted(&messages, 7) && owner.granted() == 0 && owner.rate() == 0.0
}

/// The members name the new incarnation before it has sent anything.
fn late_request_of_replaced_member_gets_no_slot() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(22, CAPACITY);
    owner.allocator.set_members(owner.now, vec![member(1, 12), member(2, 24)]);
    let messages = owner.receive(22, request(7));
    !granted(&messages, 7) && owner.granted() == 0
}

/// A slot that the incarnation before held is returned once, by a late return.
fn late_return_of_former_incarnation_frees_only_its_own_slot() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(22, request(7));
    owner.receive(24, request(7));
    assert_eq!(owner.granted(), 2);
    owner.receive(22, slot_return(7));
    owner.receive(22, slot_return(7));
    owner.granted() == 1
}

/// A grant of the owner's earlier incarnation: its ledgers are lost, and the slot is granted again.
fn late_grant_of_former_incarnation_is_not_used() -> bool {
    let mut requester = driven(2, 1);
    requester.receive(22, CAPACITY);
    let call = requester.request_slot();
    requester.receive(24, CAPACITY);
    requester.receive(22, grant(call));
    requester.dispatched.is_empty() && {
        requester.receive(24, grant(call));
        requester.dispatched == [call]
    }
}

/// A new incarnation of the owner must receive the report of a held slot itself; what the one before received
/// is lost.
fn late_acknowledgement_of_former_incarnation_does_not_count() -> bool {
    let mut requester = driven(2, 1);
    requester.receive(22, CAPACITY);
    let call = requester.request_slot();
    requester.receive(22, grant(call));
    assert_eq!(requester.dispatched, [call]);
    requester.allocator.set_members(requester.now, vec![member(1, 12), member(2, 24)]);
    requester.pull();
    let received = |incarnation| {
        (
            incarnation,
            Message::HoldsAck { seq: call, function_id: FunctionId::of(KIND), instance: name_hash("i-1") },
        )
    };
    let reported = |requester: &mut Driven| {
        requester.sent.clear();
        requester.advance(ms(1500));
        requester.sent.iter().any(|(_, message)| matches!(message, Message::Holds { .. }))
    };
    let (incarnation, message) = received(22);
    requester.receive(incarnation, message);
    let resend = reported(&mut requester);
    let (incarnation, message) = received(24);
    requester.receive(incarnation, message);
    resend && !reported(&mut requester)
}

/// A duplicated request that arrives after its slot was returned.
fn duplicate_request_after_return_gets_no_slot() -> bool {
    let mut owner = driven(1, 2);
    assert!(granted(&owner.receive(22, request(7)), 7));
    owner.receive(22, slot_return(7));
    let rate = owner.rate();
    let messages = owner.receive(22, request(7));
    !granted(&messages, 7) && owner.granted() == 0 && owner.rate() <= rate
}

/// The same for a request that was withdrawn while it was queued.
fn duplicate_request_after_withdrawal_is_not_queued() -> bool {
    let mut owner = driven(1, 1);
    let local = owner.request_slot();
    owner.receive(22, request(7));
    owner.receive(22, Message::Release { seq: 7, function_id: FunctionId::of(KIND), instance: 0 });
    owner.receive(22, request(7));
    owner.allocator.settle(owner.now, local, Ended::Done);
    owner.pull();
    owner.granted() == 0
}

/// A reported grant that arrives after the slot was returned.
fn grant_reported_after_return_is_not_recorded() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(22, request(7));
    owner.receive(22, slot_return(7));
    owner.receive(22, holds(7));
    owner.granted() == 0
}

fn duplicate_return_frees_one_slot() -> bool {
    let mut owner = driven(1, 3);
    (7..10).for_each(|seq| drop(owner.receive(22, request(seq))));
    owner.receive(22, slot_return(7));
    owner.receive(22, slot_return(7));
    owner.granted() == 2
}

fn duplicate_request_is_granted_once() -> bool {
    let mut owner = driven(1, 3);
    owner.receive(22, request(7));
    let messages = owner.receive(22, request(7));
    granted(&messages, 7) && owner.granted() == 1
}

fn duplicate_grant_is_used_once() -> bool {
    let mut requester = driven(2, 1);
    let call = requester.request_slot();
    requester.receive(22, grant(call));
    let messages = requester.receive(22, grant(call));
    requester.dispatched == [call]
        && messages.iter().all(|message| !matches!(message, Message::Release { .. }))
}

/// Its number belongs to an earlier incarnation of the receiver.
fn grant_for_former_incarnation_of_receiver_is_not_used() -> bool {
    let mut requester = driven(2, 1);
    let call = requester.request_slot();
    requester.receive(22, grant(call.wrapping_sub(1)));
    requester.dispatched.is_empty()
}

/// An incarnation that was wrongly taken for a former one is accepted again soon.
fn incarnation_mistaken_for_former_is_accepted_again() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(24, CAPACITY);
    // Late, of an incarnation that this process does not know.
    owner.receive(22, CAPACITY);
    for _ in 0..12 {
        owner.receive(24, CAPACITY);
        owner.advance(ms(200));
    }
    let messages = owner.receive(24, request(7));
    granted(&messages, 7)
}

/// The receiver started after the incarnation before ended, while its datagrams are still in flight.
fn young_process_accepts_the_present_incarnation() -> bool {
    let mut owner = driven_for(1, 2, 500);
    owner.receive(24, CAPACITY);
    let old = owner.receive(22, request(7));
    let new = owner.receive(24, request(8));
    !granted(&old, 7) && granted(&new, 8) && owner.granted() == 1
}

/// The members name the incarnations late, one after the other, while the last of them sends.
fn outdated_members_do_not_silence_the_present_incarnation() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(22, CAPACITY);
    owner.receive(26, CAPACITY);
    for incarnation in [24, 26] {
        owner.allocator.set_members(owner.now, vec![member(1, 12), member(2, incarnation)]);
    }
    granted(&owner.receive(26, request(7)), 7)
}

#[rstest]
#[case(queued_request_survives_late_datagram)]
#[case(late_request_of_former_incarnation_gets_no_slot)]
#[case(late_request_of_replaced_member_gets_no_slot)]
#[case(late_return_of_former_incarnation_frees_only_its_own_slot)]
#[case(late_grant_of_former_incarnation_is_not_used)]
#[case(late_acknowledgement_of_former_incarnation_does_not_count)]
#[case(duplicate_request_after_return_gets_no_slot)]
#[case(duplicate_request_after_withdrawal_is_not_queued)]
#[case(grant_reported_after_return_is_not_recorded)]
#[case(duplicate_return_frees_one_slot)]
#[case(duplicate_request_is_granted_once)]
#[case(duplicate_grant_is_used_once)]
#[case(grant_for_former_incarnation_of_receiver_is_not_used)]
#[case(incarnation_mistaken_for_former_is_accepted_again)]
#[case(young_process_accepts_the_present_incarnation)]
#[case(outdated_members_do_not_silence_the_present_incarnation)]
fn late_and_duplicate_datagrams_cause_no_double_effect(#[case] case: fn() -> bool) {
    assert!(case());
}

/// Each case that detects an injected defect.
#[rstest]
#[case(Defect::FormerAccepted, late_request_of_former_incarnation_gets_no_slot)]
#[case(Defect::FormerAccepted, late_grant_of_former_incarnation_is_not_used)]
#[case(Defect::FormerAccepted, late_acknowledgement_of_former_incarnation_does_not_count)]
#[case(Defect::CopiesServed, duplicate_request_after_return_gets_no_slot)]
#[case(Defect::CopiesServed, grant_reported_after_return_is_not_recorded)]
#[case(Defect::FreedTwice, duplicate_return_frees_one_slot)]
fn injected_defect_is_detected(#[case] defect: Defect, #[case] case: fn() -> bool) {
    INJECTED.set(Some(defect));
    let holds = case();
    INJECTED.set(None);
    assert!(!holds, "{defect:?} is not shown");
}
