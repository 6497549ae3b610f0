//! Defects that tests plant, to show that the harness finds them. In the programs there are none.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// An instance lends one slot more than it has.
    OneTooMany,
    /// A waiting call is granted a slot that is not written down.
    GrantNotRecorded,
    /// A new lender lends before it has heard what is out.
    GrantsBeforeHandover,
    /// What borrowers tell of loans by a former lender is not written down.
    HoldsIgnored,
    /// Loans whose borrower vanished are never taken back.
    NoExpiry,
    /// Borrowers are not asked after loans that are out for long.
    NeverChecked,
    /// Calls that nobody answers are forgotten.
    DeadlineIgnored,
    /// Calls are served in the order in which they came.
    ArrivalOrder,
    /// Slots that come back wait for the next ask.
    QueueNotServed,
    /// What drains is still lent.
    DrainingGranted,
    /// A slot of an instance that the requester knows to leave is used all the same.
    LeavingUsed,
    /// A new life numbers its calls like the one before, and takes what comes for them.
    NumbersReused,
    /// Loans are forgotten when their instance goes to another lender for a while.
    LedgerForgotten,
    /// A new owner doesn't wait for what the former one hands over.
    HandoverNotAwaited,
    /// A former owner hands nothing over.
    NothingHandedOver,
    /// Whoever says nothing for a while is taken for ended.
    SilenceCountsAsEnd,
    /// An owner that hears nobody goes on lending.
    IsolatedGrants,
    /// A former owner that has not learned of a change lends on while another claims what it owns.
    ClaimsIgnored,
    /// Before the holder has published any members, one that knows nobody in a zone owns its instances.
    FirstKnownOwns,
    /// A refused connection proves the end of a process, on whichever side of a cut this one is.
    RefusalIsProof,
    /// A slot that comes back is freed twice.
    FreedTwice,
    /// Letters of a life that another has followed are taken for the present one's.
    FormerAccepted,
    /// Copies of asks and of loans told of are served after their call is over.
    CopiesServed,
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
