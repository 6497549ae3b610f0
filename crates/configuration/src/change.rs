//! The difference between two configurations: small when an operator changed one route of a thousand, so that
//! slow links carry only that. Applied completely or not at all.

use crate::{Catalogue, Limits, Route, Service};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The change from one revision to a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The revision it is applied to.
    pub from: u64,
    pub revision: u64,
    /// All services, if they differ; routes refer to them by index.
    services: Option<Vec<Service>>,
    limits: Limits,
    /// Removed routes, by host and prefix.
    gone: Vec<(String, String)>,
    /// New and modified routes.
    set: Vec<Route>,
    /// The number of routes in the result, and its digest: a change with another result is not applied.
    routes: u32,
    digest: u64,
}

fn key(route: &Route) -> (String, String) {
    (route.hostname.clone(), route.path_prefix.clone())
}

/// FNV-1a over all routes and services, independent of the order of the routes.
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
    /// The change that leads from `old` to this configuration.
    pub fn diff_from(&self, old: &Catalogue) -> Change {
        let before: BTreeMap<_, &Route> = old.routes.iter().map(|route| (key(route), route)).collect();
        let after: BTreeMap<_, &Route> = self.routes.iter().map(|route| (key(route), route)).collect();
        // Routes refer to services by index: if the services differ, an unchanged route may refer to another
        // one.
        let services_differ = old.services != self.services;
        let set = after.iter().filter(|(key, route)| services_differ || before.get(*key) != Some(*route));
        Change {
            from: old.revision,
            revision: self.revision,
            services: services_differ.then(|| self.services.clone()),
            limits: self.limits,
            gone: before.keys().filter(|key| !after.contains_key(*key)).cloned().collect(),
            set: set.map(|(_, route)| (*route).clone()).collect(),
            routes: self.routes.len() as u32,
            digest: digest(self),
        }
    }

    /// The configuration after the change; None if this is not the revision it applies to, or if the result
    /// does not match.
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
        let matches = next.routes.len() == change.routes as usize && digest(&next) == change.digest;
        let valid_indexes =
            |route: &Route| route.shares.iter().all(|share| (share.service as usize) < next.services.len());
        (matches && next.routes.iter().all(valid_indexes)).then_some(next)
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
    fn a_change_leads_to_the_new_configuration_and_contains_only_differences(
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
    fn a_change_from_another_configuration_is_not_applied() {
        let old = read(3, &[("/a/", "s", 1)], &["s"]);
        let other = read(3, &[("/a/", "s", 1), ("/b/", "s", 1)], &["s"]);
        let change = read(8, &[("/a/", "s", 2)], &["s"]).diff_from(&old);
        assert!(read(4, &[("/a/", "s", 1)], &["s"]).apply(&change).is_none());
        assert!(other.apply(&change).is_none());
    }
}
