//! A proxy's part in slot allocation: cost of its ledgers in memory and processor time, and messages of one
//! call between the proxy that has the call and the one that owns the instance.

use crate::distribution::instance;
use crate::report::Figure;
use crate::usage::{own_memory, timed};
use crate::Size;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::messages::Ended;
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

/// What UDP and IP add to a datagram.
const DATAGRAM_HEADERS: usize = 28;
const PORT: u16 = 7301;
const CALLS: u32 = 2000;
/// Interval of a proxy's load reports to the autoscaler.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which load reports of a function are counted after its only call.
const OBSERVED_AFTER_CALL: Duration = Duration::from_secs(60);
const RUN: Duration = Duration::from_millis(80);

fn member(number: usize) -> Member {
    let (zone, region) = crate::ZONES[number % crate::ZONES.len()];
    Member {
        at: SocketAddr::new(Ipv4Addr::from(0x0a00_0000 + number as u32).into(), PORT),
        zone: zone.to_string(),
        region: region.to_string(),
        incarnation: 7,
    }
}

fn members(size: Size) -> Vec<Member> {
    (0..size.schedulers).map(member).collect()
}

fn function(number: usize) -> Function {
    let name = Size::function(number);
    Function { id: FunctionId::of(&name), name, slots: 2, boot: Duration::from_millis(900) }
}

fn entry(number: usize, size: Size) -> Entry {
    let listed = instance(number, size);
    Entry {
        function_id: FunctionId::of(&listed.service),
        instance: listed.instance,
        at: listed.at,
        zone: listed.zone,
        ready: true,
        accepts_calls: true,
        since: Duration::ZERO,
    }
}

/// The allocator of the proxy of this number, with all members, functions and instances.
fn proxy(number: usize, size: Size) -> Allocator {
    let me = member(number);
    let mut allocator = Allocator::new(me.at, me.zone, me.incarnation, number as u64, Duration::ZERO);
    allocator.set_functions(Duration::ZERO, (0..size.functions).map(function).collect());
    allocator.set_members(Duration::ZERO, members(size));
    let entries = (0..size.instances).map(|n| entry(n, size)).collect();
    allocator.update_instances(Duration::ZERO, entries, &[]);
    allocator
}

/// Messages of the calls between two proxies that share all instances.
#[derive(Debug, Default)]
struct Traffic {
    datagrams: usize,
    bytes: usize,
    served: u32,
    reports: usize,
}

/// Two proxies of one zone with one function of one instance: all calls arrive at the one that does not own
/// it.
fn calls() -> (Traffic, Duration) {
    let size = Size { schedulers: 2, functions: 1, instances: 1 };
    let zoned = |n: usize| Member { zone: Size::zone(0).to_string(), region: "east".into(), ..member(n) };
    let all = vec![zoned(0), zoned(1)];
    let mut proxies: Vec<Allocator> = all
        .iter()
        .map(|me| {
            let mut allocator = Allocator::new(me.at, me.zone.clone(), me.incarnation, 1, Duration::ZERO);
            allocator.set_functions(Duration::ZERO, vec![function(0)]);
            allocator.set_members(Duration::ZERO, all.clone());
            allocator.update_instances(Duration::ZERO, vec![entry(0, size)], &[]);
            allocator
        })
        .collect();
    let owner = usize::from(proxies[1].pools().next().is_some());
    let requester = 1 - owner;
    let mut traffic = Traffic::default();
    let mut now = Duration::from_secs(10);
    // Ownership is settled before the first call.
    exchange(&mut proxies, &all, now, &mut Traffic::default());
    let (_, cpu_time) = timed(|| {
        for _ in 0..CALLS {
            let end = now + Duration::from_secs(4);
            proxies[requester].request_slot(
                now,
                FunctionId::of(&Size::function(0)),
                2,
                now + Duration::from_millis(1500),
                end,
                "",
            );
            let granted = exchange(&mut proxies, &all, now, &mut traffic);
            now += RUN;
            for (number, call) in granted {
                proxies[number].settle(now, call, Ended::Done);
                traffic.served += 1;
            }
            exchange(&mut proxies, &all, now, &mut traffic);
            for allocator in &mut proxies {
                allocator.tick(now);
                traffic.reports += allocator.load_reports(now, REPORT_INTERVAL).len();
            }
            exchange(&mut proxies, &all, now, &mut traffic);
        }
    });
    (traffic, cpu_time)
}

/// Delivers datagrams until there are none; returns the calls that were granted a slot, by proxy.
fn exchange(
    proxies: &mut [Allocator],
    all: &[Member],
    now: Duration,
    traffic: &mut Traffic,
) -> Vec<(usize, u32)> {
    let mut granted = Vec::new();
    let mut waiting: VecDeque<(usize, SocketAddr, Vec<u8>)> = VecDeque::new();
    loop {
        for (number, allocator) in proxies.iter_mut().enumerate() {
            while let Some(action) = allocator.pull() {
                match action {
                    Action::Send { to, bytes } => waiting.push_back((number, to, bytes)),
                    Action::Dispatch { call, .. } => granted.push((number, call)),
                    _ => {}
                }
            }
        }
        let Some((from, to, bytes)) = waiting.pop_front() else { return granted };
        traffic.datagrams += 1;
        traffic.bytes += bytes.len() + DATAGRAM_HEADERS;
        if let Some(to) = all.iter().position(|member| member.at == to) {
            proxies[to].receive(now, all[from].at, &bytes);
        }
    }
}

/// Number of load reports about a function that has been called once.
fn reports_after_a_single_call() -> usize {
    let size = Size { schedulers: 1, functions: 1, instances: 1 };
    let mut allocator = proxy(0, size);
    let mut now = Duration::from_secs(10);
    allocator.request_slot(
        now,
        FunctionId::of(&Size::function(0)),
        2,
        now + RUN,
        now + Duration::from_secs(4),
        "",
    );
    let mut reports = 0;
    let end = now + OBSERVED_AFTER_CALL;
    while now < end {
        while let Some(action) = allocator.pull() {
            if let Action::Dispatch { call, .. } = action {
                allocator.settle(now, call, Ended::Done);
            }
        }
        allocator.tick(now);
        reports += allocator.load_reports(now, REPORT_INTERVAL).len();
        now += REPORT_INTERVAL;
    }
    reports
}

/// Measures one proxy with complete knowledge, and calls between two proxies.
pub fn run(size: Size) -> Vec<Figure> {
    let memory = own_memory();
    let (mut allocator, setup_time) = timed(|| proxy(0, size));
    let memory_used = own_memory() - memory;
    let owned: usize = allocator.pools().map(|pool| pool.ledgers.len()).sum();
    while allocator.pull().is_some() {}

    let mut remaining = members(size);
    remaining.pop();
    let mut now = Duration::from_secs(10);
    let (_, member_removal_time) = timed(|| allocator.set_members(now, remaining));
    while allocator.pull().is_some() {}
    let (_, member_addition_time) = timed(|| allocator.set_members(now, members(size)));
    while allocator.pull().is_some() {}

    let (ticks, mut tick_time) = (100, Duration::ZERO);
    for _ in 0..ticks {
        now += Duration::from_millis(100);
        tick_time += timed(|| {
            let busy = allocator.busy();
            allocator.tick(now);
            busy
        })
        .1;
        while allocator.pull().is_some() {}
    }
    let (_, report_time) = timed(|| allocator.load_reports(now, REPORT_INTERVAL));
    let (traffic, call_time) = calls();
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    let served = f64::from(traffic.served.max(1));
    vec![
        Figure::new("functions", size.functions as f64, ""),
        Figure::new("instances", size.instances as f64, ""),
        Figure::new("instances owned", owned as f64, ""),
        Figure::new("memory", memory_used, "MiB"),
        Figure::new("learns everything", ms(setup_time), "ms"),
        Figure::new("a member goes", ms(member_removal_time), "ms"),
        Figure::new("a member comes", ms(member_addition_time), "ms"),
        Figure::new("a look at the clock, at rest", ms(tick_time) / f64::from(ticks), "ms"),
        Figure::new("gathers demand, at rest", ms(report_time), "ms"),
        Figure::new("datagrams of a call that needs another's slot", traffic.datagrams as f64 / served, ""),
        Figure::new("their bytes, with headers", traffic.bytes as f64 / served, "B"),
        Figure::new("processor of both proxies' books, a call", ms(call_time) * 1e3 / served, "us"),
        Figure::new("words of demand after a lone call", reports_after_a_single_call() as f64, ""),
    ]
}
