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
}

impl Planted {
    pub const ALL: [Planted; 9] = [
        Planted::SlotsIgnored,
        Planted::LendersDoubled,
        Planted::GrantsDoubled,
        Planted::DrainIgnored,
        Planted::AckBeforeMajority,
        Planted::PromiseAfterLoss,
        Planted::DutyPastTerm,
        Planted::OldWordStays,
        Planted::NoTarget,
    ];
}
