//! Defects that tests inject to show that the test harness detects them. The programs contain none.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// An instance grants one slot more than it has.
    OneTooMany,
    /// A queued call is granted a slot that is not recorded.
    GrantNotRecorded,
    /// A new owner grants slots before it knows which are held.
    GrantsBeforeHandover,
    /// Requesters' reports of slots granted by a former owner are not recorded.
    HoldsIgnored,
    /// Grants whose requester vanished never expire.
    NoExpiry,
    /// Requesters are not queried about grants that are held for long.
    NeverChecked,
    /// Calls that nobody answers are not rejected at their end.
    DeadlineIgnored,
    /// Calls are served in order of arrival.
    ArrivalOrder,
    /// Returned slots are not granted until the next request.
    QueueNotServed,
    /// Slots of draining instances are granted.
    DrainingGranted,
    /// A slot of an instance that the requester knows to leave is used all the same.
    LeavingUsed,
    /// A new incarnation reuses the call numbers of the one before, and accepts replies to those.
    NumbersReused,
    /// Grants are forgotten when another process owns their instance for a while.
    LedgerForgotten,
    /// A new owner doesn't wait for the handover of the former one.
    HandoverNotAwaited,
    /// A former owner hands nothing over.
    NothingHandedOver,
    /// A process that is silent for a while is taken for ended.
    SilenceCountsAsEnd,
    /// An isolated owner goes on granting slots.
    IsolatedGrants,
    /// A former owner that has not learned of a change grants slots of an instance that another claims.
    ClaimsIgnored,
    /// Before the holder of the leadership lease publishes members, a process that knows of none in a zone
    /// owns its instances.
    FirstKnownOwns,
    /// A refused connection counts as proof that a process has ended, on either side of a network partition.
    RefusalIsProof,
    /// A returned slot is freed twice.
    FreedTwice,
    /// Datagrams of a former incarnation are handled like those of the present one.
    FormerAccepted,
    /// Late copies of requests and of reported grants are served after their call is over.
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
