//! Defects that tests inject to show that the checker detects them. None exists outside of tests.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(not(test), allow(dead_code))]
pub enum Defect {
    /// Half of the voters is treated as a majority.
    HalfIsQuorum,
    /// A member acknowledges before the configuration is on its disk.
    AcknowledgesBeforeSync,
    /// A member with an empty disk votes at once.
    CountsWithEmptyDisk,
    /// A restarted member grants the lease at once.
    ForgetsGrantsOnRestart,
    /// The lease term starts at the arrival of the last grant, without a safety margin.
    LeaseTermFromGrantArrival,
    /// The holder's term is as long as the voters' term: clock drift is not allowed for.
    LeaseIgnoresDrift,
    /// `show` answers from local memory.
    ShowsLocalCopy,
    /// Any seed is treated as a majority of the seeds.
    BootstrapsWithoutMajority,
    /// A seed that lost its disk takes part in bootstrapping as if it were the first start.
    BootstrapsAfterDiskLoss,
    /// A file is removed before the next one of its kind is on disk.
    RemovesOldFileFirst,
    /// A failed write is treated as done.
    TreatsFailedWriteAsDone,
    /// The holder keeps the lease until another message ends it.
    IgnoresLeaseExpiry,
    /// A proposer ignores versions accepted before.
    IgnoresAcceptedVersions,
    /// A restarted member forgets its promises.
    ForgetsPromises,
    /// A member accepts a proposal below its promise.
    AcceptsBelowPromise,
    /// Of two texts under one revision, the one with the higher digest replaces the other.
    OrdersByDigest,
    /// A replace request is answered from local state, without replies from a majority.
    ConfirmsWithoutMajority,
    /// A member whose disk was lost does not read what it may have promised.
    SkipsReadingPromises,
    /// A member whose disk was lost uses replies that arrive after its wait, whenever they were sent.
    AcceptsStaleReadReplies,
    /// A member exits at SIGTERM without notifying the others or waiting until its state is replicated.
    LeavesWithoutHandover,
    /// A new or wiped voter votes after reading from one member too few.
    JoinsAfterTooFewReads,
    /// A voter table is accepted under a number below the promised one.
    AcceptsTableBelowPromise,
    /// The next change of voters starts while a new voter is still reading.
    ChangesTableWhileVoterJoins,
    /// A new voter grants at once under a lease number that it only read from others.
    GrantsUnderReadNumber,
    /// A long text is sent as one message.
    SendsTextsUnsplit,
    /// Pieces are joined without checking the digest of the whole text.
    SkipsAssembledDigestCheck,
    /// A transfer continues with the pieces of another text of the same revision.
    MixesTwoTexts,
    /// A new voter treats a text that it read below a promise as its own vote.
    VotesForReadCopy,
    /// A reading voter votes before it has the newest version reported to it.
    CountsBeforeCatchUp,
    /// A restarted member treats the version on its disk as chosen, and is ready with it.
    ReadyWithStaleConfiguration,
    /// Receiving messages from a peer is treated as contact in both directions.
    ContactFromOneWay,
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
