//! Test support for several real schedulers on loopback ([`fleet`], [`group`]): relays that inject network
//! faults between them ([`relays`]), mock workers, discovery and clients ([`mocks`], [`peers`]), and checks
//! of what clients and workers observed ([`checks`]). It is not part of the shipped program.

pub mod checks;
pub mod fleet;
pub mod group;
pub mod mocks;
pub mod peers;
pub mod relays;
