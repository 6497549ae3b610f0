//! A control plane of real controller processes on loopback, for tests of its guarantees under faults.
//!
//! - [`cluster`]: starts the controllers (with agents and proxies where a test wants them), kills, freezes,
//!   stops, restarts and replaces them, and empties their disks;
//! - [`operator`]: single calls of an operator with typed answers, and connections that a test can break;
//! - [`configuration`]: configuration texts, also different ones with the same revision;
//! - [`history`]: the answers that operators got over time, and the check of their consistency.
//!
//! The tests are `crates/scheduler/tests/control_*.rs`, because cargo gives the path of a program only to
//! tests of the program's own package. They use the command line, the settings file, the operators' HTTP
//! interface and the mock platform, no internals. Each has a short form for CI and a long one
//! ([`LONG_TESTS_VARIABLE`]).
//!
//! Single links between controllers cannot be cut here: controllers know each other by the address they
//! listen on, so no relay fits between two of them. A cut is simulated by a frozen process (silent, its
//! connections open), an ended one (its port refuses connections), or a frozen one whose accept queue is full
//! ([`cluster::FullAcceptQueue`]: it resumes without messages that the others sent meanwhile). One-way cuts
//! between running controllers are covered by the simulation.

pub mod cluster;
pub mod configuration;
pub mod history;
pub mod operator;

use std::time::Duration;

/// Environment variable; if set to any value, tests run their long form.
pub const LONG_TESTS_VARIABLE: &str = "TINDOCK_CONTROL_LONG";

/// Selects a test's size: `short` in CI, `long` where [`LONG_TESTS_VARIABLE`] is set.
pub fn short_or_long<T>(short: T, long: T) -> T {
    if std::env::var_os(LONG_TESTS_VARIABLE).is_some() {
        long
    } else {
        short
    }
}

/// A machine counts as lost for this long after its return (`sync_time_s` of the settings).
pub const SYNC_TIME: Duration = Duration::from_secs(4);

/// Operators retry a query of the newest text for at least this long (`contact_ms` of the settings).
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two checks of a condition that is waited for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);
