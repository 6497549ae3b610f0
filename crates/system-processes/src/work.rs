//! How long workers take for requests, by route.

use std::time::Duration;
use tindock_configuration::Route;

/// Identifies a route independently of the revision of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey(u64);

impl RouteKey {
    pub fn of(route: &Route) -> RouteKey {
        RouteKey(
            crate::controller::hash(&route.hostname)
                ^ crate::controller::hash(&route.path_prefix).rotate_left(1),
        )
    }
}

/// How long a worker may take for a request.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// As measured on its route, or its target latency.
    pub max_run_time: Duration,
    /// When the request is given up, by the proxy's clock.
    pub end: Duration,
}

impl Work {
    /// How long it takes at most if it begins now.
    pub fn max_run_time_from(&self, now: Duration) -> Duration {
        self.max_run_time.min(self.end.saturating_sub(now))
    }
}
