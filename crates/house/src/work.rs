//! How long requests are at their workers, by route.

use std::time::Duration;
use tindock_catalogue::Route;

/// Names a route whatever the revision of the configuration.
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

/// How long a request may be at its worker.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// As measured on its route, or promised by it.
    pub longest: Duration,
    /// It is given up then, by the proxy's clock.
    pub end: Duration,
}

impl Work {
    /// If it begins now, it is over after so long at the latest.
    pub fn longest_from(&self, now: Duration) -> Duration {
        self.longest.min(self.end.saturating_sub(now))
    }
}
