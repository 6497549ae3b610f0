//! Defects that tests inject to show that the checker detects them. Always absent outside of tests.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(not(test), allow(dead_code))]
pub enum Defect {
    LeaseCountedFromAnswer,
    PromiseOmitsAccepted,
    ProposesOwnOverAccepted,
    GrantsLeaseAfterAccept,
    GrantsLeaseBehindFence,
    FenceReportedTooEarly,
    HalfCountsAsMajority,
    NoWaitAfterRestart,
    AcceptsWithoutFence,
    KeepsLeaseAcrossVoterChange,
    StagesIneligibleProposal,
}

#[cfg(test)]
thread_local! {
    pub static INJECTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub fn injected(defect: Defect) -> bool {
    INJECTED.get() == Some(defect)
}

#[cfg(not(test))]
pub const fn injected(_: Defect) -> bool {
    false
}
