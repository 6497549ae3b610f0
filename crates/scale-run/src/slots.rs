//! A proxy's part in giving out slots: what its books cost in memory and processor, and what one call costs in messages
//! between the proxy that has the call and the one that owns the instance.

use crate::distribution::instance;
use crate::report::Figure;
use crate::usage::{own_memory, timed};
use crate::Size;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_slot_allocation::messages::{kind, Ended};
use tindock_slot_allocation::{Action, Allocator, Entry, Function, Member};

/// What UDP and IP add to a datagram.
const DATAGRAM_HEADERS: usize = 28;
const PORT: u16 = 7301;
const CALLS: u32 = 2000;
/// A proxy tells the autoscaler what changed this often.
const TELL: Duration = Duration::from_millis(250);
/// A function that has been called once is told of for so long.
const QUIET: Duration = Duration::from_secs(60);
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
    Function { kind: kind(&name), name, slots: 2, boot: Duration::from_millis(900) }
}

fn entry(number: usize, size: Size) -> Entry {
    let listed = instance(number, size);
    Entry {
        kind: kind(&listed.service),
        instance: listed.instance,
        at: listed.at,
        zone: listed.zone,
        ready: true,
        accepts_calls: true,
        since: Duration::ZERO,
    }
}

/// The books of the proxy of this number, with everything known.
fn proxy(number: usize, size: Size) -> Allocator {
    let me = member(number);
    let mut lending = Allocator::new(me.at, me.zone, me.incarnation, number as u64, Duration::ZERO);
    lending.set_functions(Duration::ZERO, (0..size.functions).map(function).collect());
    lending.set_members(Duration::ZERO, members(size));
    let entries = (0..size.instances).map(|n| entry(n, size)).collect();
    lending.update_instances(Duration::ZERO, entries, &[]);
    lending
}

/// Messages of some calls between two proxies that share all instances.
#[derive(Debug, Default)]
struct Traffic {
    datagrams: usize,
    bytes: usize,
    served: u32,
    words: usize,
}

/// Two proxies of one zone with one function of one instance: the calls come to the one that does not own it.
fn calls() -> (Traffic, Duration) {
    let size = Size { schedulers: 2, functions: 1, instances: 1 };
    let zoned = |n: usize| Member { zone: Size::zone(0).to_string(), region: "east".into(), ..member(n) };
    let all = vec![zoned(0), zoned(1)];
    let mut proxies: Vec<Allocator> = all
        .iter()
        .map(|me| {
            let mut lending = Allocator::new(me.at, me.zone.clone(), me.incarnation, 1, Duration::ZERO);
            lending.set_functions(Duration::ZERO, vec![function(0)]);
            lending.set_members(Duration::ZERO, all.clone());
            lending.update_instances(Duration::ZERO, vec![entry(0, size)], &[]);
            lending
        })
        .collect();
    let owner = usize::from(proxies[1].pools().next().is_some());
    let requester = 1 - owner;
    let mut traffic = Traffic::default();
    let mut now = Duration::from_secs(10);
    // Who owns what is agreed before the first call.
    exchange(&mut proxies, &all, now, &mut Traffic::default());
    let (_, spent) = timed(|| {
        for _ in 0..CALLS {
            let end = now + Duration::from_secs(4);
            proxies[requester].request_slot(
                now,
                kind(&Size::function(0)),
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
            for lending in &mut proxies {
                lending.tick(now);
                traffic.words += lending.load_reports(now, TELL).len();
            }
            exchange(&mut proxies, &all, now, &mut traffic);
        }
    });
    (traffic, spent)
}

/// Carries datagrams until there are none; the calls that got a slot, by proxy.
fn exchange(
    proxies: &mut [Allocator],
    all: &[Member],
    now: Duration,
    traffic: &mut Traffic,
) -> Vec<(usize, u32)> {
    let mut granted = Vec::new();
    let mut waiting: VecDeque<(usize, SocketAddr, Vec<u8>)> = VecDeque::new();
    loop {
        for (number, lending) in proxies.iter_mut().enumerate() {
            while let Some(order) = lending.pull() {
                match order {
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

/// How often the autoscaler is told of a function that has been called once.
fn words_of_a_lone_call() -> usize {
    let size = Size { schedulers: 1, functions: 1, instances: 1 };
    let mut lending = proxy(0, size);
    let mut now = Duration::from_secs(10);
    lending.request_slot(now, kind(&Size::function(0)), 2, now + RUN, now + Duration::from_secs(4), "");
    let mut words = 0;
    let end = now + QUIET;
    while now < end {
        while let Some(order) = lending.pull() {
            if let Action::Dispatch { call, .. } = order {
                lending.settle(now, call, Ended::Done);
            }
        }
        lending.tick(now);
        words += lending.load_reports(now, TELL).len();
        now += TELL;
    }
    words
}

/// Measures one proxy that knows everything, and calls between two.
pub fn run(size: Size) -> Vec<Figure> {
    let memory = own_memory();
    let (mut lending, learning) = timed(|| proxy(0, size));
    let held = own_memory() - memory;
    let owned: usize = lending.pools().map(|shelf| shelf.ledgers.len()).sum();
    while lending.pull().is_some() {}

    let mut without = members(size);
    without.pop();
    let mut now = Duration::from_secs(10);
    let (_, leaving) = timed(|| lending.set_members(now, without));
    while lending.pull().is_some() {}
    let (_, returning) = timed(|| lending.set_members(now, members(size)));
    while lending.pull().is_some() {}

    let (ticks, mut resting) = (100, Duration::ZERO);
    for _ in 0..ticks {
        now += Duration::from_millis(100);
        resting += timed(|| {
            let busy = lending.busy();
            lending.tick(now);
            busy
        })
        .1;
        while lending.pull().is_some() {}
    }
    let (_, telling) = timed(|| lending.load_reports(now, TELL));
    let (traffic, calling) = calls();
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    let served = f64::from(traffic.served.max(1));
    vec![
        Figure::new("functions", size.functions as f64, ""),
        Figure::new("instances", size.instances as f64, ""),
        Figure::new("instances owned", owned as f64, ""),
        Figure::new("memory", held, "MiB"),
        Figure::new("learns everything", ms(learning), "ms"),
        Figure::new("a member goes", ms(leaving), "ms"),
        Figure::new("a member comes", ms(returning), "ms"),
        Figure::new("a look at the clock, at rest", ms(resting) / f64::from(ticks), "ms"),
        Figure::new("gathers demand, at rest", ms(telling), "ms"),
        Figure::new("datagrams of a call that needs another's slot", traffic.datagrams as f64 / served, ""),
        Figure::new("their bytes, with headers", traffic.bytes as f64 / served, "B"),
        Figure::new("processor of both proxies' books, a call", ms(calling) * 1e3 / served, "us"),
        Figure::new("words of demand after a lone call", words_of_a_lone_call() as f64, ""),
    ]
}
