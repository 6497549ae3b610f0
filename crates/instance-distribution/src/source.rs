//! The lease holder's part: which followers receive an update, and from which version on.

use crate::Mark;
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

/// Shortest interval between updates; the changes within it are sent as one update. A start takes several
/// times as long, and an instance grants no slots for twice as long before it is stopped.
pub const MIN_INTERVAL: Duration = Duration::from_millis(150);
/// An agent that is behind by this much receives updates from the source itself.
pub const MAX_LAG: Duration = Duration::from_millis(1000);
/// How long it then receives them.
const DIRECT_FOR: Duration = Duration::from_millis(3000);
/// A follower that has sent nothing for this long receives no more updates.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_FOLLOWERS: usize = 4096;

#[derive(Debug)]
struct Follower {
    mark: Mark,
    seen: Duration,
    /// A controller, which forwards updates.
    is_relay: bool,
    /// Until then this agent, which no relay reaches, receives updates directly.
    direct_until: Duration,
}

/// The followers under the lease of one number.
#[derive(Debug)]
pub struct Source {
    number: u64,
    started: Duration,
    /// The version that was last sent, and when the next may be.
    sent_version: u64,
    due: Duration,
    followers: BTreeMap<IpAddr, Follower>,
    /// The versions recently sent, with their times.
    sent_versions: VecDeque<(Duration, u64)>,
    outgoing: VecDeque<(IpAddr, u64)>,
}

impl Source {
    pub fn new(number: u64, now: Duration) -> Source {
        Source {
            number,
            started: now,
            sent_version: 0,
            due: now,
            followers: BTreeMap::new(),
            sent_versions: VecDeque::new(),
            outgoing: VecDeque::new(),
        }
    }

    /// A controller (`is_relay`) or an agent follows and sends its mark; `version` is the newest one.
    pub fn follow(&mut self, now: Duration, version: u64, from: IpAddr, mark: Mark, is_relay: bool) {
        if self.followers.len() >= MAX_FOLLOWERS && !self.followers.contains_key(&from) {
            return;
        }
        let number = self.number;
        let behind = match mark.number == number {
            true => mark.version < self.version_at(now.saturating_sub(MAX_LAG)),
            // Relays forward the updates of a new holder; an agent without any state does not wait for that.
            false => mark.is_blank() || now >= self.started + MAX_LAG,
        };
        let follower = self.followers.entry(from).or_insert(Follower {
            mark,
            seen: now,
            is_relay,
            direct_until: Duration::ZERO,
        });
        (follower.mark, follower.seen, follower.is_relay) = (mark, now, is_relay);
        if behind && !is_relay {
            follower.direct_until = now + DIRECT_FOR;
        }
        let receives = is_relay || behind;
        if receives && (mark.number != number || mark.version < version) {
            follower.mark = Mark { number, version };
            self.outgoing.push_back((from, mark.version));
        }
    }

    /// The newest version that had been sent at that time.
    fn version_at(&self, then: Duration) -> u64 {
        self.sent_versions.iter().rev().find(|(at, _)| *at <= then).map_or(0, |(_, version)| *version)
    }

    /// To be called periodically; `version` is the newest one. The followers that receive an update are then
    /// pulled with [`Source::pull`].
    pub fn tick(&mut self, now: Duration, version: u64) {
        if version == self.sent_version || now < self.due {
            return;
        }
        (self.sent_version, self.due) = (version, now + MIN_INTERVAL);
        self.sent_versions.push_back((now, version));
        while self.sent_versions.len() > 1
            && self.sent_versions.get(1).is_some_and(|(at, _)| *at + 2 * MAX_LAG < now)
        {
            self.sent_versions.pop_front();
        }
        self.followers.retain(|_, f| now < f.seen + FOLLOWER_TIMEOUT);
        for (ip, follower) in &mut self.followers {
            if !follower.is_relay && now >= follower.direct_until {
                continue;
            }
            if follower.mark.number != self.number || follower.mark.version < version {
                self.outgoing.push_back((*ip, follower.mark.version));
                follower.mark = Mark { number: self.number, version };
            }
        }
    }

    /// When `tick` next has an update to send without further input, if it has.
    pub fn next_due(&self, version: u64) -> Duration {
        if version == self.sent_version {
            Duration::MAX
        } else {
            self.due
        }
    }

    /// The next follower to send an update to, and the version after which it needs the changes.
    pub fn pull(&mut self) -> Option<(IpAddr, u64)> {
        self.outgoing.pop_front()
    }
}
