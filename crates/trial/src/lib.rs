//! The means of proof for what several processes do together: real schedulers on loopback ([`fleet`], [`group`]), faults between
//! them ([`between`]), what stands around them ([`standins`], [`peers`]), and a judge that knows nothing of the inside
//! ([`judge`]). No part of what is shipped.

pub mod checks;
pub mod fleet;
pub mod group;
pub mod mocks;
pub mod peers;
pub mod relays;
