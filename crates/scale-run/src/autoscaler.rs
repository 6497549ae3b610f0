//! The autoscaler of whoever holds the lease: what a pass over all functions, a reading of the platform's list and a
//! word of demand cost, and how much memory it holds.

use crate::distribution::instance;
use crate::report::Figure;
use crate::usage::{own_memory, timed};
use crate::{Size, ZONES};
use std::time::Duration;
use tindock_autoscaler::{Demand, Host, ListedInstance, PlatformSettings, Scaler, Service};

/// Virtual time that the figures are taken over.
const LENGTH: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(50);
/// The controller reads the list this often, and the worker machines half as often.
const LIST: Duration = Duration::from_millis(500);
/// One function in so many is told of in each step.
const TOLD_OF: usize = 20;
const HOSTS: usize = 500;

fn terms() -> PlatformSettings {
    PlatformSettings {
        zones: ZONES.iter().map(|(zone, region)| (zone.to_string(), region.to_string())).collect(),
        drain: Duration::from_secs(3),
        address_reuse: Duration::from_secs(2),
        call_rate: 150.0,
        list_lag: Duration::from_millis(800),
    }
}

fn service(number: usize) -> Service {
    Service {
        name: Size::function(number),
        memory_mb: 128,
        boot_ms: 900,
        max_inflight: 2,
        target_ms: 1500,
        priority: 2,
        routed: true,
    }
}

fn host(number: usize) -> Host {
    Host {
        name: format!("worker-{number:04}"),
        zone: Size::zone(number).to_string(),
        memory_mb: 65_536,
        free_memory_mb: 32_768,
        up: true,
    }
}

fn listed(number: usize, size: Size) -> ListedInstance {
    let instance = instance(number, size);
    ListedInstance {
        instance: instance.instance,
        service: instance.service,
        address: instance.at,
        zone: instance.zone,
        host: instance.host,
        draining: false,
    }
}

/// A word of demand: enough to keep the instances there are.
fn demand(function: usize, size: Size) -> Demand {
    let busy = 2.0 * size.instances as f32 / size.functions as f32 / ZONES.len() as f32;
    Demand {
        service: Size::function(function),
        zone: Size::zone(function).to_string(),
        rate: 5.0,
        busy,
        peak: busy as u16 + 1,
        waiting: 0,
        run_ms: 80.0,
        idle_ms: 0,
        origins: Vec::new(),
    }
}

/// Plays a holder of the lease that is told of all functions in turn.
pub fn run(size: Size) -> Vec<Figure> {
    let memory = own_memory();
    let services: Vec<Service> = (0..size.functions).map(service).collect();
    let hosts: Vec<Host> = (0..HOSTS).map(host).collect();
    let list: Vec<ListedInstance> = (0..size.instances).map(|number| listed(number, size)).collect();
    let inputs = own_memory() - memory;
    let mut now = Duration::ZERO;
    let mut scaler = Scaler::new(terms(), 1, 1, now);
    let (_, configuring) = timed(|| scaler.update_services(now, &services));
    scaler.inherit(now, &[], &[], 1);
    let (mut listing, mut lists, mut passing, mut telling, mut told, mut orders) =
        (Duration::ZERO, 0u32, Duration::ZERO, Duration::ZERO, 0u32, 0u32);
    let mut turn = 0;
    while now < LENGTH {
        if now.as_millis().is_multiple_of(LIST.as_millis()) {
            listing += timed(|| scaler.update_instances(now, &list)).1;
            scaler.update_hosts(now, &hosts);
            lists += 1;
        }
        let words: Vec<Demand> =
            (turn % TOLD_OF..size.functions).step_by(TOLD_OF).map(|n| demand(n, size)).collect();
        told += words.len() as u32;
        telling += timed(|| words.into_iter().for_each(|word| scaler.update_demand(now, word))).1;
        passing += timed(|| {
            while scaler.next(now).is_some() {
                orders += 1;
            }
        })
        .1;
        turn += 1;
        now += STEP;
    }
    let held = own_memory() - memory - inputs;
    let (news, gathering) = timed(|| scaler.changes_since(0));
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    vec![
        Figure::new("functions", size.functions as f64, ""),
        Figure::new("instances", news.entries.len() as f64, ""),
        Figure::new("takes a configuration", ms(configuring), "ms"),
        Figure::new("reads the platform's list once", ms(listing) / f64::from(lists), "ms"),
        Figure::new("takes a word of demand", ms(telling) * 1e3 / f64::from(told), "us"),
        Figure::new("plans, a second", ms(passing) / LENGTH.as_secs_f64(), "ms/s"),
        Figure::new("plans, a word of demand", ms(passing) * 1e3 / f64::from(told), "us"),
        Figure::new("orders to the platform", f64::from(orders) / LENGTH.as_secs_f64(), "/s"),
        Figure::new("gathers the whole list", ms(gathering), "ms"),
        Figure::new("memory", held, "MiB"),
    ]
}
