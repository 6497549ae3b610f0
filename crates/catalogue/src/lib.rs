//! Reads and checks an operator's whole configuration, the JSON body of `POST /v1/Configuration.Replace`:
//! which routes there are, which services they lead to and what a client may send. No I/O, no clock and no
//! randomness.
//!
//! Units: every `_ms` is in milliseconds, every `_mb` in mebibytes as the platform counts them, every
//! `_bytes` in bytes; weights are relative to the others of their route. A number above the range of its
//! field is read as the largest that fits, since none of them means anything different up there.
//!
//! Errors: [`Catalogue::read`] takes the text whole or answers with a [`ReadError`] that names the place. It
//! never panics, and is bounded by [`MAX_TEXT_BYTES`], [`MAX_DEPTH`] and [`MAX_VALUES`] whatever it is given.
//! Fields that are unknown here are passed over, `null` counts as absent, and a key that stands twice in an
//! object is a fault, as two readers might choose differently.

mod change;
mod error;
mod finder;
mod json;
#[cfg(test)]
mod tests;
mod validation;

pub use change::Change;
pub use error::{FieldError, Location, ReadError, SyntaxError};
pub use finder::Finder;
pub use json::{MAX_DEPTH, MAX_TEXT_BYTES, MAX_VALUES};

use serde::{Deserialize, Serialize};

/// A whole configuration that has been checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The higher of two revisions holds.
    pub revision: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
}

impl Catalogue {
    /// Reads a configuration. The fault is the first one met, in the order services, routes, limits.
    pub fn read(text: &[u8]) -> Result<Catalogue, ReadError> {
        validation::catalogue(&json::read(text)?)
    }
}

/// What of a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once per try of its client.
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Empty if the operator gave none.
    pub name: String,
    /// As the operator wrote it, never empty; compared without regard to case.
    pub hostname: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// How long a request may be held at most; at least 1.
    pub timeout_ms: u32,
    /// An answer inside this time earns its full worth; the time-out where the operator gave none.
    pub target_latency_ms: u32,
    /// 0 is the highest.
    pub priority: u8,
    /// To how many workers one try may be sent; at least 1.
    pub max_retries: u8,
    /// Never empty, and some weight is above 0.
    pub shares: Vec<Share>,
}

impl Route {
    /// The service that a request goes to, as an index into the services, in proportion to the weights.
    /// `chance` is uniform over all of `u32`.
    pub fn choose(&self, chance: u32) -> u32 {
        let sum: u128 = self.shares.iter().map(|s| u128::from(s.weight)).sum();
        // Below the sum, as `chance` is below 2^32.
        let mut left = (u128::from(chance) * sum) >> 32;
        for share in &self.shares {
            let weight = u128::from(share.weight);
            if left < weight {
                return share.service;
            }
            left -= weight;
        }
        // Only a route that was not read here can have no weight at all.
        self.shares.first().map_or(0, |s| s.service)
    }
}

/// The part of a route's requests that goes to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Index into [`Catalogue::services`].
    pub service: u32,
    pub weight: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Not empty, and no other service's.
    pub name: String,
    /// Begins with a slash.
    pub health_path: Option<String>,
    /// Connections that one worker takes from all callers together; 0 if not given.
    pub max_concurrency: u32,
    /// What one worker takes of its host; 0 if not given.
    pub memory_mb: u32,
    /// How long a start takes on average; 0 if not given.
    pub boot_ms: u32,
    /// Requests that one worker may hold at once; `slots` if not given, 0 (no bound) if that is not given
    /// either.
    pub max_inflight: u32,
}

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    pub max_header_bytes: u32,
    pub max_body_bytes: u32,
    pub header_timeout_ms: u32,
    pub idle_timeout_ms: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
