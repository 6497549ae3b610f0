//! Which agents are sent a configuration, and when it is sent again.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tindock_controller::{Agents, AGENT_TIMEOUT, MAX_AGENTS};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn ip(n: u32) -> IpAddr {
    Ipv4Addr::from(0x0a00_0000 + n).into()
}

/// The revision counted as received by the agent, if it is older than the newest.
fn has(agents: &Agents, now: Duration, n: u32) -> Option<u64> {
    agents.behind(now, u64::MAX, Some(ip(n))).first().map(|(_, has)| *has)
}

/// Guards against an agent that receives no whole configuration while changes that do not apply to it keep
/// arriving: it would stay behind for as long as an operator sends configurations in quick succession.
#[test]
fn changes_do_not_delay_the_next_whole_configuration() {
    let mut agents = Agents::new(ip(0));
    agents.record_pull(MS(5000), ip(1), 0, true);
    assert_eq!(has(&agents, MS(5000), 1), Some(0));
    agents.record_sent(MS(5000), ip(1), 7, true);
    agents.record_pull(MS(5100), ip(1), 0, true);
    assert_eq!(has(&agents, MS(5100), 1), Some(7), "the configuration is in transit");
    for n in 0..5u64 {
        agents.record_sent(MS(5300 + 300 * n), ip(1), 8 + n, false);
    }
    agents.record_pull(MS(6100), ip(1), 0, true);
    assert_eq!(has(&agents, MS(6100), 1), Some(0), "it was not received, and is sent again");
}

#[test]
fn only_recent_agents_that_want_configurations_are_behind() {
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
fn a_sample_starts_at_the_controllers_address_and_excludes_the_requester() {
    let mut agents = Agents::new(ip(36));
    for n in 0..40 {
        agents.record_follow(MS(0), ip(n));
    }
    let named = [36, 38, 39, 0, 1, 2].map(ip);
    assert_eq!(agents.sample(MS(10), ip(37)), named);
    assert!(agents.sample(AGENT_TIMEOUT, ip(37)).is_empty());
}

#[test]
fn the_table_is_bounded_and_evicts_silent_agents_first() {
    let mut agents = Agents::new(ip(0));
    for n in 0..MAX_AGENTS as u32 + 10 {
        agents.record_follow(MS(0), ip(n));
    }
    assert_eq!(agents.recent(MS(1)).len(), MAX_AGENTS);
    agents.record_follow(AGENT_TIMEOUT, ip(900_000));
    assert_eq!(agents.recent(AGENT_TIMEOUT), [ip(900_000)]);
}

/// Guards against naming always the same few agents: agents split in two groups, one of which contains all of
/// those few, would stay apart.
#[test]
fn successive_samples_cover_all_agents() {
    let mut agents = Agents::new(ip(0));
    (1..=20).for_each(|n| agents.record_follow(MS(10), ip(n)));
    let mut sample: Vec<IpAddr> = (0..5).flat_map(|_| agents.sample(MS(20), ip(1))).collect();
    sample.sort();
    sample.dedup();
    assert_eq!(sample, (2..=20).map(ip).collect::<Vec<_>>());
}
