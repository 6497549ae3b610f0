//! The slot report of a proxy (docs/openapi/desk.yaml): the answer to `GET /v1/loans`, and the command
//! `loans` that requests and prints it.

// Triggered by the code that nanoserde derives.
#![allow(clippy::question_mark)]

use crate::rebinding::{call_controller, or_dash, parse_address, table};
use clap::{Arg, ArgAction, ArgMatches, Command};
use nanoserde::{DeJson, SerJson};
use std::fmt::Write as _;
use std::time::Duration;
use tindock_http1::RequestHead;
use tindock_slot_allocation::function_id::FunctionId;
use tindock_slot_allocation::ledger::InstanceLedger;
use tindock_slot_allocation::pool::SlotPool;
use tindock_slot_allocation::Allocator;

pub const PATH: &str = "/v1/loans";
/// Bounds of the report, to protect the proxy's one thread and the reader if there are many instances:
/// entries beyond them are only counted.
pub const MAX_FUNCTIONS: usize = 2_000;
pub const MAX_INSTANCES: usize = 10_000;
pub const MAX_REMOTE_CAPACITIES: usize = 2_000;

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
pub struct SlotReport {
    pub node: String,
    pub zone: String,
    /// 0: no configuration yet.
    pub revision: u64,
    pub calls: u64,
    pub functions: Vec<FunctionSlots>,
    pub more_functions: u64,
    /// Instances of the listed functions that are left out.
    pub more_instances: u64,
    #[nserde(rename = "rooms")]
    pub remote: Vec<RemoteCapacity>,
    #[nserde(rename = "more_rooms")]
    pub more_remote: u64,
    #[nserde(rename = "passed_over")]
    pub suspects: Vec<String>,
}

/// The slots of a function at this allocator; the counts cover all instances that it owns.
#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
pub struct FunctionSlots {
    pub name: String,
    pub ready: u64,
    #[nserde(rename = "lent")]
    pub granted: u64,
    pub free: u64,
    pub waiting: u64,
    pub rate: f64,
    pub instances: Vec<InstanceSlots>,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
pub struct InstanceSlots {
    pub id: String,
    pub zone: String,
    pub ready: bool,
    #[nserde(rename = "lends")]
    pub accepts_calls: bool,
    pub slots: u64,
    #[nserde(rename = "lent")]
    pub granted: u64,
    #[nserde(rename = "rests_ms")]
    pub pause_ms: u64,
}

/// The free capacity that another allocator announced.
#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
pub struct RemoteCapacity {
    pub function: String,
    #[nserde(rename = "lender")]
    pub allocator: String,
    pub zone: Option<String>,
    pub free: u64,
    pub waiting: u64,
    pub run_ms: u64,
    pub age_ms: u64,
}

/// Whether a request is for the slot report; all others are readiness probes.
pub fn is_report_request(head: &RequestHead) -> bool {
    head.method == "GET" && head.target.split('?').next() == Some(PATH)
}

fn in_use(of: &FunctionSlots) -> bool {
    of.granted + of.waiting + of.ready > 0
}

/// Truncates a list, and returns how many entries were removed.
fn truncate<T>(all: &mut Vec<T>, most: usize) -> u64 {
    let more = all.len().saturating_sub(most) as u64;
    all.truncate(most);
    more
}

fn function_slots(now: Duration, pool: &SlotPool) -> FunctionSlots {
    let slots = pool.slots() as u64;
    let instance = |ledger: &InstanceLedger| InstanceSlots {
        id: ledger.entry.instance.clone(),
        zone: ledger.entry.zone.clone(),
        ready: ledger.entry.ready,
        accepts_calls: ledger.entry.accepts_calls,
        slots,
        granted: ledger.grants.len() as u64,
        pause_ms: ledger.pause_left(now).as_millis() as u64,
    };
    FunctionSlots {
        name: pool.function.name.clone(),
        ready: pool.ledgers.iter().filter(|ledger| ledger.entry.ready).count() as u64,
        granted: pool.granted() as u64,
        free: pool.free(now) as u64,
        waiting: pool.queue.len() as u64,
        rate: (pool.rate(now) * 100.0).round() / 100.0,
        instances: pool.ledgers.iter().map(instance).collect(),
    }
}

/// The report, in the order of names. If there is more than the bounds allow, functions in use and the newest
/// announcements are preferred.
pub fn slot_report(
    now: Duration,
    node: &str,
    zone: &str,
    revision: u64,
    allocator: &Allocator,
) -> SlotReport {
    let mut functions: Vec<FunctionSlots> = allocator.pools().map(|pool| function_slots(now, pool)).collect();
    functions.sort_by(|a, b| (!in_use(a), &a.name).cmp(&(!in_use(b), &b.name)));
    let more_functions = truncate(&mut functions, MAX_FUNCTIONS);
    functions.sort_by(|a, b| a.name.cmp(&b.name));
    let (mut remaining, mut more_instances) = (MAX_INSTANCES, 0);
    for of in &mut functions {
        of.instances.sort_by(|a, b| a.id.cmp(&b.id));
        more_instances += truncate(&mut of.instances, remaining);
        remaining -= of.instances.len();
    }
    let mut remote: Vec<_> = allocator.capacities().collect();
    remote
        .sort_by_key(|(function_id, at, capacity)| (std::cmp::Reverse(capacity.received), *function_id, *at));
    let more_remote = truncate(&mut remote, MAX_REMOTE_CAPACITIES);
    let capacity = |(function_id, at, capacity): (
        FunctionId,
        std::net::SocketAddr,
        &tindock_slot_allocation::Capacity,
    )| {
        RemoteCapacity {
            // A function may be missing from this proxy's configuration.
            function: allocator.name(function_id).map_or_else(|| format!("#{function_id}"), str::to_string),
            allocator: at.to_string(),
            zone: allocator.zone_at(at).map(str::to_string),
            free: capacity.free.into(),
            waiting: capacity.waiting.into(),
            run_ms: capacity.run.into(),
            age_ms: now.saturating_sub(capacity.received).as_millis() as u64,
        }
    };
    let mut remote: Vec<RemoteCapacity> = remote.into_iter().map(capacity).collect();
    remote.sort_by(|a, b| (&a.function, &a.allocator).cmp(&(&b.function, &b.allocator)));
    let mut passed_over: Vec<_> = allocator.suspects().collect();
    passed_over.sort();
    SlotReport {
        node: node.to_string(),
        zone: zone.to_string(),
        revision,
        calls: allocator.calls() as u64,
        functions,
        more_functions,
        more_instances,
        remote,
        more_remote,
        suspects: passed_over.into_iter().map(|at| at.to_string()).collect(),
    }
}

impl SlotReport {
    pub fn to_json(&self) -> String {
        self.serialize_json()
    }
}

pub fn command() -> Command {
    Command::new("loans")
        .about("Slots that a proxy has granted, waiting calls, and capacity that other proxies announced")
        .arg(Arg::new("ADDRESS").required(true).help("The readiness address of a proxy, as 10.1.0.20:8022"))
        .arg(
            Arg::new("all")
                .long("all")
                .action(ArgAction::SetTrue)
                .help("Also functions without slots granted, calls waiting or ready instances"),
        )
        .arg(
            Arg::new("function")
                .long("function")
                .value_name("NAME")
                .help("This function alone, with its instances"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .conflicts_with("all")
                .help("The whole report, as JSON"),
        )
}

/// Requests the report from a proxy, and returns the text to print.
pub fn run(given: &ArgMatches) -> Result<String, String> {
    let address = given.get_one::<String>("ADDRESS").cloned().unwrap_or_default();
    let at = parse_address(&address, "10.1.0.20:8022")?;
    let text = call_controller(at, "GET", PATH, "")?;
    let mut report =
        SlotReport::deserialize_json(&text).map_err(|why| format!("{at}: invalid answer: {why}"))?;
    let only = given.get_one::<String>("function");
    if let Some(name) = only {
        report.functions.retain(|of| of.name == *name);
        report.remote.retain(|capacity| capacity.function == *name);
        if report.functions.is_empty() && report.remote.is_empty() {
            let more = match report.more_functions + report.more_remote {
                0 => String::new(),
                more => format!(" ({more} more were left out)"),
            };
            return Err(format!("{at}: {} has nothing on {name}{more}", report.node));
        }
    }
    Ok(match given.get_flag("json") {
        true => report.to_json() + "\n",
        false => render(&report, given.get_flag("all") || only.is_some(), only.is_some()),
    })
}

fn render(report: &SlotReport, all: bool, instances: bool) -> String {
    let mut out = format!(
        "{} in {}, revision {}, {} calls under way\n",
        report.node, report.zone, report.revision, report.calls
    );
    let shown: Vec<&FunctionSlots> = report.functions.iter().filter(|of| all || in_use(of)).collect();
    let rows: Vec<Vec<String>> = shown
        .iter()
        .map(|of| {
            let paused = of.instances.iter().filter(|i| i.pause_ms > 0).count();
            let mut row = vec![of.name.clone()];
            row.extend([of.ready, of.granted, of.free, of.waiting].map(|n| n.to_string()));
            row.extend([format!("{:.1}", of.rate), paused.to_string()]);
            row
        })
        .collect();
    out += &table(&["function", "ready", "lent", "free", "waiting", "calls/s", "resting"], &rows);
    if instances {
        let rows: Vec<Vec<String>> = shown
            .iter()
            .flat_map(|of| &of.instances)
            .map(|i| {
                let state = match (i.accepts_calls, i.ready) {
                    (false, _) => "drains",
                    (true, false) => "starts",
                    (true, true) => "ready",
                };
                let lent = format!("{} of {}", i.granted, i.slots);
                vec![i.id.clone(), i.zone.clone(), state.to_string(), lent, i.pause_ms.to_string()]
            })
            .collect();
        out += &table(&["instance", "zone", "state", "lent", "rests ms"], &rows);
    }
    let hidden = report.functions.len() - shown.len();
    if hidden > 0 {
        let _ = writeln!(out, "{hidden} functions with nothing lent, waiting or ready: --all");
    }
    let rows: Vec<Vec<String>> = report
        .remote
        .iter()
        .map(|capacity| {
            let mut row =
                vec![capacity.function.clone(), capacity.allocator.clone(), or_dash(&capacity.zone)];
            row.extend(
                [capacity.free, capacity.waiting, capacity.run_ms, capacity.age_ms].map(|n| n.to_string()),
            );
            row
        })
        .collect();
    out += &table(&["elsewhere", "lender", "zone", "free", "waiting", "run ms", "heard ms ago"], &rows);
    if !report.suspects.is_empty() {
        let _ = writeln!(out, "passed over: {}", report.suspects.join(", "));
    }
    let more = [
        (report.more_functions, "functions"),
        (report.more_instances, "instances"),
        (report.more_remote, "rooms elsewhere"),
    ];
    for (more, what) in more.into_iter().filter(|(more, _)| *more > 0) {
        let _ = writeln!(out, "{more} more {what} were left out");
    }
    out
}
