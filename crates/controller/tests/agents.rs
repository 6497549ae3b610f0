//! Which agents are sent a configuration, and when again.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tindock_controller::{Agents, AGENT_TIMEOUT, MAX_AGENTS};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn ip(n: u32) -> IpAddr {
    Ipv4Addr::from(0x0a00_0000 + n).into()
}

/// The revision that is counted as had, if it is older than any.
fn has(agents: &Agents, now: Duration, n: u32) -> Option<u64> {
    agents.behind(now, u64::MAX, Some(ip(n))).first().map(|(_, has)| *has)
}

/// Guards against an agent that is told no whole configuration while changes that do not fit it go on coming: it would stay
/// behind for as long as an operator sends configurations in quick succession.
#[test]
fn changes_do_not_put_off_the_whole_configuration() {
    let mut agents = Agents::new(ip(0));
    agents.record_pull(MS(5000), ip(1), 0, true);
    assert_eq!(has(&agents, MS(5000), 1), Some(0));
    agents.record_sent(MS(5000), ip(1), 7, true);
    agents.record_pull(MS(5100), ip(1), 0, true);
    assert_eq!(has(&agents, MS(5100), 1), Some(7), "the configuration is on its way");
    for n in 0..5u64 {
        agents.record_sent(MS(5300 + 300 * n), ip(1), 8 + n, false);
    }
    agents.record_pull(MS(6100), ip(1), 0, true);
    assert_eq!(has(&agents, MS(6100), 1), Some(0), "it did not come, and is sent again");
}

#[test]
fn only_agents_that_want_it_and_were_heard_lately_are_behind() {
    let mut agents = Agents::new(ip(0));
    agents.record_pull(MS(0), ip(1), 3, true);
    agents.record_pull(MS(3000), ip(2), 3, true);
    agents.record_pull(MS(3000), ip(3), 3, false);
    agents.record_follow(MS(3000), ip(4));
    agents.record_pull(MS(3000), ip(5), 9, true);
    assert_eq!(agents.behind(MS(3500), 9, None), [(ip(1), 3), (ip(2), 3)]);
    assert_eq!(agents.behind(AGENT_TIMEOUT, 9, None), [(ip(2), 3)]);
    assert_eq!(agents.behind(MS(3500), 9, Some(ip(2))), [(ip(2), 3)]);
    agents.remove(ip(2));
    assert_eq!(agents.behind(MS(3500), 9, Some(ip(2))), []);
}

/// Guards against controllers that all name the same few agents.
#[test]
fn a_sample_begins_at_the_controllers_own_address_and_leaves_out_who_asks() {
    let mut agents = Agents::new(ip(36));
    for n in 0..40 {
        agents.record_follow(MS(0), ip(n));
    }
    let named = [36, 38, 39, 0, 1, 2].map(ip);
    assert_eq!(agents.sample(MS(10), ip(37)), named);
    assert!(agents.sample(AGENT_TIMEOUT, ip(37)).is_empty());
}

#[test]
fn the_table_is_bounded_and_forgets_the_silent_first() {
    let mut agents = Agents::new(ip(0));
    for n in 0..MAX_AGENTS as u32 + 10 {
        agents.record_follow(MS(0), ip(n));
    }
    assert_eq!(agents.recent(MS(1)).len(), MAX_AGENTS);
    agents.record_follow(AGENT_TIMEOUT, ip(900_000));
    assert_eq!(agents.recent(AGENT_TIMEOUT), [ip(900_000)]);
}

/// Guards against always the same few: two islands of agents, of which one has all of those, would stay apart.
#[test]
fn samples_go_round_all_agents() {
    let mut agents = Agents::new(ip(0));
    (1..=20).for_each(|n| agents.record_follow(MS(10), ip(n)));
    let mut named: Vec<IpAddr> = (0..5).flat_map(|_| agents.sample(MS(20), ip(1))).collect();
    named.sort();
    named.dedup();
    assert_eq!(named, (2..=20).map(ip).collect::<Vec<_>>());
}
