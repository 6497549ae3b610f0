//! A controller's part: forwards the updates of the source to the agents that poll this controller.

use crate::replica::{Applied, Replica};
use crate::{InstanceUpdate, Mark};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// An agent that has not polled for this long receives no more updates.
const AGENT_TIMEOUT: Duration = Duration::from_secs(4);
/// The most updates kept for agents that missed one; agents further behind receive the complete list.
const MAX_RECENT_UPDATES: usize = 40;
/// An agent receives the complete list at most this often: it takes a while on a slow link.
const MIN_FULL_INTERVAL: Duration = Duration::from_millis(1500);
const MAX_AGENTS: usize = 4096;

#[derive(Debug)]
struct AgentState {
    mark: Mark,
    seen: Duration,
    full_sent_at: Option<Duration>,
}

/// The same update for several agents.
#[derive(Debug, PartialEq)]
pub struct Copies {
    pub to: Vec<IpAddr>,
    pub update: Rc<InstanceUpdate>,
}

#[derive(Debug, Default)]
pub struct Relay {
    replica: Replica,
    recent_updates: VecDeque<Rc<InstanceUpdate>>,
    agents: BTreeMap<IpAddr, AgentState>,
    outgoing: VecDeque<Copies>,
}

impl Relay {
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Applies an update of the source. After a gap, request the changes after the replica's mark.
    pub fn apply(&mut self, now: Duration, update: InstanceUpdate) -> Applied {
        let applied = self.replica.apply(now, &update);
        if !matches!(applied, Applied::New { .. }) || update.number == 0 {
            return applied;
        }
        let update = Rc::new(update);
        if update.whole {
            self.recent_updates.clear();
        }
        self.recent_updates.push_back(update.clone());
        while self.recent_updates.len() > MAX_RECENT_UPDATES {
            self.recent_updates.pop_front();
        }
        self.agents.retain(|_, agent_state| now < agent_state.seen + AGENT_TIMEOUT);
        let mut to = Vec::new();
        for (ip, agent_state) in &mut self.agents {
            if continues(agent_state.mark, &update) {
                agent_state.mark = update.mark();
                to.push(*ip);
            }
        }
        if !to.is_empty() {
            self.outgoing.push_back(Copies { to, update });
        }
        applied
    }

    /// An agent polls and sends its mark. It receives what it lacks, and updates as they come from then on.
    pub fn handle_pull(&mut self, now: Duration, agent: IpAddr, mark: Mark) {
        if self.agents.len() >= MAX_AGENTS && !self.agents.contains_key(&agent) {
            return;
        }
        let agent_state =
            self.agents.entry(agent).or_insert(AgentState { mark, seen: now, full_sent_at: None });
        (agent_state.mark, agent_state.seen) = (mark, now);
        let newest = self.replica.mark();
        if newest.number == 0 || mark >= newest {
            return;
        }
        // The recent updates that continue from its mark; each one continues the one before.
        let mut chain = Vec::new();
        let mut at = mark;
        for update in &self.recent_updates {
            if continues(at, update) {
                at = update.mark();
                chain.push(update.clone());
            }
        }
        if at != newest {
            if agent_state.full_sent_at.is_some_and(|last| now < last + MIN_FULL_INTERVAL) {
                return;
            }
            agent_state.full_sent_at = Some(now);
            chain = vec![Rc::new(self.replica.snapshot(now))];
        }
        agent_state.mark = newest;
        self.outgoing.extend(chain.into_iter().map(|update| Copies { to: vec![agent], update }));
    }

    /// The agent polls another controller from now on.
    pub fn remove_agent(&mut self, agent: IpAddr) {
        self.agents.remove(&agent);
    }

    /// Agents that polled recently and have no state.
    pub fn agents_without_state(&self, now: Duration) -> Vec<IpAddr> {
        let without_state =
            self.agents.iter().filter(|(_, state)| state.mark.is_blank() && now < state.seen + AGENT_TIMEOUT);
        without_state.map(|(ip, _)| *ip).collect()
    }

    /// The next copies to be sent.
    pub fn pull(&mut self) -> Option<Copies> {
        self.outgoing.pop_front()
    }
}

/// Whether an update can be applied by a replica with this mark.
fn continues(at: Mark, update: &InstanceUpdate) -> bool {
    at < update.mark() && (update.whole || update.from <= at.version)
}
