//! The agents that ask this controller, and the configuration each of them has.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::Bound;
use std::time::Duration;

/// An agent that was not heard for so long is told nothing more.
pub const AGENT_TIMEOUT: Duration = Duration::from_secs(4);
/// A whole configuration is not sent again to an agent that does not have it yet for so long.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(1000);
/// The most agents that are remembered.
pub const MAX_AGENTS: usize = 4096;
/// How many agents are named to an agent that asks for others.
const SAMPLE_SIZE: usize = 6;

/// What is known of one agent.
#[derive(Debug)]
struct AgentState {
    /// The revision it has, with the one on its way; none if it does not want configurations from here.
    revision: Option<u64>,
    heard: Duration,
    /// The last revision sent to it.
    sent_revision: u64,
    /// When a whole configuration was last sent: over a thin link it takes a while, and the agent asks on meanwhile.
    whole_sent: Duration,
}

impl AgentState {
    fn new(now: Duration) -> AgentState {
        AgentState { revision: None, heard: now, sent_revision: 0, whole_sent: Duration::ZERO }
    }

    fn is_recent(&self, now: Duration) -> bool {
        now < self.heard + AGENT_TIMEOUT
    }
}

/// All agents heard of, by address.
#[derive(Debug)]
pub struct Agents {
    states: BTreeMap<IpAddr, AgentState>,
    sample_start: Bound<IpAddr>,
}

impl Agents {
    /// `sample_start`: where the first sample of others begins in the order of addresses. Controllers that begin at different
    /// ones (each at its own) name different agents.
    pub fn new(sample_start: IpAddr) -> Agents {
        Agents { states: BTreeMap::new(), sample_start: Bound::Included(sample_start) }
    }

    /// An agent asks for what it lacks: it has `revision`. What is on its way to it counts as had.
    pub fn record_pull(&mut self, now: Duration, ip: IpAddr, revision: u64, wants: bool) {
        let Some(agent) = self.heard(now, ip) else { return };
        let on_its_way = agent.sent_revision > 0 && now < agent.whole_sent + RESEND_INTERVAL;
        let has = if on_its_way { revision.max(agent.sent_revision) } else { revision };
        agent.revision = wants.then_some(has);
    }

    /// An agent follows the list of instances, and asks for no configuration here.
    pub fn record_follow(&mut self, now: Duration, ip: IpAddr) {
        self.heard(now, ip);
    }

    fn heard(&mut self, now: Duration, ip: IpAddr) -> Option<&mut AgentState> {
        if self.states.len() >= MAX_AGENTS && !self.states.contains_key(&ip) {
            self.states.retain(|_, agent| agent.is_recent(now));
            if self.states.len() >= MAX_AGENTS {
                return None;
            }
        }
        let agent = self.states.entry(ip).or_insert_with(|| AgentState::new(now));
        agent.heard = now;
        Some(agent)
    }

    /// An agent has ended.
    pub fn remove(&mut self, ip: IpAddr) {
        self.states.remove(&ip);
    }

    /// A frame with `revision` was sent to an agent: the `whole` configuration, or what changed. Changes do not put off the
    /// next whole one: a change that does not fit is answered by it, and several changes a second may come.
    pub fn record_sent(&mut self, now: Duration, ip: IpAddr, revision: u64, whole: bool) {
        let Some(agent) = self.states.get_mut(&ip) else { return };
        agent.revision = Some(revision);
        agent.sent_revision = revision;
        if whole {
            agent.whole_sent = now;
        }
    }

    /// Agents with an older revision than this, with the revision that each has; of `only` one, if named.
    pub fn behind(&self, now: Duration, revision: u64, only: Option<IpAddr>) -> Vec<(IpAddr, u64)> {
        let named = |ip: IpAddr| only.is_none_or(|only| only == ip);
        let lacks = |(ip, agent): (&IpAddr, &AgentState)| {
            let has = agent.revision.filter(|has| *has < revision)?;
            (named(*ip) && agent.is_recent(now)).then_some((*ip, has))
        };
        self.states.iter().filter_map(lacks).collect()
    }

    /// Agents heard lately.
    pub fn recent(&self, now: Duration) -> Vec<IpAddr> {
        let recent = self.states.iter().filter(|(_, agent)| agent.is_recent(now));
        recent.map(|(ip, _)| *ip).collect()
    }

    /// Some agents heard lately, for one that asks for others. Each sample goes on where the one before ended: always the same
    /// few would leave two islands of agents apart, if all of those are in one.
    pub fn sample(&mut self, now: Duration, asks: IpAddr) -> Vec<IpAddr> {
        let before = match self.sample_start {
            Bound::Included(ip) => Bound::Excluded(ip),
            Bound::Excluded(ip) => Bound::Included(ip),
            Bound::Unbounded => Bound::Unbounded,
        };
        let start = self.states.range((self.sample_start, Bound::Unbounded));
        let end = self.states.range((Bound::Unbounded, before));
        let others = start.chain(end).filter(|(ip, agent)| **ip != asks && agent.is_recent(now));
        let sample: Vec<IpAddr> = others.map(|(ip, _)| *ip).take(SAMPLE_SIZE).collect();
        if let Some(last) = sample.last() {
            self.sample_start = Bound::Excluded(*last);
        }
        sample
    }
}
