//! Calls of other processes that are over here: an ask or a loan told of that comes after that is a late copy.

use crate::defects::{injected, Defect};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Returns are said for three seconds, asks for less; no copy is later than that.
const REMEMBERED: Duration = Duration::from_secs(3);
const MAX_CALLS: usize = 16_384;

/// A call, by the process that has it and the life of that.
pub type Key = (SocketAddr, u32, u32);

/// What has been said of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// Its slot came back: it asks for nothing and holds nothing.
    Returned,
    /// Another lender was quicker: it asks for nothing here, and may hold a slot that it tells of.
    Served,
}

/// The calls that were over lately.
#[derive(Default)]
pub struct FinishedCalls {
    calls: HashMap<Key, Finish>,
    by_age: VecDeque<(Duration, Key)>,
}

impl FinishedCalls {
    /// `awake`: the time in which this process ran.
    pub fn note(&mut self, awake: Duration, key: Key, over: Finish) {
        if injected(Defect::CopiesServed) {
            return;
        }
        while self.by_age.front().is_some_and(|(at, _)| *at + REMEMBERED < awake) {
            if let Some((_, old)) = self.by_age.pop_front() {
                self.calls.remove(&old);
            }
        }
        if let Some(known) = self.calls.get_mut(&key) {
            if over == Finish::Returned {
                *known = over;
            }
        } else if self.calls.len() < MAX_CALLS {
            self.calls.insert(key, over);
            self.by_age.push_back((awake, key));
        }
    }

    /// An ask for this call is a copy.
    pub fn is_finished(&self, key: &Key) -> bool {
        self.calls.contains_key(key)
    }

    /// It holds nothing either.
    pub fn is_returned(&self, key: &Key) -> bool {
        self.calls.get(key) == Some(&Finish::Returned)
    }
}
