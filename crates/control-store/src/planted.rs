//! Defects that tests plant, to show that the checker finds them. In the program there are none.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(not(test), allow(dead_code))]
pub enum Defect {
    /// A minority is taken for a majority.
    HalfIsEnough,
    /// A member acknowledges before its disk has the configuration.
    AcksBeforeTheDisk,
    /// A member with an empty disk counts at once.
    CountsWithAnEmptyDisk,
    /// A member that starts anew grants at once.
    ForgetsItsGrantsAtAStart,
    /// The term counts from the last grant's arrival, and nothing is taken off.
    LeaseFromTheAnswer,
    /// The holder's term is as long as the voters': clocks that run apart aren't allowed for.
    LeaseIgnoresDrift,
    /// `show` answers from what is at hand.
    ShowsItsOwn,
    /// Any seed is a majority of the seeds.
    FoundsWithoutAMajority,
    /// A seed that lost its disk takes part in a founding as if it were the first start.
    FoundsAfterALoss,
    /// A file is removed before the next one of its kind is on the disk.
    RemovesTheOldFirst,
    /// What the disk refused counts as written.
    TakesARefusalForDone,
    /// The holder holds until it is told otherwise.
    HoldsOn,
    /// A proposer takes no notice of what was accepted before.
    IgnoresTheAccepted,
    /// A member that starts anew has promised nothing.
    ForgetsItsPromises,
    /// A member accepts a proposal below its promise.
    AcceptsBelowItsPromise,
    /// Of two texts under one revision the one with the higher digest replaces the other.
    ComparesDigests,
    /// An order is answered from what this member knows, without hearing a majority.
    ConfirmsAlone,
    /// A member whose disk was lost doesn't read what it may have promised.
    ReadsNoPromises,
    /// A member whose disk was lost reads what came after its wait, whenever it was sent.
    ReadsWhatWasSentBefore,
    /// A member ends at SIGTERM without telling anybody or waiting for its copies to be elsewhere.
    LeavesWithoutHandover,
    /// A new or wiped voter counts after reading from one member too few.
    JoinsAfterReadingTooFew,
    /// A voter table is accepted under a number below the one promised.
    AcceptsATableBelowItsPromise,
    /// The next change of voters begins while a new voter still reads.
    ChangesWhileAVoterJoins,
    /// A new voter grants at once under a number that it has only read from others.
    GrantsByANumberItRead,
    /// A long text goes as one message.
    SendsTextsWhole,
    /// Pieces are joined without a check of the whole.
    TakesPiecesUnchecked,
    /// A transfer goes on with the pieces of another text of the same revision.
    MixesTwoTexts,
    /// A new voter takes a text that it read below a promise for its own vote.
    VotesForWhatItRead,
    /// A voter that reads counts before it has the newest it heard of.
    CountsBeforeItCaughtUp,
    /// A member that started takes what its disk holds for chosen, and is ready with it.
    ReadyWithAnOldOne,
    /// Who is heard is taken to hear.
    TouchesOneWay,
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
