//! Peer sampling among all agents on virtual time: what it costs an agent, and how well all know all.

use crate::report::Figure;
use crate::usage::timed;
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;
use tindock_peer_sampling::{Message, PeerSampler};

/// What UDP and IP add to a datagram.
const DATAGRAM_HEADERS: usize = 28;
const STEP: Duration = Duration::from_millis(50);
/// Whether all know all is looked at this often (ms).
const LOOK: u128 = 200;
/// A controller names this many other agents to one that asks, this often.
const NAMED: usize = 6;
const NAMED_EVERY: Duration = Duration::from_secs(4);
/// All agents are given this long to find each other before figures are taken.
const WARM_UP: Duration = Duration::from_secs(20);
/// Answers to answers go on until nobody lacks anything; more than these would be a fault.
const MOST_ANSWERS: usize = 8;

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
    letters: usize,
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

    /// A controller names some agents, always the same ones, to all that ask it.
    fn name(&mut self, now: Duration) {
        for views in self.agents.iter_mut().flatten() {
            views.add_contacts(now, (0..NAMED).map(address));
        }
    }

    fn step(&mut self, now: Duration) {
        for n in 0..self.agents.len() {
            let letters = self.agents[n].as_mut().map(|views| views.tick(now)).unwrap_or_default();
            for (to, letter) in letters {
                self.carry(now, n, to, letter);
            }
        }
    }

    /// A letter and the answers that follow from it.
    fn carry(&mut self, now: Duration, from: usize, to: IpAddr, letter: Message) {
        let Some(to) = number(to) else { return };
        let mut waiting = VecDeque::from([(from, to, letter)]);
        let mut answers = 0;
        while let Some((from, to, letter)) = waiting.pop_front() {
            self.sent.letters += 1;
            self.sent.bytes += letter.encode().len() + DATAGRAM_HEADERS;
            let answer = self
                .agents
                .get_mut(to)
                .and_then(Option::as_mut)
                .and_then(|views| views.receive(now, &letter));
            answers += 1;
            if let Some(answer) = answer.filter(|_| answers < MOST_ANSWERS) {
                waiting.push_back((to, from, answer));
            }
        }
    }

    fn known(&self, now: Duration) -> Vec<Vec<IpAddr>> {
        let there = |views: &PeerSampler| views.alive(now).iter().map(|heard| heard.ip).collect();
        self.agents.iter().flatten().map(there).collect()
    }
}

/// Plays so many agents at rest for `length` after a warm-up, then ends one of them.
pub fn run(schedulers: usize, length: Duration, seed: u64) -> Vec<Figure> {
    let mut network = Network::new(schedulers, seed);
    let mut now = Duration::ZERO;
    let mut named = Duration::ZERO;
    let mut advance = |network: &mut Network, now: &mut Duration| {
        if *now >= named {
            named = *now + NAMED_EVERY;
            network.name(*now);
        }
        network.step(*now);
        *now += STEP;
    };
    let mut complete = None;
    while now < WARM_UP {
        advance(&mut network, &mut now);
        let all = || network.known(now).iter().all(|known| known.len() == schedulers);
        if complete.is_none() && now.as_millis().is_multiple_of(LOOK) && all() {
            complete = Some(now);
        }
    }

    network.sent = Sent::default();
    let (mut missing, mut worst, mut samples, mut changes) = (0usize, 0usize, 0usize, 0usize);
    let mut before = network.known(now);
    let mut spent = Duration::ZERO;
    let end = now + length;
    while now < end {
        spent += timed(|| advance(&mut network, &mut now)).1;
        let after = network.known(now);
        changes += before.iter().zip(&after).filter(|(old, new)| old != new).count();
        for known in &after {
            missing += schedulers - known.len();
            worst = worst.max(schedulers - known.len());
            samples += 1;
        }
        before = after;
    }
    let sent = network.sent;

    // The last one ends without a word; noticed once nobody names it any more.
    let gone = address(schedulers - 1);
    network.agents[schedulers - 1] = None;
    let ended = now;
    let mut noticed = None;
    while noticed.is_none() && now < ended + 4 * WARM_UP {
        advance(&mut network, &mut now);
        noticed = network.known(now).iter().all(|known| !known.contains(&gone)).then_some(now - ended);
    }

    let agent_seconds = schedulers as f64 * length.as_secs_f64();
    let seconds = |span: Option<Duration>| span.map_or(f64::NAN, |span| span.as_secs_f64());
    vec![
        Figure::new("all know all after start", seconds(complete), "s (NaN: not in 20 s)"),
        Figure::new("letters sent by an agent", sent.letters as f64 / agent_seconds, "/s"),
        Figure::new("bytes sent by an agent, with headers", sent.bytes as f64 / agent_seconds, "B/s"),
        Figure::new("processor of an agent", spent.as_secs_f64() / agent_seconds * 1e6, "us/s"),
        Figure::new("living members missing in a view, mean", missing as f64 / samples as f64, ""),
        Figure::new("living members missing in a view, worst", worst as f64, ""),
        Figure::new("changes of an agent's member list", changes as f64 / agent_seconds, "/s"),
        Figure::new("an ended member gone from all views", seconds(noticed), "s (NaN: not in 80 s)"),
    ]
}
