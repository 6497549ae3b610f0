//! The list of proxies that the lease holder publishes.

use std::net::IpAddr;
use std::time::Duration;
use tindock_controller::Proxies;
use tindock_instance_distribution::{Mark, Owners, Proxy};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn proxy(n: u8, life: u32) -> Proxy {
    Proxy { ip: IpAddr::from([10, 0, 0, n]), zone_index: n % 3, incarnation: life }
}

fn owners(proxies: &[Proxy]) -> Owners {
    Owners { mark: Mark { number: 1, version: 1 }, proxies: proxies.to_vec() }
}

/// Publishes the list if it differs from the last published one, and returns it.
fn publish_if_changed(proxies: &mut Proxies, now: Duration) -> Option<Vec<Proxy>> {
    let version = now.as_millis() as u64;
    proxies.has_changed(now).then(|| {
        proxies.publish(Mark { number: 2, version });
        proxies.published().map(|owners| owners.proxies.clone()).unwrap_or_default()
    })
}

/// Records each of these proxies once a second.
fn run(proxies: &mut Proxies, from: u64, to: u64, who: &[Proxy]) -> Vec<Vec<Proxy>> {
    let mut published = Vec::new();
    for t in (from..to).step_by(50) {
        if (t - from).is_multiple_of(1000) {
            who.iter().for_each(|proxy| proxies.record(ms(t), *proxy));
        }
        published.extend(publish_if_changed(proxies, ms(t)));
    }
    published
}

#[test]
fn the_first_list_waits_for_all_agents() {
    let mut proxies = Proxies::new(ms(0), None);
    let all = [proxy(1, 7), proxy(2, 8), proxy(3, 9)];
    proxies.record(ms(100), all[0]);
    assert_eq!(publish_if_changed(&mut proxies, ms(200)), None);
    assert_eq!(run(&mut proxies, 1000, 5000, &all), vec![all.to_vec()]);
}

/// Guards against a longer interruption than necessary after a restart of the whole system: no slots are
/// granted before the first list.
#[test]
fn the_first_list_is_published_once_no_new_agents_arrive() {
    let mut proxies = Proxies::new(ms(0), None);
    assert_eq!(proxies.next_due(), ms(1500));
    for (n, at) in [(1, 100), (2, 150), (3, 250)] {
        assert_eq!(publish_if_changed(&mut proxies, ms(at)), None);
        proxies.record(ms(at), proxy(n, 7));
    }
    // A repeated report is not a new agent.
    proxies.record(ms(300), proxy(1, 7));
    assert_eq!(publish_if_changed(&mut proxies, ms(369)), None);
    assert_eq!(proxies.next_due(), ms(370));
    assert_eq!(publish_if_changed(&mut proxies, ms(370)).map(|list| list.len()), Some(3));
    // Even if new agents keep appearing.
    let mut proxies = Proxies::new(ms(0), None);
    let first = (0..30).find(|n| {
        proxies.record(ms(100 * u64::from(*n)), proxy(*n + 1, 7));
        publish_if_changed(&mut proxies, ms(100 * u64::from(*n))).is_some()
    });
    assert_eq!(first, Some(15));
}

#[test]
fn a_new_holder_continues_with_the_previous_list() {
    let before = [proxy(1, 7), proxy(2, 8), proxy(3, 9)];
    let mut proxies = Proxies::new(ms(0), Some(&owners(&before)));
    assert_eq!(publish_if_changed(&mut proxies, ms(0)), None);
    // The second is gone, and the third has restarted.
    let now = [proxy(1, 7), proxy(3, 10)];
    let published = run(&mut proxies, 100, 6000, &now);
    assert_eq!(published, vec![vec![before[0], before[1], now[1]], now.to_vec()]);
}

#[test]
fn a_leaving_proxy_is_removed_at_once_and_a_silent_one_after_a_timeout() {
    let all = [proxy(1, 7), proxy(2, 8)];
    let mut proxies = Proxies::new(ms(0), Some(&owners(&all)));
    proxies.record(ms(100), proxy(2, 0));
    assert_eq!(publish_if_changed(&mut proxies, ms(100)), Some(all[..1].to_vec()));
    let mut silent_at = None;
    for t in (100..6000).step_by(50) {
        if publish_if_changed(&mut proxies, ms(t)).is_some_and(|list| list.is_empty()) {
            silent_at.get_or_insert(t);
        }
    }
    assert_eq!(silent_at, Some(2200));
}

/// Guards against a holder that was suspended, received nothing during that time, and removes all proxies as
/// silent.
#[test]
fn a_paused_holder_does_not_remove_proxies() {
    let all = [proxy(1, 7), proxy(2, 8)];
    let mut proxies = Proxies::new(ms(0), Some(&owners(&all)));
    assert_eq!(publish_if_changed(&mut proxies, ms(500)), None);
    assert_eq!(publish_if_changed(&mut proxies, ms(9500)), None);
    assert_eq!(publish_if_changed(&mut proxies, ms(10_000)), None);
    assert_eq!(proxies.published(), Some(&owners(&all)));
}
