//! The scheduler on sockets, by the stages of a task: `berth` (start), `door`, `guest`, `heads`, `reading`, `answering` (server
//! side), `exchange`, `pool`, `gauge`, `sending` (client side), `loads`, `news`, `discovery`, `endings`, `reloading`, `stopping`.

pub mod answering;
pub mod berth;
pub mod clock;
pub mod discovery;
pub mod door;
pub mod endings;
pub mod exchange;
pub mod gauge;
pub mod guest;
pub mod heads;
pub mod listing;
pub mod loads;
pub mod news;
pub mod pool;
pub mod reading;
pub mod reloading;
pub mod sending;
pub mod start;
pub mod stopping;
pub mod wire;
