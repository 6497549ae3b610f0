//! Peer sampling among all agents on virtual time: its cost for an agent, and the completeness of the views.

use crate::report::Figure;
use crate::usage::timed;
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tindock_peer_sampling::{Message, PeerSampler};

/// What UDP and IP add to a datagram.
const DATAGRAM_HEADERS: usize = 28;
const STEP: Duration = Duration::from_millis(50);
/// Interval of the check whether all views are complete.
const CHECK_INTERVAL_MS: u128 = 200;
/// A controller names this many agents to every requesting agent, at this interval.
const CONTACTS_PER_REPLY: usize = 6;
const CONTACTS_INTERVAL: Duration = Duration::from_secs(4);
/// Time for the agents to discover each other before the measurement.
const WARM_UP: Duration = Duration::from_secs(20);
/// An exchange continues until neither side lacks an entry; more replies than this would be a defect.
const MAX_REPLIES: usize = 8;

/// The address of the agent of this number.
fn address(number: usize) -> IpAddr {
    Ipv4Addr::from(0x0a00_0000 + number as u32).into()
}

fn number(ip: IpAddr) -> Option<usize> {
    match ip {
        IpAddr::V4(v4) => Some((u32::from(v4) - 0x0a00_0000) as usize),
        IpAddr::V6(_) => None,
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Sent {
    messages: usize,
    bytes: usize,
}

struct Network {
    agents: Vec<Option<PeerSampler>>,
    sent: Sent,
}

impl Network {
    fn new(schedulers: usize, seed: u64) -> Network {
        let agent = |n: usize| {
            let mut views = PeerSampler::new(
                address(n),
                (n % crate::ZONES.len()) as u8,
                1,
                seed + n as u64,
                Duration::ZERO,
            );
            views.set_serving(Duration::ZERO, 7);
            Some(views)
        };
        Network { agents: (0..schedulers).map(agent).collect(), sent: Sent::default() }
    }

    /// The controller names some agents, always the same ones, to all agents.
    fn add_contacts_to_all(&mut self, now: Duration) {
        for views in self.agents.iter_mut().flatten() {
            views.add_contacts(now, (0..CONTACTS_PER_REPLY).map(address));
        }
    }

    fn step(&mut self, now: Duration) {
        for n in 0..self.agents.len() {
            let messages = self.agents[n].as_mut().map(|views| views.tick(now)).unwrap_or_default();
            for (to, message) in messages {
                self.deliver(now, n, to, message);
            }
        }
    }

    /// Delivers a message and the replies that follow from it.
    fn deliver(&mut self, now: Duration, from: usize, to: IpAddr, message: Message) {
        let Some(to) = number(to) else { return };
        let mut waiting = VecDeque::from([(from, to, message)]);
        let mut replies = 0;
        while let Some((from, to, message)) = waiting.pop_front() {
            self.sent.messages += 1;
            self.sent.bytes += message.encode().len() + DATAGRAM_HEADERS;
            let reply = self
                .agents
                .get_mut(to)
                .and_then(Option::as_mut)
                .and_then(|views| views.receive(now, &message));
            replies += 1;
            if let Some(reply) = reply.filter(|_| replies < MAX_REPLIES) {
                waiting.push_back((to, from, reply));
            }
        }
    }

    fn views(&self, now: Duration) -> Vec<Vec<IpAddr>> {
        let alive_members = |views: &PeerSampler| views.alive(now).iter().map(|peer| peer.ip).collect();
        self.agents.iter().flatten().map(alive_members).collect()
    }
}

/// Simulates this many idle agents for `length` after a warm-up, then ends one of them.
pub fn run(schedulers: usize, length: Duration, seed: u64) -> Vec<Figure> {
    let mut network = Network::new(schedulers, seed);
    let mut now = Duration::ZERO;
    let mut next_contacts = Duration::ZERO;
    let mut advance = |network: &mut Network, now: &mut Duration| {
        if *now >= next_contacts {
            next_contacts = *now + CONTACTS_INTERVAL;
            network.add_contacts_to_all(*now);
        }
        network.step(*now);
        *now += STEP;
    };
    let mut complete = None;
    while now < WARM_UP {
        advance(&mut network, &mut now);
        let all = || network.views(now).iter().all(|view| view.len() == schedulers);
        if complete.is_none() && now.as_millis().is_multiple_of(CHECK_INTERVAL_MS) && all() {
            complete = Some(now);
        }
    }

    network.sent = Sent::default();
    let (mut missing, mut worst, mut samples, mut changes) = (0usize, 0usize, 0usize, 0usize);
    let mut before = network.views(now);
    let mut cpu_time = Duration::ZERO;
    let end = now + length;
    while now < end {
        cpu_time += timed(|| advance(&mut network, &mut now)).1;
        let after = network.views(now);
        changes += before.iter().zip(&after).filter(|(old, new)| old != new).count();
        for view in &after {
            missing += schedulers - view.len();
            worst = worst.max(schedulers - view.len());
            samples += 1;
        }
        before = after;
    }
    let sent = network.sent;

    // The last agent ends without notice; its end is detected once no view contains it any more.
    let ended_member = address(schedulers - 1);
    network.agents[schedulers - 1] = None;
    let ended = now;
    let mut detected = None;
    while detected.is_none() && now < ended + 4 * WARM_UP {
        advance(&mut network, &mut now);
        detected = network.views(now).iter().all(|view| !view.contains(&ended_member)).then_some(now - ended);
    }

    let agent_seconds = schedulers as f64 * length.as_secs_f64();
    let seconds = |span: Option<Duration>| span.map_or(f64::NAN, |span| span.as_secs_f64());
    vec![
        Figure::new("all know all after start", seconds(complete), "s (NaN: not in 20 s)"),
        Figure::new("letters sent by an agent", sent.messages as f64 / agent_seconds, "/s"),
        Figure::new("bytes sent by an agent, with headers", sent.bytes as f64 / agent_seconds, "B/s"),
        Figure::new("processor of an agent", cpu_time.as_secs_f64() / agent_seconds * 1e6, "us/s"),
        Figure::new("living members missing in a view, mean", missing as f64 / samples as f64, ""),
        Figure::new("living members missing in a view, worst", worst as f64, ""),
        Figure::new("changes of an agent's member list", changes as f64 / agent_seconds, "/s"),
        Figure::new("an ended member gone from all views", seconds(detected), "s (NaN: not in 80 s)"),
    ]
}
