//! Where instances go by where calls come from, and how many a waiting call has started.

use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_stacks::{
    Demand, Entry, Host, InstanceState, ListedInstance, Order, PlatformSettings, Scaler, Service, StartResult,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn scaler(service: Service) -> Scaler {
    let zone = |zone: &str| (zone.to_string(), "r".to_string());
    let terms = PlatformSettings {
        zones: vec![zone("a"), zone("b")],
        drain: ms(3000),
        address_reuse: ms(2000),
        call_rate: 100.0,
        list_lag: ms(0),
    };
    let mut scaler = Scaler::new(terms, 1, 1, ms(0));
    scaler.update_services(ms(0), &[service]);
    let host = |zone: &str| Host {
        name: format!("w-{zone}"),
        zone: zone.into(),
        memory_mb: 8192,
        free_memory_mb: 8192,
        up: true,
    };
    scaler.update_hosts(ms(0), &[host("a"), host("b")]);
    scaler.update_instances(ms(0), &[]);
    scaler.inherit(ms(0), &[], &[], 1);
    scaler
}

fn service(memory_mb: u32, boot_ms: u32, max_inflight: u32, target_ms: u32) -> Service {
    Service { name: "s".into(), memory_mb, boot_ms, max_inflight, target_ms, priority: 2, routed: true }
}

/// Plays until `end`, `demand` being told each 250 ms; starts by host.
fn starts(mut scaler: Scaler, end: u64, demand: impl Fn(u64) -> Option<Demand>) -> BTreeMap<String, usize> {
    let mut by = BTreeMap::new();
    let at = SocketAddr::from(([10, 0, 0, 1], 80));
    for t in (0..end).step_by(50) {
        if let Some(demand) = demand(t).filter(|_| t % 250 == 0) {
            scaler.update_demand(ms(t), demand);
        }
        while let Some(order) = scaler.next(ms(t)) {
            match order {
                Order::Begin { token, host, nonce, .. } => {
                    *by.entry(host).or_default() += 1;
                    scaler.start_answered(
                        ms(t),
                        token,
                        StartResult::Started { instance: nonce.clone(), address: at },
                    );
                    scaler.instance_ready(ms(t), &nonce);
                }
                Order::Stop { token, .. } => scaler.stop_answered(ms(t), token, true),
            }
        }
    }
    by
}

/// Guards against what the lender's zone says: all calls are asked for where the instances are, so a zone that keeps an
/// instance busy never had one of its own, and three of four calls crossed.
#[rstest]
#[case::all_from_b(vec![("b", 1.0)], &["w-b"])]
#[case::from_both(vec![("a", 0.5), ("b", 0.5)], &["w-a", "w-b"])]
#[case::few_from_b(vec![("a", 0.96), ("b", 0.04)], &["w-a"])]
#[case::not_told(vec![], &["w-a"])]
fn a_zone_has_its_own_instance_by_the_calls_it_sends(
    #[case] origins: Vec<(&str, f32)>,
    #[case] hosts: &[&str],
) {
    let origins: Vec<(String, f32)> = origins.into_iter().map(|(z, share)| (z.to_string(), share)).collect();
    let demand = |t: u64| {
        (t >= 500).then(|| Demand {
            service: "s".into(),
            zone: "a".into(),
            rate: 40.0,
            busy: 2.8,
            peak: 5,
            waiting: 0,
            run_ms: 70.0,
            idle_ms: 10,
            origins: origins.clone(),
        })
    };
    let by = starts(scaler(service(1024, 1400, 8, 300)), 12_000, demand);
    // One stands where its name puts it before there is any traffic, and the rise at the beginning has some more started.
    for host in hosts {
        assert!(by.contains_key(*host), "{by:?}");
    }
    assert!(by.values().sum::<usize>() <= hosts.len() + 2, "{by:?}");
}

/// Guards against starts that serve nobody: one waiting call was counted as busy, as a peak and as waiting, and had two or
/// three instances started (1,381 of 3,246 on a calm day never got a request).
#[rstest]
#[case::short_runs(60.0, 1)]
#[case::long_runs(1500.0, 1)]
fn a_call_that_waits_has_one_instance_started(#[case] run_ms: f32, #[case] most: usize) {
    let demand = |t: u64| {
        (1000..=1250).contains(&t).then(|| Demand {
            service: "s".into(),
            zone: "a".into(),
            rate: 0.8,
            busy: 0.0,
            peak: 1,
            waiting: 1,
            run_ms,
            idle_ms: 0,
            origins: Vec::new(),
        })
    };
    let by = starts(scaler(service(128, 900, 1, 1500)), 2000, demand);
    assert_eq!(by.values().sum::<usize>(), most, "{by:?}");
}

/// Guards against instances that nobody stops: one that the holder before was about to stop reached the next holder as
/// draining, which the platform shows as up, and was still there a minute later.
#[test]
fn what_the_holder_before_was_about_to_stop_is_stopped() {
    let mut scaler = scaler(service(128, 900, 1, 1500));
    let entry = Entry {
        instance: "i-1".into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: "a".into(),
        host: "w-a".into(),
        since_ms: 0,
        state: InstanceState::Draining,
        version: 0,
        replaces: None,
    };
    let listed = ListedInstance {
        instance: "i-1".into(),
        service: "s".into(),
        address: entry.address,
        zone: "a".into(),
        host: "w-a".into(),
        draining: false,
    };
    scaler.inherit(ms(0), &[entry], &[], 1);
    let mut stopped = false;
    for t in (0..10_000).step_by(100) {
        if t % 500 == 0 && !stopped {
            scaler.update_instances(ms(t), std::slice::from_ref(&listed));
        }
        while let Some(order) = scaler.next(ms(t)) {
            let Order::Stop { token, instance } = order else { panic!("{order:?}") };
            assert_eq!(instance, "i-1");
            scaler.stop_answered(ms(t), token, true);
            stopped = true;
        }
    }
    assert!(stopped);
}

/// Guards against calls after a drain's end: one that came up on a host which drains was lent until the list showed it.
#[rstest]
#[case(false, 0)]
#[case(true, 1)]
fn one_still_starting_on_a_host_that_drains_is_stopped(#[case] drains: bool, #[case] stops: usize) {
    let mut scaler = scaler(service(128, 2900, 1, 1500));
    let Some(Order::Begin { token, host, .. }) = scaler.next(ms(0)) else { panic!("no start") };
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    scaler.start_answered(ms(0), token, StartResult::Started { instance: "i-1".into(), address });
    let hosts = ["w-a", "w-b"].map(|name| Host {
        name: name.into(),
        zone: name[2..].into(),
        memory_mb: 8192,
        free_memory_mb: 8064,
        up: !drains || name != host,
    });
    scaler.update_hosts(ms(500), &hosts);
    let mut stopped = 0;
    for t in (500..2500).step_by(50) {
        while let Some(order) = scaler.next(ms(t)) {
            stopped += usize::from(matches!(order, Order::Stop { instance, .. } if instance == "i-1"));
        }
    }
    assert_eq!(stopped, stops);
}

/// Guards against the gap of a whole start after the only instance is lost, where that is longer than a drain (3 s).
#[rstest]
#[case(2900, 1)]
#[case(20_000, 2)]
fn what_starts_slower_than_a_drain_has_two(#[case] boot_ms: u32, #[case] there: usize) {
    let by = starts(scaler(service(128, boot_ms, 4, 1000)), 2000, |_| None);
    assert_eq!(by.values().sum::<usize>(), there);
    assert_eq!(by.len(), there);
}
