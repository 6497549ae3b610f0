//! Simulator: runs the decision components of the whole system together on simulated time.
//!
//! Edge machines (`tindock_peer_sampling`, `tindock_slot_allocation`) and core machines
//! (`tindock_control_store`, `tindock_autoscaler`) are assembled as in the system processes, whose I/O code
//! is mirrored here in reduced form ([`agent`], [`proxy`], [`controller`]). Around them are models of the
//! platform with its workers, of clients, operators and network links, all written from the published
//! protocol. A scenario, a small text file, states what happens and what must hold. All random numbers come
//! from one seed, so a run can be repeated exactly.
//!
//! [`play`] runs a scenario ([`command`] is `tindock play`). Its [`Report`] has a table by second and the
//! findings of the checker, which sees only what clients, workers, operators and the platform can see.
//! [`InjectedDefect`]s are used to test that the checker finds what it is meant to find.

pub mod agent;
mod baselines;
mod checker;
mod command;
pub mod controller;
mod html;
mod injected_defects;
mod list;
mod messages;
mod net;
mod operator;
mod platform;
pub mod proxy;
mod report;
mod rng;
mod scenario;
mod setting;
mod wire;
mod world;

pub use baselines::{Ranking, Sharing};
pub use checker::{Finding, Rule};
pub use command::{command, run, PlayOutcome};
pub use injected_defects::InjectedDefect;
pub use list::LIST;
pub use report::{AllocationFigures, LeasePeriod, Report, RouteFigures, Row, Span};
pub use scenario::{Scenario, ScenarioError, ScenarioErrorKind};

/// Host name of all routes.
pub(crate) const HOST: &str = "site.example";

/// Runs a scenario with this seed.
pub fn play(text: &str, seed: u64, defect: Option<InjectedDefect>) -> Result<Report, ScenarioError> {
    play_sharing(text, seed, defect, Sharing::Loans)
}

/// Runs a scenario with another way of sharing slots between proxies.
pub fn play_sharing(
    text: &str,
    seed: u64,
    defect: Option<InjectedDefect>,
    sharing: Sharing,
) -> Result<Report, ScenarioError> {
    let scenario = Scenario::read(text)?;
    Ok(world::World::new(scenario, seed, defect, (sharing, Ranking::Limit)).run(|_| ()))
}

/// Runs a scenario with slot allocation and another instance ranking.
pub fn play_ranking(text: &str, seed: u64, ranking: Ranking) -> Result<Report, ScenarioError> {
    let scenario = Scenario::read(text)?;
    Ok(world::World::new(scenario, seed, None, (Sharing::Loans, ranking)).run(|_| ()))
}
