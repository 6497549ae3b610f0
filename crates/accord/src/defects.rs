//! Defects that tests plant, to show that the checker finds them. In the program there are none.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(not(test), allow(dead_code))]
pub enum Defect {
    LeaseFromTheAnswer,
    PromiseForgetsWhatWasAccepted,
    TakesItsOwnOverAnAcceptedOne,
    GrantsAfterItAccepted,
    GrantsUnderAFence,
    FencedWithoutWaiting,
    HalfIsEnough,
    ForgetsItsGrantsAtAStart,
    AcceptsWithoutAFence,
    KeepsItsLeaseWithOtherVoters,
    StagesWhatItCannotServe,
}

#[cfg(test)]
thread_local! {
    pub static PLANTED: std::cell::Cell<Option<Defect>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub fn planted(defect: Defect) -> bool {
    PLANTED.get() == Some(defect)
}

#[cfg(not(test))]
pub const fn planted(_: Defect) -> bool {
    false
}
