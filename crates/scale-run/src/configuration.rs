//! The operator's configuration: its size, the size of a change, and the cost of reading, comparing and
//! applying it.

use crate::report::Figure;
use crate::usage::{own_memory, timed};
use crate::Size;
use std::time::Duration;
use tindock_configuration::{Catalogue, Finder};
use tindock_mock_services::operator::{configuration, Route};
use tindock_mock_services::platform::Function;
use tindock_system_processes::messages::PeerMessage;
use tindock_system_processes::transport::frame;

/// A function of these runs: rarely called, small, and quick to start.
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

/// A configuration of this many functions with a route each; the first route's time-out differs by revision.
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

/// Measures a configuration of this size, and a change of one of its routes. `None` if it cannot be read.
pub fn run(size: Size) -> Option<Vec<Figure>> {
    let (first, second) = (text(1, size.functions), text(2, size.functions));
    let memory = own_memory();
    let (old, read_time) = timed(|| Catalogue::read(first.as_bytes()).ok());
    let old = old?;
    let (finder, table_time) = timed(|| Finder::new(&old));
    let memory_used = own_memory() - memory;
    let new = Catalogue::read(second.as_bytes()).ok()?;
    let (change, compare_time) = timed(|| new.diff_from(&old));
    let (applied, apply_time) = timed(|| old.apply(&change));
    let whole = frame(&PeerMessage::Configuration(new.clone())).len();
    let (changed, frame_time) = timed(|| frame(&PeerMessage::Change(change.clone())).len());
    // `apply` may reorder routes; their order has no meaning.
    applied.filter(|applied| applied.revision == new.revision && applied.routes.len() == new.routes.len())?;
    drop(finder);
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    Some(vec![
        Figure::new("functions", size.functions as f64, ""),
        Figure::new("operator's text", first.len() as f64, "B"),
        Figure::new("whole configuration between processes", whole as f64, "B"),
        Figure::new("change of one route between processes", changed as f64, "B"),
        Figure::new("controller reads the text", ms(read_time), "ms"),
        Figure::new("controller compares two revisions", ms(compare_time), "ms"),
        Figure::new("controller packs a change", ms(frame_time), "ms"),
        Figure::new("agent or proxy applies a change", ms(apply_time), "ms"),
        Figure::new("proxy builds its routing table", ms(table_time), "ms"),
        Figure::new("configuration with routing table in memory", memory_used, "MiB"),
    ])
}
