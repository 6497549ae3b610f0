//! The agents that poll this controller, and the configuration each of them has.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::ops::Bound;
use std::time::Duration;

/// An agent that has sent nothing for this long receives no more messages.
pub const AGENT_TIMEOUT: Duration = Duration::from_secs(4);
/// How long to wait before a whole configuration is sent again to an agent that still lacks it.
pub const RESEND_INTERVAL: Duration = Duration::from_millis(1000);
/// The maximum number of tracked agents.
pub const MAX_AGENTS: usize = 4096;
/// How many agents are named in the answer to an agent that requests peers.
const SAMPLE_SIZE: usize = 6;

/// The state of one agent.
#[derive(Debug)]
struct AgentState {
    /// The revision it has, including the one in transit; none if it does not want configurations from here.
    revision: Option<u64>,
    last_seen: Duration,
    /// The last revision sent to it.
    sent_revision: u64,
    /// When a whole configuration was last sent: over a slow link it takes a while, and the agent continues
    /// to poll meanwhile.
    whole_sent: Duration,
}

impl AgentState {
    fn new(now: Duration) -> AgentState {
        AgentState { revision: None, last_seen: now, sent_revision: 0, whole_sent: Duration::ZERO }
    }

    fn is_recent(&self, now: Duration) -> bool {
        now < self.last_seen + AGENT_TIMEOUT
    }
}

/// All known agents, by address.
#[derive(Debug)]
pub struct Agents {
    states: BTreeMap<IpAddr, AgentState>,
    sample_start: Bound<IpAddr>,
}

impl Agents {
    /// `sample_start`: the address at which the first sample of peers starts. Controllers that start at
    /// different addresses (each at its own) name different agents.
    pub fn new(sample_start: IpAddr) -> Agents {
        Agents { states: BTreeMap::new(), sample_start: Bound::Included(sample_start) }
    }

    /// An agent polls for a newer configuration than `revision`. A configuration in transit to it counts as
    /// received.
    pub fn record_pull(&mut self, now: Duration, ip: IpAddr, revision: u64, wants_configuration: bool) {
        let Some(agent) = self.mark_seen(now, ip) else { return };
        let in_flight = agent.sent_revision > 0 && now < agent.whole_sent + RESEND_INTERVAL;
        let has = if in_flight { revision.max(agent.sent_revision) } else { revision };
        agent.revision = wants_configuration.then_some(has);
    }

    /// An agent follows the list of instances, and requests no configuration here.
    pub fn record_follow(&mut self, now: Duration, ip: IpAddr) {
        self.mark_seen(now, ip);
    }

    fn mark_seen(&mut self, now: Duration, ip: IpAddr) -> Option<&mut AgentState> {
        if self.states.len() >= MAX_AGENTS && !self.states.contains_key(&ip) {
            self.states.retain(|_, agent| agent.is_recent(now));
            if self.states.len() >= MAX_AGENTS {
                return None;
            }
        }
        let agent = self.states.entry(ip).or_insert_with(|| AgentState::new(now));
        agent.last_seen = now;
        Some(agent)
    }

    /// An agent has shut down.
    pub fn remove(&mut self, ip: IpAddr) {
        self.states.remove(&ip);
    }

    /// A frame with `revision` was sent to an agent: the `whole` configuration, or a change. Changes do not
    /// delay the next whole one: it is the answer to a change that does not apply, and several changes a
    /// second may be sent.
    pub fn record_sent(&mut self, now: Duration, ip: IpAddr, revision: u64, whole: bool) {
        let Some(agent) = self.states.get_mut(&ip) else { return };
        agent.revision = Some(revision);
        agent.sent_revision = revision;
        if whole {
            agent.whole_sent = now;
        }
    }

    /// Agents with an older revision than this, with the revision that each has; limited to `only`, if given.
    pub fn behind(&self, now: Duration, revision: u64, only: Option<IpAddr>) -> Vec<(IpAddr, u64)> {
        let named = |ip: IpAddr| only.is_none_or(|only| only == ip);
        let lacks = |(ip, agent): (&IpAddr, &AgentState)| {
            let has = agent.revision.filter(|has| *has < revision)?;
            (named(*ip) && agent.is_recent(now)).then_some((*ip, has))
        };
        self.states.iter().filter_map(lacks).collect()
    }

    /// Agents that have sent a message recently.
    pub fn recent(&self, now: Duration) -> Vec<IpAddr> {
        let recent = self.states.iter().filter(|(_, agent)| agent.is_recent(now));
        recent.map(|(ip, _)| *ip).collect()
    }

    /// Some recent agents, for one that requests peers. Each sample continues where the previous one ended:
    /// if it were always the same few, agents could stay split in two groups when all of those few are in one
    /// of them.
    pub fn sample(&mut self, now: Duration, requester: IpAddr) -> Vec<IpAddr> {
        let before = match self.sample_start {
            Bound::Included(ip) => Bound::Excluded(ip),
            Bound::Excluded(ip) => Bound::Included(ip),
            Bound::Unbounded => Bound::Unbounded,
        };
        let start = self.states.range((self.sample_start, Bound::Unbounded));
        let end = self.states.range((Bound::Unbounded, before));
        let others = start.chain(end).filter(|(ip, agent)| **ip != requester && agent.is_recent(now));
        let sample: Vec<IpAddr> = others.map(|(ip, _)| *ip).take(SAMPLE_SIZE).collect();
        if let Some(last) = sample.last() {
            self.sample_start = Bound::Excluded(*last);
        }
        sample
    }
}
