//! Calls of other processes that are over here: a request or a reported grant that arrives later is a late
//! copy.

use crate::defects::{injected, Defect};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Returns are resent for three seconds, requests for less; no copy arrives later than that.
const REMEMBERED: Duration = Duration::from_secs(3);
const MAX_CALLS: usize = 16_384;

/// A call: the address and the incarnation of the process that has it, and its number.
pub type Key = (SocketAddr, u32, u32);

/// How a call ended here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// Its slot was returned: it requests nothing and holds nothing.
    Returned,
    /// Another owner was quicker: the call requests nothing here, and may hold a slot that it reports.
    Served,
}

/// The calls that recently ended.
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

    /// Whether a request for this call is a late copy.
    pub fn is_finished(&self, key: &Key) -> bool {
        self.calls.contains_key(key)
    }

    /// Whether the call holds no slot either.
    pub fn is_returned(&self, key: &Key) -> bool {
        self.calls.get(key) == Some(&Finish::Returned)
    }
}
