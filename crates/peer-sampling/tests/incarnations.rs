//! Which incarnation of a member counts: messages that are late or duplicated, and a process whose clock was
//! set back before its restart.

use std::net::IpAddr;
use std::time::Duration;
use tindock_peer_sampling::{Message, PeerSampler, ROUND};

fn ip(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

/// The incarnation that `sampler` has for an address, if it counts as alive.
fn incarnation(sampler: &PeerSampler, now: Duration, of: IpAddr) -> Option<u32> {
    sampler.alive(now).iter().find(|descriptor| descriptor.ip == of).map(|descriptor| descriptor.incarnation)
}

/// Exchanges between the two, one each round, until `end`; returns all messages of the second.
fn exchange(
    first: &mut PeerSampler,
    second: &mut PeerSampler,
    from: Duration,
    end: Duration,
) -> Vec<Message> {
    let mut sent = Vec::new();
    let mut now = from;
    while now < end {
        now += ROUND / 4;
        for (_, message) in first.tick(now) {
            if let Some(reply) = second.receive(now, &message) {
                first.receive(now, &reply);
            }
        }
        for (_, message) in second.tick(now) {
            sent.push(message.clone());
            if let Some(reply) = first.receive(now, &message) {
                second.receive(now, &reply);
            }
        }
    }
    sent
}

fn sampler(n: u8, since: u64, incarnation: u32, now: Duration) -> PeerSampler {
    let mut sampler = PeerSampler::new(ip(n), 0, since, u64::from(incarnation), now);
    sampler.set_serving(now, incarnation);
    sampler.add_contacts(now, [ip(3 - n)]);
    sampler
}

/// Guards against ignoring a restarted member for half a minute because its earlier process had a later start
/// time.
#[test]
fn restarted_member_with_clock_set_back_is_accepted() {
    let second = Duration::from_secs(1);
    for downtime in [1, 8] {
        let (mut receiver, mut source) =
            (sampler(1, 500, 7, Duration::ZERO), sampler(2, 900, 21, Duration::ZERO));
        exchange(&mut receiver, &mut source, Duration::ZERO, 3 * second);
        assert_eq!(incarnation(&receiver, 3 * second, ip(2)), Some(21));
        let back = (3 + downtime) * second;
        let mut restarted = sampler(2, 400, 22, back);
        exchange(&mut receiver, &mut restarted, back, back + 2 * second);
        assert_eq!(incarnation(&receiver, back + 2 * second, ip(2)), Some(22), "away for {downtime} s");
    }
}

#[test]
fn late_messages_of_former_incarnation_change_nothing() {
    let second = Duration::from_secs(1);
    let (mut receiver, mut source) =
        (sampler(1, 500, 7, Duration::ZERO), sampler(2, 900, 21, Duration::ZERO));
    let old = exchange(&mut receiver, &mut source, Duration::ZERO, 3 * second);
    let mut restarted = sampler(2, 5000, 22, 4 * second);
    exchange(&mut receiver, &mut restarted, 4 * second, 6 * second);
    for message in old.iter().chain(&old) {
        receiver.receive(6 * second, message);
        assert_eq!(incarnation(&receiver, 6 * second, ip(2)), Some(22));
    }
}
