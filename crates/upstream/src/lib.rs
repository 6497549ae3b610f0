//! What a proxy may do with one attempt of a client: which states allow another send or a refusal
//! ([`attempt`]), which bytes of an upstream connection are the answer ([`exchange`]), and which connections
//! are reused ([`pool`]). Performs no I/O: the proxy moves bytes between these types and its sockets.

pub mod attempt;
pub mod defects;
pub mod exchange;
pub mod pool;

pub use attempt::{Attempt, Conclusion, InFlight, Refusal, Repeatability, SendPermit};
pub use exchange::{Exchange, NotExecuted, Reply, Step, Verdict, WorkerAnswer};
pub use pool::{Connection, Pool};
