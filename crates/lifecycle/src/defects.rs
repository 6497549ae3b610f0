//! Defects of a process's lifecycle that tests and soak runs inject to show that they are detected. The
//! programs contain none. The environment names a defect by its variant, so variants keep their names.

/// What is wrong with the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Work is admitted and begins whatever time is left, until admission ends.
    TimeLeftIgnored,
    /// New work is admitted until the process ends, however long it takes.
    AdmitsUntilTheEnd,
    /// Nothing is aborted: the process ends with work in progress.
    BreaksOffNothing,
    /// All work is aborted when admission ends.
    BreaksOffEarly,
    /// The process ends at SIGTERM.
    EndsAtOnce,
    /// The process ends when admission ends, whatever work is in progress.
    EndsWithWorkInHand,
    /// A further SIGTERM ends the process.
    FurtherSignalEnds,
    /// A further SIGTERM restarts the grace period.
    GraceFromLastSignal,
    /// The grace period is counted from the process's start.
    GraceFromStart,
    /// The grace period is taken for twice its length.
    OutlivesGrace,
    /// SIGTERM changes nothing.
    SignalIgnored,
    /// A refusal does not state when to retry.
    ToldNothing,
}

impl Defect {
    pub const ALL: [Defect; 12] = [
        Defect::TimeLeftIgnored,
        Defect::AdmitsUntilTheEnd,
        Defect::BreaksOffNothing,
        Defect::BreaksOffEarly,
        Defect::EndsAtOnce,
        Defect::EndsWithWorkInHand,
        Defect::FurtherSignalEnds,
        Defect::GraceFromLastSignal,
        Defect::GraceFromStart,
        Defect::OutlivesGrace,
        Defect::SignalIgnored,
        Defect::ToldNothing,
    ];

    /// The defect with this variant name.
    pub fn from_name(name: &str) -> Option<Defect> {
        Defect::ALL.into_iter().find(|defect| format!("{defect:?}") == name)
    }
}

#[cfg(feature = "planted")]
thread_local! {
    pub static INJECTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

#[cfg(feature = "planted")]
pub fn injected(defect: Defect) -> bool {
    INJECTED.get() == Some(defect)
}

#[cfg(not(feature = "planted"))]
pub const fn injected(_: Defect) -> bool {
    false
}
