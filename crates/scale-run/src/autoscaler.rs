//! The autoscaler of the lease holder: cost of a pass over all functions, of reading the platform's list and
//! of a demand report, and its memory.

use crate::distribution::instance;
use crate::report::Figure;
use crate::usage::{own_memory, timed};
use crate::{Size, ZONES};
use std::time::Duration;
use tindock_autoscaler::{Demand, Host, ListedInstance, PlatformSettings, Scaler, Service};

/// Virtual time of the measurement.
const LENGTH: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(50);
/// Interval at which a controller reads the list of instances; it reads the worker machines half as often.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Each step reports the demand of one in this many functions.
const REPORT_STRIDE: usize = 20;
const HOSTS: usize = 500;

fn platform_settings() -> PlatformSettings {
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

/// A demand report that keeps the current number of instances.
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

/// Simulates a lease holder that receives demand reports of all functions in turn.
pub fn run(size: Size) -> Vec<Figure> {
    let memory = own_memory();
    let services: Vec<Service> = (0..size.functions).map(service).collect();
    let hosts: Vec<Host> = (0..HOSTS).map(host).collect();
    let list: Vec<ListedInstance> = (0..size.instances).map(|number| listed(number, size)).collect();
    let inputs = own_memory() - memory;
    let mut now = Duration::ZERO;
    let mut scaler = Scaler::new(platform_settings(), 1, 1, now);
    let (_, configure_time) = timed(|| scaler.update_services(now, &services));
    scaler.inherit(now, &[], &[], 1);
    let (mut list_time, mut lists, mut planning_time, mut report_time, mut reported, mut actions) =
        (Duration::ZERO, 0u32, Duration::ZERO, Duration::ZERO, 0u32, 0u32);
    let mut step = 0;
    while now < LENGTH {
        if now.as_millis().is_multiple_of(LIST_INTERVAL.as_millis()) {
            list_time += timed(|| scaler.update_instances(now, &list)).1;
            scaler.update_hosts(now, &hosts);
            lists += 1;
        }
        let reports: Vec<Demand> =
            (step % REPORT_STRIDE..size.functions).step_by(REPORT_STRIDE).map(|n| demand(n, size)).collect();
        reported += reports.len() as u32;
        report_time += timed(|| reports.into_iter().for_each(|report| scaler.update_demand(now, report))).1;
        planning_time += timed(|| {
            while scaler.next(now).is_some() {
                actions += 1;
            }
        })
        .1;
        step += 1;
        now += STEP;
    }
    let memory_used = own_memory() - memory - inputs;
    let (update, gather_time) = timed(|| scaler.changes_since(0));
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    vec![
        Figure::new("functions", size.functions as f64, ""),
        Figure::new("instances", update.entries.len() as f64, ""),
        Figure::new("takes a configuration", ms(configure_time), "ms"),
        Figure::new("reads the platform's list once", ms(list_time) / f64::from(lists), "ms"),
        Figure::new("takes a word of demand", ms(report_time) * 1e3 / f64::from(reported), "us"),
        Figure::new("plans, a second", ms(planning_time) / LENGTH.as_secs_f64(), "ms/s"),
        Figure::new("plans, a word of demand", ms(planning_time) * 1e3 / f64::from(reported), "us"),
        Figure::new("orders to the platform", f64::from(actions) / LENGTH.as_secs_f64(), "/s"),
        Figure::new("gathers the whole list", ms(gather_time), "ms"),
        Figure::new("memory", memory_used, "MiB"),
    ]
}
