//! An archive's part: hands on what the source tells, to the pages that ask here.

use crate::replica::{Applied, Replica};
use crate::{InstanceUpdate, Mark};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// A page not heard for so long is told nothing more.
const AGENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pieces kept for pages that missed one; further back they are told everything.
const MAX_RECENT_UPDATES: usize = 40;
/// A page is told everything at most this often: it takes a thin link a while.
const MIN_FULL_INTERVAL: Duration = Duration::from_millis(1500);
const MAX_AGENTS: usize = 4096;

#[derive(Debug)]
struct AgentState {
    mark: Mark,
    seen: Duration,
    full_sent_at: Option<Duration>,
}

/// The same piece for some pages.
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

    /// News of the source. After a gap, ask it from the replica's mark on.
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

    /// A page asks, and says how far it is. It is told what it lacks, and from then on what comes.
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
        // The pieces that lead on from its mark; each fits the one before.
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

    /// A page asks another from now on.
    pub fn remove_agent(&mut self, agent: IpAddr) {
        self.agents.remove(&agent);
    }

    /// Pages that asked here lately and know nothing.
    pub fn agents_without_state(&self, now: Duration) -> Vec<IpAddr> {
        let without_state =
            self.agents.iter().filter(|(_, state)| state.mark.is_blank() && now < state.seen + AGENT_TIMEOUT);
        without_state.map(|(ip, _)| *ip).collect()
    }

    /// What is to be sent next.
    pub fn pull(&mut self) -> Option<Copies> {
        self.outgoing.pop_front()
    }
}

/// Whether a piece leads on for one who is at this mark.
fn continues(at: Mark, update: &InstanceUpdate) -> bool {
    at < update.mark() && (update.whole || update.from <= at.version)
}
