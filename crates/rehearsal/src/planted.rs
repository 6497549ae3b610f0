//! Defects that are put into the runner, to show that the judge finds them.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Lenders think that each instance has four times its slots.
    SlotsIgnored,
    /// Each desk lends every instance by itself.
    LendersDoubled,
    /// A granted call is sent twice.
    GrantsDoubled,
    /// What the list shows as draining is taken as up.
    DrainIgnored,
    /// An archive acknowledges what it has only heard.
    AckBeforeMajority,
    /// A call whose answer was lost ends with a 503.
    PromiseAfterLoss,
    /// The holder goes on with its duty whatever its lease says.
    DutyPastTerm,
    /// Pages keep the first configuration they hear.
    OldWordStays,
    /// Calls name no instance, and whoever has the address runs them.
    NoTarget,
    /// An answer that a worker broke off is handed on as a whole one.
    CutIsWhole,
    /// The first answer on a worker's connection is taken, whose ever it is.
    SurplusHandedOn,
    /// A success without a seal is handed on.
    SealIgnored,
    /// A worker's 503 that does not say that nothing has run is handed on.
    PromiseHandedOn,
    /// An edge machine that is to stop ends at once, with all that is in hand.
    LeavesAtOnce,
    /// A machine that is to stop takes on what its time is too short for, and ends without answering it.
    TimeLeftIgnored,
    /// A new configuration closes the connections of all clients that wait.
    HangsUpOnWord,
    /// A request with a body is taken for an improper one.
    BodiesDenied,
    /// What is sent on lacks the query.
    QueryDropped,
    /// A body is sent on without its length.
    BodyUnframed,
    /// Further tries have no bound but a request's rounds.
    BudgetIgnored,
    /// Routes that the first configuration did not have are refused.
    NewRoutesRefused,
    /// A core machine starts as if its disk were empty.
    DisksForgotten,
}

impl Planted {
    pub const ALL: [Planted; 22] = [
        Planted::SlotsIgnored,
        Planted::LendersDoubled,
        Planted::GrantsDoubled,
        Planted::DrainIgnored,
        Planted::AckBeforeMajority,
        Planted::PromiseAfterLoss,
        Planted::DutyPastTerm,
        Planted::OldWordStays,
        Planted::NoTarget,
        Planted::CutIsWhole,
        Planted::SurplusHandedOn,
        Planted::SealIgnored,
        Planted::PromiseHandedOn,
        Planted::LeavesAtOnce,
        Planted::TimeLeftIgnored,
        Planted::HangsUpOnWord,
        Planted::BodiesDenied,
        Planted::QueryDropped,
        Planted::BodyUnframed,
        Planted::BudgetIgnored,
        Planted::NewRoutesRefused,
        Planted::DisksForgotten,
    ];
}
