//! The holder's part: whom to tell, and from which version on.

use crate::Mark;
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

/// Changes are told at most this often: what changes within it goes as one piece. A start takes several times as long, and
/// an instance lends no more for twice as long before it is stopped.
pub const MIN_INTERVAL: Duration = Duration::from_millis(150);
/// A page that is behind by so much is told by the source itself,
pub const MAX_LAG: Duration = Duration::from_millis(1000);
/// for so long.
const DIRECT_FOR: Duration = Duration::from_millis(3000);
/// A follower not heard for so long is told nothing more.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_FOLLOWERS: usize = 4096;

#[derive(Debug)]
struct Follower {
    mark: Mark,
    seen: Duration,
    /// An archive, which hands it on.
    is_relay: bool,
    /// A page that no relay reaches.
    direct_until: Duration,
}

/// Those who follow the duty of one number.
#[derive(Debug)]
pub struct Source {
    number: u64,
    started: Duration,
    /// The version that was last told, and when the next may be.
    sent_version: u64,
    due: Duration,
    followers: BTreeMap<IpAddr, Follower>,
    /// Versions as they were told, over the last while.
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

    /// An archive (`relays`) or a page follows, and says how far it is; `version` is the newest.
    pub fn follow(&mut self, now: Duration, version: u64, from: IpAddr, mark: Mark, is_relay: bool) {
        if self.followers.len() >= MAX_FOLLOWERS && !self.followers.contains_key(&from) {
            return;
        }
        let number = self.number;
        let behind = match mark.number == number {
            true => mark.version < self.version_at(now.saturating_sub(MAX_LAG)),
            // Relays hand on what a new holder tells them; who knows nothing at all does not wait for that.
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

    /// The newest version that was told by then.
    fn version_at(&self, then: Duration) -> u64 {
        self.sent_versions.iter().rev().find(|(at, _)| *at <= then).map_or(0, |(_, version)| *version)
    }

    /// Time passes; `version` is the newest. Whoever is to be told is then pulled with [`Source::pull`].
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

    /// When `tick` has something to tell without any further input, if it has.
    pub fn next_due(&self, version: u64) -> Duration {
        if version == self.sent_version {
            Duration::MAX
        } else {
            self.due
        }
    }

    /// Whom to tell what changed after which version.
    pub fn pull(&mut self) -> Option<(IpAddr, u64)> {
        self.outgoing.pop_front()
    }
}
