//! The proxies among which owners of slots are chosen, as the lease holder knows them: each agent follows the
//! holder and reports the proxy process beside it. All proxies use this one list: their own views of each
//! other differ for a while after each change, and for as long as an overloaded link drops datagrams, and
//! proxies with different views would own the same slots.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use tindock_instance_distribution::{Mark, Owners, Proxy};

/// Without a previous holder's list, the first list waits until no new agent has appeared for this long:
/// after a restart of the whole system all agents appear within a few tenths of a second, and nothing is
/// served before this list.
const NEW_AGENTS_SETTLE_TIME: Duration = Duration::from_millis(120);
/// The first list waits no longer than this.
const FIRST_LIST_AFTER: Duration = Duration::from_millis(1500);
/// An agent follows once a second; one that was silent for this long is gone or cut off.
const SILENT_AFTER: Duration = Duration::from_millis(2200);
/// A longer gap between two checks means that this process was suspended and received nothing.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1000);
const MAX_PROXIES: usize = 4096;

#[derive(Debug)]
struct KnownProxy {
    proxy: Proxy,
    last_seen: Duration,
}

/// The proxies in service.
#[derive(Debug)]
pub struct Proxies {
    known: BTreeMap<IpAddr, KnownProxy>,
    /// The last published list.
    published: Option<Owners>,
    first_list_deadline: Duration,
    /// When a previously unknown agent last appeared.
    last_new_agent: Duration,
    last_checked: Duration,
}

impl Proxies {
    /// `previous`: the last list published by the previous holder.
    pub fn new(now: Duration, previous: Option<&Owners>) -> Proxies {
        let known_now = |proxy: &Proxy| (proxy.ip, KnownProxy { proxy: *proxy, last_seen: now });
        Proxies {
            known: previous.iter().flat_map(|owners| &owners.proxies).map(known_now).collect(),
            published: previous.cloned(),
            first_list_deadline: now + FIRST_LIST_AFTER,
            last_new_agent: now,
            last_checked: now,
        }
    }

    /// An agent reports the proxy process beside it: none (`life` 0) if it is leaving or has not started.
    pub fn record(&mut self, now: Duration, proxy: Proxy) {
        if proxy.incarnation == 0 {
            self.known.remove(&proxy.ip);
            return;
        }
        if self.known.len() < MAX_PROXIES || self.known.contains_key(&proxy.ip) {
            let previous = self.known.insert(proxy.ip, KnownProxy { proxy, last_seen: now });
            if previous.is_none() {
                self.last_new_agent = now;
            }
        }
    }

    /// When the first list is published, if the previous holder left none.
    fn first_list_due(&self) -> Duration {
        match self.known.is_empty() {
            true => self.first_list_deadline,
            false => self.first_list_deadline.min(self.last_new_agent + NEW_AGENTS_SETTLE_TIME),
        }
    }

    /// Whether the list differs from the last published one. The caller then publishes it under a mark of its
    /// choice.
    pub fn has_changed(&mut self, now: Duration) -> bool {
        let pause = now.saturating_sub(self.last_checked);
        self.last_checked = now;
        if pause > PAUSE_THRESHOLD {
            self.known.values_mut().for_each(|known| known.last_seen += pause);
        }
        if self.published.is_none() && now < self.first_list_due() {
            return false;
        }
        self.known.retain(|_, known| now < known.last_seen + SILENT_AFTER);
        self.published.as_ref().is_none_or(|published| !published.proxies.iter().eq(self.list()))
    }

    fn list(&self) -> impl Iterator<Item = &Proxy> {
        self.known.values().map(|known| &known.proxy)
    }

    /// Publishes the current list under this mark.
    pub fn publish(&mut self, mark: Mark) {
        self.published = Some(Owners { mark, proxies: self.list().copied().collect() });
    }

    /// The last published list.
    pub fn published(&self) -> Option<&Owners> {
        self.published.as_ref()
    }

    /// When a check may find a change without any further input.
    pub fn next_due(&self) -> Duration {
        let silent = self.known.values().map(|known| known.last_seen + SILENT_AFTER).min();
        let first = self.published.is_none().then(|| self.first_list_due());
        silent.into_iter().chain(first).min().unwrap_or(Duration::MAX)
    }
}
