//! Letters doubled, late, out of order, or from an earlier life of who sent them or of who reads them: nothing is granted,
//! returned or counted twice by them.

use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_lending::defects::{Defect, INJECTED};
use tindock_lending::messages::{kind, Datagram, Ended, Message};
use tindock_lending::{Action, Allocator, Entry, Function, Member};

const KIND: &str = "sums";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 7301))
}

/// One scheduler, with all letters that go to and come from others played by the test.
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
    let mut allocator = Allocator::new(at(1), "z1".into(), 11, 5, Duration::ZERO);
    // First alone: of another that is there first it would wait for a handover.
    allocator.set_members(now, vec![member(1, 11)]);
    allocator.set_members(now, vec![member(1, 11), member(2, 21)]);
    let function = Function { kind: kind(KIND), name: KIND.into(), slots, boot: ms(300) };
    allocator.set_functions(now, vec![function]);
    let entry = Entry {
        instance: "i-1".into(),
        kind: kind(KIND),
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
                    let datagram = Datagram::decode(&bytes).expect("a letter");
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

    /// A letter of scheduler 2, by that life of it; what is said to it, as far as that is no room.
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
        let call = self.allocator.request_slot(self.now, kind(KIND), 1, self.now + ms(4000), end, "");
        self.pull();
        call
    }
}

fn request(seq: u32) -> Message {
    Message::Request { seq, kind: kind(KIND), priority: 1, aim: 4000, left: 5000, avoid: 0, hops: 0 }
}

fn slot_return(seq: u32) -> Message {
    Message::Return { seq, kind: kind(KIND), ended: Ended::Done, ms: 5 }
}

fn grant(seq: u32) -> Message {
    let worker = SocketAddr::from(([10, 2, 0, 1], 80));
    Message::Grant { seq, instance: "i-1".into(), at: worker, free: 0, waiting: 0 }
}

fn holds(seq: u32) -> Message {
    Message::Holds { seq, kind: kind(KIND), instance: "i-1".into(), left: 5000 }
}

const CAPACITY: Message = Message::Capacity { kind: 0, free: 0, waiting: 0, run: 0 };

fn granted(messages: &[Message], seq: u32) -> bool {
    messages.iter().any(|message| matches!(message, Message::Grant { seq: of, .. } if *of == seq))
}

/// An ask that waits, a late letter of the life before, then a free slot.
fn a_waiting_ask_outlives_a_late_letter() -> bool {
    let mut owner = driven(1, 1);
    owner.receive(21, CAPACITY);
    let local = owner.request_slot();
    assert_eq!((owner.dispatched.as_slice(), owner.granted()), ([local].as_slice(), 1));
    owner.receive(22, request(7));
    owner.receive(21, slot_return(3));
    owner.sent.clear();
    owner.allocator.settle(owner.now, local, Ended::Done);
    owner.pull();
    let messages: Vec<Message> = owner.sent.iter().map(|(_, message)| message.clone()).collect();
    granted(&messages, 7)
}

/// An ask of the life before, after a word of this one.
fn a_late_ask_of_an_earlier_life_has_no_slot() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(21, CAPACITY);
    owner.receive(22, CAPACITY);
    let messages = owner.receive(21, request(7));
    !granted(&messages, 7) && owner.granted() == 0 && owner.rate() == 0.0
}

/// The members name the new life before it has spoken.
fn a_late_ask_of_a_life_that_the_members_have_dropped_has_no_slot() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(21, CAPACITY);
    owner.allocator.set_members(owner.now, vec![member(1, 11), member(2, 22)]);
    let messages = owner.receive(21, request(7));
    !granted(&messages, 7) && owner.granted() == 0
}

/// What the life before held comes back once, by a late return.
fn a_late_return_of_an_earlier_life_frees_its_own_slot() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(21, request(7));
    owner.receive(22, request(7));
    assert_eq!(owner.granted(), 2);
    owner.receive(21, slot_return(7));
    owner.receive(21, slot_return(7));
    owner.granted() == 1
}

/// A grant of the lender's earlier life: that one's books are gone, and the slot is lent anew.
fn a_late_grant_of_an_earlier_life_is_not_used() -> bool {
    let mut requester = driven(2, 1);
    requester.receive(21, CAPACITY);
    let call = requester.request_slot();
    requester.receive(22, CAPACITY);
    requester.receive(21, grant(call));
    requester.dispatched.is_empty() && {
        requester.receive(22, grant(call));
        requester.dispatched == [call]
    }
}

/// A new life of the lender has to hear of a loan by itself; what the life before heard is gone.
fn a_late_word_that_a_loan_was_heard_of_does_not_count() -> bool {
    let mut requester = driven(2, 1);
    requester.receive(21, CAPACITY);
    let call = requester.request_slot();
    requester.receive(21, grant(call));
    assert_eq!(requester.dispatched, [call]);
    requester.allocator.set_members(requester.now, vec![member(1, 11), member(2, 22)]);
    requester.pull();
    let received =
        |incarnation| (incarnation, Message::HoldsAck { seq: call, kind: kind(KIND), instance: kind("i-1") });
    let reported = |requester: &mut Driven| {
        requester.sent.clear();
        requester.advance(ms(1500));
        requester.sent.iter().any(|(_, message)| matches!(message, Message::Holds { .. }))
    };
    let (incarnation, message) = received(21);
    requester.receive(incarnation, message);
    let resend = reported(&mut requester);
    let (incarnation, message) = received(22);
    requester.receive(incarnation, message);
    resend && !reported(&mut requester)
}

/// A doubled ask, late: after the slot it had came back.
fn an_ask_that_comes_again_after_its_return_has_no_slot() -> bool {
    let mut owner = driven(1, 2);
    assert!(granted(&owner.receive(21, request(7)), 7));
    owner.receive(21, slot_return(7));
    let rate = owner.rate();
    let messages = owner.receive(21, request(7));
    !granted(&messages, 7) && owner.granted() == 0 && owner.rate() <= rate
}

/// The same for an ask that was taken back while it waited.
fn an_ask_that_comes_again_after_it_was_taken_back_does_not_wait() -> bool {
    let mut owner = driven(1, 1);
    let local = owner.request_slot();
    owner.receive(21, request(7));
    owner.receive(21, Message::Release { seq: 7, kind: kind(KIND), instance: 0 });
    owner.receive(21, request(7));
    owner.allocator.settle(owner.now, local, Ended::Done);
    owner.pull();
    owner.granted() == 0
}

/// A loan told of late: after it came back.
fn a_loan_told_of_after_its_return_is_not_written_down() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(21, request(7));
    owner.receive(21, slot_return(7));
    owner.receive(21, holds(7));
    owner.granted() == 0
}

fn a_doubled_return_frees_one_slot() -> bool {
    let mut owner = driven(1, 3);
    (7..10).for_each(|seq| drop(owner.receive(21, request(seq))));
    owner.receive(21, slot_return(7));
    owner.receive(21, slot_return(7));
    owner.granted() == 2
}

fn a_doubled_ask_is_one_loan() -> bool {
    let mut owner = driven(1, 3);
    owner.receive(21, request(7));
    let messages = owner.receive(21, request(7));
    granted(&messages, 7) && owner.granted() == 1
}

fn a_doubled_grant_is_used_once() -> bool {
    let mut requester = driven(2, 1);
    let call = requester.request_slot();
    requester.receive(21, grant(call));
    let messages = requester.receive(21, grant(call));
    requester.dispatched == [call]
        && messages.iter().all(|message| !matches!(message, Message::Release { .. }))
}

/// Its number is of an earlier life of the reader.
fn a_grant_for_an_earlier_life_of_the_reader_is_not_used() -> bool {
    let mut requester = driven(2, 1);
    let call = requester.request_slot();
    requester.receive(21, grant(call.wrapping_sub(1)));
    requester.dispatched.is_empty()
}

/// A life that was taken for succeeded, and was not, is heard again soon.
fn a_life_that_speaks_on_is_heard() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(22, CAPACITY);
    // Late, of a life that this process has never heard of.
    owner.receive(21, CAPACITY);
    for _ in 0..12 {
        owner.receive(22, CAPACITY);
        owner.advance(ms(200));
    }
    let messages = owner.receive(22, request(7));
    granted(&messages, 7)
}

/// It began after the life before ended, whose letters are under way.
fn a_young_process_hears_the_life_that_speaks() -> bool {
    let mut owner = driven_for(1, 2, 500);
    owner.receive(22, CAPACITY);
    let old = owner.receive(21, request(7));
    let new = owner.receive(22, request(8));
    !granted(&old, 7) && granted(&new, 8) && owner.granted() == 1
}

/// The members name the lives late, one after the other, while the last of them speaks.
fn lives_that_are_named_late_do_not_silence_the_one_that_speaks() -> bool {
    let mut owner = driven(1, 2);
    owner.receive(21, CAPACITY);
    owner.receive(23, CAPACITY);
    for incarnation in [22, 23] {
        owner.allocator.set_members(owner.now, vec![member(1, 11), member(2, incarnation)]);
    }
    granted(&owner.receive(23, request(7)), 7)
}

#[rstest]
#[case(a_waiting_ask_outlives_a_late_letter)]
#[case(a_late_ask_of_an_earlier_life_has_no_slot)]
#[case(a_late_ask_of_a_life_that_the_members_have_dropped_has_no_slot)]
#[case(a_late_return_of_an_earlier_life_frees_its_own_slot)]
#[case(a_late_grant_of_an_earlier_life_is_not_used)]
#[case(a_late_word_that_a_loan_was_heard_of_does_not_count)]
#[case(an_ask_that_comes_again_after_its_return_has_no_slot)]
#[case(an_ask_that_comes_again_after_it_was_taken_back_does_not_wait)]
#[case(a_loan_told_of_after_its_return_is_not_written_down)]
#[case(a_doubled_return_frees_one_slot)]
#[case(a_doubled_ask_is_one_loan)]
#[case(a_doubled_grant_is_used_once)]
#[case(a_grant_for_an_earlier_life_of_the_reader_is_not_used)]
#[case(a_life_that_speaks_on_is_heard)]
#[case(a_young_process_hears_the_life_that_speaks)]
#[case(lives_that_are_named_late_do_not_silence_the_one_that_speaks)]
fn holds_for_letters(#[case] case: fn() -> bool) {
    assert!(case());
}

/// Each case that shows a planted defect, by itself.
#[rstest]
#[case(Defect::FormerAccepted, a_late_ask_of_an_earlier_life_has_no_slot)]
#[case(Defect::FormerAccepted, a_late_grant_of_an_earlier_life_is_not_used)]
#[case(Defect::FormerAccepted, a_late_word_that_a_loan_was_heard_of_does_not_count)]
#[case(Defect::CopiesServed, an_ask_that_comes_again_after_its_return_has_no_slot)]
#[case(Defect::CopiesServed, a_loan_told_of_after_its_return_is_not_written_down)]
#[case(Defect::FreedTwice, a_doubled_return_frees_one_slot)]
fn a_planted_defect_is_shown(#[case] defect: Defect, #[case] case: fn() -> bool) {
    INJECTED.set(Some(defect));
    let holds = case();
    INJECTED.set(None);
    assert!(!holds, "{defect:?} is not shown");
}
