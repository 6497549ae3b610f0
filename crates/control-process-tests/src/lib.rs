//! A control plane of real controller processes on loopback, for tests of what must hold whatever happens to them.
//!
//! - [`cluster`]: starts the controllers (with agents and proxies where a test wants them), kills, freezes, stops,
//!   restarts and replaces them, and empties their disks;
//! - [`operator`]: single calls of an operator with typed answers, and connections that a test breaks as it likes;
//! - [`configuration`]: texts that differ under one revision;
//! - [`history`]: what operators were told over time, and what must hold of it.
//!
//! The tests are `crates/scheduler/tests/control_*.rs`, because cargo gives the path of a program only to tests of the
//! program's own package. They use the command line, the settings file, the operators' HTTP interface and the platform's
//! stand-in, nothing of the system's inside. Each has a short form for CI and a long one, chosen by [`LONG_TESTS_VARIABLE`].
//!
//! The links between controllers cannot be cut one by one here: a controller is known to the others by the address it
//! listens on, so no relay fits between two of them. A cut is a frozen process (silent, its connections open), one that
//! has ended (its port refuses), or a frozen one whose queue of new connections is full ([`cluster::FullAcceptQueue`]: it
//! wakes without having heard what the others did). One-way cuts between running controllers are left to the simulation.

pub mod cluster;
pub mod configuration;
pub mod history;
pub mod operator;

use std::time::Duration;

/// Set to anything: tests run their long form.
pub const LONG_TESTS_VARIABLE: &str = "TINDOCK_CONTROL_LONG";

/// One of two sizes of a test: `short` in CI, `long` where [`LONG_TESTS_VARIABLE`] is set.
pub fn short_or_long<T>(short: T, long: T) -> T {
    if std::env::var_os(LONG_TESTS_VARIABLE).is_some() {
        long
    } else {
        short
    }
}

/// A machine counts as lost for so long after it has returned (`sync_time_s` of the settings).
pub const SYNC_TIME: Duration = Duration::from_secs(4);

/// Operators ask for the newest text for at least so long (`contact_ms` of the settings).
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(5);

/// Between two looks at a condition that is waited for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(25);
