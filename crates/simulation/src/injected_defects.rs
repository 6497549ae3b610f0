//! Defects injected into the simulation to show that the checker finds them. Their names are the values of
//! `--plant` in the `play` example.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Owners treat each instance as having four times its slots.
    SlotsIgnored,
    /// Each proxy allocates the slots of every instance by itself.
    LendersDoubled,
    /// A granted request is sent twice.
    GrantsDoubled,
    /// Draining instances and hosts in the platform's lists are treated as up.
    DrainIgnored,
    /// A controller acknowledges a configuration before a majority has stored it.
    AckBeforeMajority,
    /// A request whose answer was lost is answered with a 503.
    PromiseAfterLoss,
    /// The lease holder continues after its lease has expired.
    DutyPastTerm,
    /// Agents keep the first configuration they receive.
    OldWordStays,
    /// Requests carry no target instance, so whichever instance has the address runs them.
    NoTarget,
    /// An answer that a worker cut short is passed on as complete.
    CutIsWhole,
    /// The first answer on a worker's connection is used even if it belongs to another request.
    SurplusHandedOn,
    /// A success without a seal is passed on.
    SealIgnored,
    /// A worker's 503 is passed on although it lacks the `Not-Executed` header.
    PromiseHandedOn,
    /// An edge machine exits right after SIGTERM, with requests still open.
    LeavesAtOnce,
    /// After SIGTERM a proxy accepts requests that cannot finish in time, and exits without answering them.
    TimeLeftIgnored,
    /// Applying a new configuration closes the connections of all waiting clients.
    HangsUpOnWord,
    /// A request with a body is rejected as invalid.
    BodiesDenied,
    /// The query is dropped from forwarded requests.
    QueryDropped,
    /// A body is forwarded without its length.
    BodyUnframed,
    /// Retries are limited only by the rounds of a request, not by the retry budget.
    BudgetIgnored,
    /// Routes missing from the first configuration are rejected.
    NewRoutesRefused,
    /// A core machine starts as if its disk were empty.
    DisksForgotten,
}

impl InjectedDefect {
    pub const ALL: [InjectedDefect; 22] = [
        InjectedDefect::SlotsIgnored,
        InjectedDefect::LendersDoubled,
        InjectedDefect::GrantsDoubled,
        InjectedDefect::DrainIgnored,
        InjectedDefect::AckBeforeMajority,
        InjectedDefect::PromiseAfterLoss,
        InjectedDefect::DutyPastTerm,
        InjectedDefect::OldWordStays,
        InjectedDefect::NoTarget,
        InjectedDefect::CutIsWhole,
        InjectedDefect::SurplusHandedOn,
        InjectedDefect::SealIgnored,
        InjectedDefect::PromiseHandedOn,
        InjectedDefect::LeavesAtOnce,
        InjectedDefect::TimeLeftIgnored,
        InjectedDefect::HangsUpOnWord,
        InjectedDefect::BodiesDenied,
        InjectedDefect::QueryDropped,
        InjectedDefect::BodyUnframed,
        InjectedDefect::BudgetIgnored,
        InjectedDefect::NewRoutesRefused,
        InjectedDefect::DisksForgotten,
    ];
}
