//! Reads and validates an operator's whole configuration, the JSON body of `POST /v1/Configuration.Replace`:
//! the routes, the services they lead to, and the limits for client requests. No I/O, no clock and no
//! randomness.
//!
//! Units: `_ms` is milliseconds, `_mb` is mebibytes as the platform counts them, `_bytes` is bytes; weights
//! are relative to the other weights of their route. A number above the range of its field is read as the
//! largest that fits, since higher values have no different effect.
//!
//! Errors: [`Catalogue::read`] accepts the complete text or returns a [`ReadError`] with its location. It
//! never panics, and is bounded by [`MAX_TEXT_BYTES`], [`MAX_DEPTH`] and [`MAX_VALUES`] for any input.
//! Unknown fields are ignored, `null` counts as absent, and a duplicate key in an object is an error, as two
//! readers might choose different values.

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

/// A complete, validated configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The configuration with the higher revision is in force.
    pub revision: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: Limits,
}

impl Catalogue {
    /// Reads a configuration. Returns the first error, in the order services, routes, limits.
    pub fn read(text: &[u8]) -> Result<Catalogue, ReadError> {
        validation::catalogue(&json::read(text)?)
    }
}

/// Whether a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once per attempt of its client.
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Empty if the operator gave none.
    pub name: String,
    /// As the operator wrote it, never empty; compared case-insensitively.
    pub hostname: String,
    /// Starts and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// The maximum time until a request is answered; at least 1.
    pub timeout_ms: u32,
    /// An answer within this time has its full value; `timeout_ms` if the operator gave none.
    pub target_latency_ms: u32,
    /// 0 is the highest.
    pub priority: u8,
    /// The maximum number of workers that one attempt may be sent to; at least 1.
    pub max_retries: u8,
    /// Never empty, and some weight is above 0.
    pub shares: Vec<Share>,
}

impl Route {
    /// Chooses the service of a request in proportion to the weights; returns an index into the services.
    /// `random` is uniform over all of `u32`.
    pub fn choose(&self, random: u32) -> u32 {
        let sum: u128 = self.shares.iter().map(|s| u128::from(s.weight)).sum();
        // Below the sum, as `random` is below 2^32.
        let mut left = (u128::from(random) * sum) >> 32;
        for share in &self.shares {
            let weight = u128::from(share.weight);
            if left < weight {
                return share.service;
            }
            left -= weight;
        }
        // Only a route that was not read by this crate can have no weight at all.
        self.shares.first().map_or(0, |s| s.service)
    }
}

/// The share of a route's requests that goes to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Index into [`Catalogue::services`].
    pub service: u32,
    pub weight: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Not empty, and unique among the services.
    pub name: String,
    /// Starts with a slash.
    pub health_path: Option<String>,
    /// Maximum number of connections to one worker from all callers together; 0 if not given.
    pub max_concurrency: u32,
    /// Memory that one worker uses on its host; 0 if not given.
    pub memory_mb: u32,
    /// Average duration of a start; 0 if not given.
    pub boot_ms: u32,
    /// Maximum number of concurrent requests of one worker; `slots` if not given, 0 (no limit) if that is not
    /// given either.
    pub max_inflight: u32,
}

/// Limits on what a client may send, and how long it may take or stay idle.
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
