//! Placement of instances by the zones of their calls, and the number of starts and stops in special cases.

use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_autoscaler::{
    Demand, Entry, Host, InstanceState, ListedInstance, Order, PlatformSettings, Scaler, Service, StartResult,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn scaler(service: Service) -> Scaler {
    let zone = |zone: &str| (zone.to_string(), "r".to_string());
    let platform_settings = PlatformSettings {
        zones: vec![zone("a"), zone("b")],
        drain: ms(3000),
        address_reuse: ms(2000),
        call_rate: 100.0,
        list_lag: ms(0),
    };
    let mut scaler = Scaler::new(platform_settings, 1, 1, ms(0));
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

/// Runs until `end` with `demand` reported every 250 ms; returns the number of starts by host.
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

/// Guards against placement by the slot allocator's zone. Slots are requested in the zones of the instances,
/// so a zone that kept an instance busy never got a local one, and three of four calls crossed zones.
#[rstest]
#[case::all_from_b(vec![("b", 1.0)], &["w-b"])]
#[case::from_both(vec![("a", 0.5), ("b", 0.5)], &["w-a", "w-b"])]
#[case::few_from_b(vec![("a", 0.96), ("b", 0.04)], &["w-a"])]
#[case::no_origins(vec![], &["w-a"])]
fn local_instances_follow_the_zones_that_send_calls(
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
    // One instance is started in the zone derived from the service name before any traffic, and the initial
    // rise of the rate starts a few more.
    for host in hosts {
        assert!(by.contains_key(*host), "{by:?}");
    }
    assert!(by.values().sum::<usize>() <= hosts.len() + 2, "{by:?}");
}

/// Guards against starts that serve no call: one waiting call was counted as busy, as peak and as waiting,
/// and started two or three instances (1,381 of 3,246 instances of a quiet day never got a request).
#[rstest]
#[case::short_runs(60.0, 1)]
#[case::long_runs(1500.0, 1)]
fn waiting_call_starts_only_one_instance(#[case] run_ms: f32, #[case] most: usize) {
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

/// Guards against instances that are never stopped: an instance that the previous lease holder was about to
/// stop reached the next holder as draining, while the platform listed it as up; a minute later it still ran.
#[test]
fn instance_ending_under_the_previous_holder_is_stopped() {
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

/// Guards against calls after the end of a drain: slots of an instance that became ready on a draining host
/// were allocated until the list showed it as draining.
#[rstest]
#[case(false, 0)]
#[case(true, 1)]
fn starting_instance_on_a_draining_host_is_stopped(#[case] drains: bool, #[case] stops: usize) {
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

/// Guards against a gap as long as a start after the loss of the only instance, where a start takes longer
/// than a drain (3 s).
#[rstest]
#[case(2900, 1)]
#[case(20_000, 2)]
fn service_booting_slower_than_a_drain_has_two_instances(#[case] boot_ms: u32, #[case] expected: usize) {
    let by = starts(scaler(service(128, boot_ms, 4, 1000)), 2000, |_| None);
    assert_eq!(by.values().sum::<usize>(), expected);
    assert_eq!(by.len(), expected);
}
