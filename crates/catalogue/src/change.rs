//! What differs between two configurations: small where an operator changed one route of a thousand, so that thin links
//! carry only that. Applied whole or not at all.

use crate::{Catalogue, Limits, Route, Service};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// From one revision to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision it is applied to.
    pub from: u64,
    pub revision: u64,
    /// All services, where they differ; routes name them by their place.
    services: Option<Vec<Service>>,
    limits: Limits,
    /// Routes that are gone, by host and prefix.
    gone: Vec<(String, String)>,
    /// Routes that are new or differ.
    set: Vec<Route>,
    /// Of the result: a change that does not lead there is not applied.
    routes: u32,
    digest: u64,
}

fn key(route: &Route) -> (String, String) {
    (route.hostname.clone(), route.path_prefix.clone())
}

/// FNV-1a over all routes and services, whatever their order.
fn digest(catalogue: &Catalogue) -> u64 {
    let hash = |text: String| {
        text.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
    };
    let routes = catalogue.routes.iter().map(|route| hash(format!("{route:?}")));
    let services =
        catalogue.services.iter().enumerate().map(|(at, service)| hash(format!("{at}{service:?}")));
    routes.chain(services).fold(0, u64::wrapping_add)
}

impl Catalogue {
    /// What leads from `old` to this one.
    pub fn diff_from(&self, old: &Catalogue) -> Change {
        let before: BTreeMap<_, &Route> = old.routes.iter().map(|route| (key(route), route)).collect();
        let after: BTreeMap<_, &Route> = self.routes.iter().map(|route| (key(route), route)).collect();
        // Routes name services by their place: where places moved, all routes may mean others.
        let moved = old.services != self.services;
        let set = after.iter().filter(|(key, route)| moved || before.get(*key) != Some(*route));
        Change {
            from: old.revision,
            revision: self.revision,
            services: moved.then(|| self.services.clone()),
            limits: self.limits,
            gone: before.keys().filter(|key| !after.contains_key(*key)).cloned().collect(),
            set: set.map(|(_, route)| (*route).clone()).collect(),
            routes: self.routes.len() as u32,
            digest: digest(self),
        }
    }

    /// The configuration that the change leads to; None if it is not one of this revision, or leads elsewhere.
    pub fn apply(&self, change: &Change) -> Option<Catalogue> {
        if change.from != self.revision {
            return None;
        }
        let mut routes: BTreeMap<_, Route> =
            self.routes.iter().map(|route| (key(route), route.clone())).collect();
        for key in &change.gone {
            routes.remove(key);
        }
        routes.extend(change.set.iter().map(|route| (key(route), route.clone())));
        let next = Catalogue {
            revision: change.revision,
            routes: routes.into_values().collect(),
            services: change.services.clone().unwrap_or_else(|| self.services.clone()),
            limits: change.limits,
        };
        let there = next.routes.len() == change.routes as usize && digest(&next) == change.digest;
        let places =
            |route: &Route| route.shares.iter().all(|share| (share.service as usize) < next.services.len());
        (there && next.routes.iter().all(places)).then_some(next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn read(revision: u64, routes: &[(&str, &str, u32)], services: &[&str]) -> Catalogue {
        let routes: Vec<String> = routes
            .iter()
            .map(|(prefix, service, timeout)| {
                format!(
                    r#"{{"name":"r","hostname":"a.example","path_prefix":"{prefix}","route_type":"idempotent",
                       "timeout_ms":{timeout},"service":"{service}"}}"#
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|name| format!(r#"{{"name":"{name}","memory_mb":1,"boot_ms":1,"max_inflight":1}}"#))
            .collect();
        let text = format!(
            r#"{{"revision":{revision},"routes":[{}],"services":[{}]}}"#,
            routes.join(","),
            services.join(",")
        );
        Catalogue::read(text.as_bytes()).unwrap_or_else(|fault| panic!("{fault}"))
    }

    fn sorted(mut catalogue: Catalogue) -> Catalogue {
        catalogue.routes.sort_by_key(key);
        catalogue
    }

    #[rstest]
    #[case::timeout(&[("/a/", "s", 9), ("/b/", "t", 2)], &["s", "t"], 1)]
    #[case::gone(&[("/a/", "s", 1)], &["s", "t"], 0)]
    #[case::added(&[("/a/", "s", 1), ("/b/", "t", 2), ("/c/", "t", 2)], &["s", "t"], 1)]
    #[case::moved(&[("/a/", "t", 1), ("/b/", "t", 2)], &["s", "t"], 1)]
    #[case::services_in_another_order(&[("/a/", "s", 1), ("/b/", "t", 2)], &["t", "s"], 2)]
    fn a_change_leads_to_the_new_one_and_says_only_what_differs(
        #[case] routes: &[(&str, &str, u32)],
        #[case] services: &[&str],
        #[case] set: usize,
    ) {
        let old = read(3, &[("/a/", "s", 1), ("/b/", "t", 2)], &["s", "t"]);
        let new = read(8, routes, services);
        let change = new.diff_from(&old);
        assert_eq!(change.set.len(), set);
        assert_eq!(old.apply(&change).map(sorted), Some(sorted(new)));
    }

    #[rstest]
    fn a_change_of_another_revision_or_to_elsewhere_is_not_applied() {
        let old = read(3, &[("/a/", "s", 1)], &["s"]);
        let other = read(3, &[("/a/", "s", 1), ("/b/", "s", 1)], &["s"]);
        let change = read(8, &[("/a/", "s", 2)], &["s"]).diff_from(&old);
        assert!(read(4, &[("/a/", "s", 1)], &["s"]).apply(&change).is_none());
        assert!(other.apply(&change).is_none());
    }
}
