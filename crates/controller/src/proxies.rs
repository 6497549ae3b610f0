//! The proxies among which owners of slots are chosen, as the holder of the lease knows them: each agent follows the holder
//! and says which process serves beside it. One list for all: what each proxy sees of the others differs for a while after
//! each change, and for as long as a full link loses datagrams, and two that see differently own the same slots.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use tindock_circulation::{Mark, Owners, Proxy};

/// Without a predecessor's list the first one waits until no further agent has come for so long: after a loss of everything they
/// all come within a few tenths of a second, and nothing is served before it.
const NO_MORE_COME: Duration = Duration::from_millis(120);
/// It waits no longer than this.
const FIRST_LIST_AFTER: Duration = Duration::from_millis(1500);
/// An agent follows once a second; one that was not heard for so long is gone, or cut off.
const SILENT_AFTER: Duration = Duration::from_millis(2200);
/// A longer pause between two looks is one in which this process stood still, and heard nobody.
const STOOD_STILL: Duration = Duration::from_millis(1000);
const MAX_PROXIES: usize = 4096;

#[derive(Debug)]
struct Known {
    proxy: Proxy,
    heard: Duration,
}

/// The proxies that serve.
#[derive(Debug)]
pub struct Proxies {
    known: BTreeMap<IpAddr, Known>,
    /// As they were last told.
    told: Option<Owners>,
    first_due: Duration,
    /// When an agent last came that was not known.
    newcomer: Duration,
    looked: Duration,
}

impl Proxies {
    /// `before`: what the holder before this one told last.
    pub fn new(now: Duration, before: Option<&Owners>) -> Proxies {
        let heard = |proxy: &Proxy| (proxy.ip, Known { proxy: *proxy, heard: now });
        Proxies {
            known: before.iter().flat_map(|owners| &owners.proxies).map(heard).collect(),
            told: before.cloned(),
            first_due: now + FIRST_LIST_AFTER,
            newcomer: now,
            looked: now,
        }
    }

    /// An agent says which process serves beside it: none (life 0) where it leaves or has not begun.
    pub fn follows(&mut self, now: Duration, proxy: Proxy) {
        if proxy.incarnation == 0 {
            self.known.remove(&proxy.ip);
            return;
        }
        if self.known.len() < MAX_PROXIES || self.known.contains_key(&proxy.ip) {
            let before = self.known.insert(proxy.ip, Known { proxy, heard: now });
            if before.is_none() {
                self.newcomer = now;
            }
        }
    }

    /// When the first list is told, where the holder before this one left none.
    fn first_list_due(&self) -> Duration {
        match self.known.is_empty() {
            true => self.first_due,
            false => self.first_due.min(self.newcomer + NO_MORE_COME),
        }
    }

    /// Whether the list is another than the one that was told last. It is told under the mark that the caller gives it.
    pub fn has_changed(&mut self, now: Duration) -> bool {
        let pause = now.saturating_sub(self.looked);
        self.looked = now;
        if pause > STOOD_STILL {
            self.known.values_mut().for_each(|known| known.heard += pause);
        }
        if self.told.is_none() && now < self.first_list_due() {
            return false;
        }
        self.known.retain(|_, known| now < known.heard + SILENT_AFTER);
        self.told.as_ref().is_none_or(|told| !told.proxies.iter().eq(self.list()))
    }

    fn list(&self) -> impl Iterator<Item = &Proxy> {
        self.known.values().map(|known| &known.proxy)
    }

    /// The list as it is now is told under this mark.
    pub fn tell(&mut self, mark: Mark) {
        self.told = Some(Owners { mark, proxies: self.list().copied().collect() });
    }

    /// The list that was told last.
    pub fn told(&self) -> Option<&Owners> {
        self.told.as_ref()
    }

    /// When a look may find a change without any further input.
    pub fn next_due(&self) -> Duration {
        let silent = self.known.values().map(|known| known.heard + SILENT_AFTER).min();
        let first = self.told.is_none().then(|| self.first_list_due());
        silent.into_iter().chain(first).min().unwrap_or(Duration::MAX)
    }
}
