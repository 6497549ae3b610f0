//! The operator's configuration: its size, what a change of it is, and what reading, comparing and applying it cost.

use crate::report::Figure;
use crate::usage::{own_memory, timed};
use crate::Size;
use std::time::Duration;
use tindock_configuration::{Catalogue, Finder};
use tindock_mock_services::operator::{configuration, Route};
use tindock_mock_services::platform::Function;
use tindock_system_processes::messages::PeerMessage;
use tindock_system_processes::transport::frame;

/// What every function of these runs is like: rare, small, and quick to start.
pub fn function(number: usize) -> Function {
    Function {
        name: Size::function(number),
        memory_mb: 128,
        boot: Duration::from_millis(900),
        max_inflight: 2,
        max_concurrency: 24,
        work: Duration::from_millis(40),
        cold: Duration::ZERO,
    }
}

/// The host of the route to the function of this number.
pub fn hostname(number: usize) -> String {
    format!("host-{}.example", number % 97)
}

/// A configuration of so many functions with a route each; the time-out of the first route is the revision's.
pub fn text(revision: u64, functions: usize) -> String {
    text_of(revision, &(0..functions).map(function).collect::<Vec<Function>>())
}

/// The same for these functions.
pub fn text_of(revision: u64, functions: &[Function]) -> String {
    let route = |(number, function): (usize, &Function)| Route {
        name: format!("r-{}", function.name),
        hostname: hostname(number),
        path_prefix: format!("/{}/", function.name),
        route_type: "idempotent".into(),
        timeout_ms: if number == 0 { 4000 + revision as u32 } else { 4000 },
        target_latency_ms: 1500,
        priority: 2,
        service: function.name.clone(),
        max_retries: 2,
    };
    let routes: Vec<Route> = functions.iter().enumerate().map(route).collect();
    configuration(revision, &routes, functions)
}

/// Measures a configuration of this size, and a change of one of its routes. None where it cannot be read.
pub fn run(size: Size) -> Option<Vec<Figure>> {
    let (first, second) = (text(1, size.functions), text(2, size.functions));
    let memory = own_memory();
    let (old, reading) = timed(|| Catalogue::read(first.as_bytes()).ok());
    let old = old?;
    let (finder, finding) = timed(|| Finder::new(&old));
    let held = own_memory() - memory;
    let new = Catalogue::read(second.as_bytes()).ok()?;
    let (change, comparing) = timed(|| new.diff_from(&old));
    let (applied, applying) = timed(|| old.apply(&change));
    let whole = frame(&PeerMessage::Configuration(new.clone())).len();
    let (changed, framing) = timed(|| frame(&PeerMessage::Change(change.clone())).len());
    // Routes come back in another order, which means nothing.
    applied.filter(|applied| applied.revision == new.revision && applied.routes.len() == new.routes.len())?;
    drop(finder);
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    Some(vec![
        Figure::new("functions", size.functions as f64, ""),
        Figure::new("operator's text", first.len() as f64, "B"),
        Figure::new("whole configuration between processes", whole as f64, "B"),
        Figure::new("change of one route between processes", changed as f64, "B"),
        Figure::new("controller reads the text", ms(reading), "ms"),
        Figure::new("controller compares two revisions", ms(comparing), "ms"),
        Figure::new("controller packs a change", ms(framing), "ms"),
        Figure::new("agent or proxy applies a change", ms(applying), "ms"),
        Figure::new("proxy builds its routing table", ms(finding), "ms"),
        Figure::new("configuration with routing table in memory", held, "MiB"),
    ])
}
