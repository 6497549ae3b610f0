//! Defects that tests and soaks plant in a process's life, to show that they are found. In the programs there are none.

/// What is wrong with a process's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Work is admitted and begins whatever time is left, until nothing new is taken on.
    TimeLeftIgnored,
    /// Newcomers are taken on until the process ends, whatever they need.
    AdmitsUntilTheEnd,
    /// Nothing is broken off: the process ends with what it has in hand.
    BreaksOffNothing,
    /// All is broken off when admission is over.
    BreaksOffEarly,
    /// The process ends at SIGTERM.
    EndsAtOnce,
    /// The process ends when admission is over, whatever it has in hand.
    EndsWithWorkInHand,
    /// A further SIGTERM ends the process.
    FurtherSignalEnds,
    /// A further SIGTERM begins the grace period anew.
    GraceFromLastSignal,
    /// The grace period is counted from the process's start.
    GraceFromStart,
    /// The grace period is taken for twice as long as it is.
    OutlivesGrace,
    /// SIGTERM changes nothing.
    SignalIgnored,
    /// Who is refused is not told when to come back.
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

    /// By its name in code.
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
