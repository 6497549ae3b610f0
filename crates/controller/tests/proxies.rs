//! The list of proxies that the holder of the lease tells.

use std::net::IpAddr;
use std::time::Duration;
use tindock_circulation::{Mark, Owners, Proxy};
use tindock_controller::Proxies;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn proxy(n: u8, life: u32) -> Proxy {
    Proxy { ip: IpAddr::from([10, 0, 0, n]), zone_index: n % 3, incarnation: life }
}

fn owners(proxies: &[Proxy]) -> Owners {
    Owners { mark: Mark { number: 1, version: 1 }, proxies: proxies.to_vec() }
}

/// The list, if it is another than the one told last; it is told then.
fn changed(proxies: &mut Proxies, now: Duration) -> Option<Vec<Proxy>> {
    let version = now.as_millis() as u64;
    proxies.has_changed(now).then(|| {
        proxies.tell(Mark { number: 2, version });
        proxies.told().map(|owners| owners.proxies.clone()).unwrap_or_default()
    })
}

/// Follows once a second, from all of these.
fn run(proxies: &mut Proxies, from: u64, to: u64, who: &[Proxy]) -> Vec<Vec<Proxy>> {
    let mut told = Vec::new();
    for t in (from..to).step_by(50) {
        if (t - from).is_multiple_of(1000) {
            who.iter().for_each(|proxy| proxies.follows(ms(t), *proxy));
        }
        told.extend(changed(proxies, ms(t)));
    }
    told
}

#[test]
fn a_first_list_waits_for_all() {
    let mut proxies = Proxies::new(ms(0), None);
    let all = [proxy(1, 7), proxy(2, 8), proxy(3, 9)];
    proxies.follows(ms(100), all[0]);
    assert_eq!(changed(&mut proxies, ms(200)), None);
    assert_eq!(run(&mut proxies, 1000, 5000, &all), vec![all.to_vec()]);
}

/// Guards against a service that stands still for longer than it must after a loss of everything: nothing is lent before the
/// first list.
#[test]
fn a_first_list_comes_once_no_more_agents_come() {
    let mut proxies = Proxies::new(ms(0), None);
    assert_eq!(proxies.next_due(), ms(1500));
    for (n, at) in [(1, 100), (2, 150), (3, 250)] {
        assert_eq!(changed(&mut proxies, ms(at)), None);
        proxies.follows(ms(at), proxy(n, 7));
    }
    // Following again is no coming.
    proxies.follows(ms(300), proxy(1, 7));
    assert_eq!(changed(&mut proxies, ms(369)), None);
    assert_eq!(proxies.next_due(), ms(370));
    assert_eq!(changed(&mut proxies, ms(370)).map(|list| list.len()), Some(3));
    // However many go on coming.
    let mut proxies = Proxies::new(ms(0), None);
    let first = (0..30).find(|n| {
        proxies.follows(ms(100 * u64::from(*n)), proxy(*n + 1, 7));
        changed(&mut proxies, ms(100 * u64::from(*n))).is_some()
    });
    assert_eq!(first, Some(15));
}

#[test]
fn a_successor_goes_on_with_the_list() {
    let before = [proxy(1, 7), proxy(2, 8), proxy(3, 9)];
    let mut proxies = Proxies::new(ms(0), Some(&owners(&before)));
    assert_eq!(changed(&mut proxies, ms(0)), None);
    // The second is gone, and the third began anew.
    let now = [proxy(1, 7), proxy(3, 10)];
    let told = run(&mut proxies, 100, 6000, &now);
    assert_eq!(told, vec![vec![before[0], before[1], now[1]], now.to_vec()]);
}

#[test]
fn one_that_leaves_is_gone_at_once_and_a_silent_one_after_a_while() {
    let all = [proxy(1, 7), proxy(2, 8)];
    let mut proxies = Proxies::new(ms(0), Some(&owners(&all)));
    proxies.follows(ms(100), proxy(2, 0));
    assert_eq!(changed(&mut proxies, ms(100)), Some(all[..1].to_vec()));
    let mut silent_at = None;
    for t in (100..6000).step_by(50) {
        if changed(&mut proxies, ms(t)).is_some_and(|list| list.is_empty()) {
            silent_at.get_or_insert(t);
        }
    }
    assert_eq!(silent_at, Some(2200));
}

/// Guards against a holder that was frozen, hears nobody for that time, and takes all for gone.
#[test]
fn who_stood_still_calls_nobody_silent() {
    let all = [proxy(1, 7), proxy(2, 8)];
    let mut proxies = Proxies::new(ms(0), Some(&owners(&all)));
    assert_eq!(changed(&mut proxies, ms(500)), None);
    assert_eq!(changed(&mut proxies, ms(9500)), None);
    assert_eq!(changed(&mut proxies, ms(10_000)), None);
    assert_eq!(proxies.told(), Some(&owners(&all)));
}
