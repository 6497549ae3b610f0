//! Defects that tests inject to show that the model detects them. Always absent from the programs.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A request that may have run and is not idempotent is sent again.
    RepeatedSend,
    /// A request that may have run is refused as if it had not.
    RefusalAfterSend,
    /// The workers that one attempt has reached are not counted.
    WorkersNotCounted,
    /// An answer is accepted without comparing its `Attempt-Id`.
    AttemptIdNotCompared,
    /// A refusal without an id is accepted although the connection has carried another request.
    RefusalWithoutIdAccepted,
    /// A second send uses a connection that may have carried the first.
    ConnectionReusedForRetry,
    /// An answer that ends only with its connection is accepted as complete.
    TruncatedTakenAsComplete,
    /// Bytes after the surplus answer to a HEAD request are parsed as if its framing were known.
    SurplusAfterHeadAccepted,
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
