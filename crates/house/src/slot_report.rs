//! What a desk has lent (docs/openapi/desk.yaml): its answer, and the command that asks and prints.

// What nanoserde derives is written that way.
#![allow(clippy::question_mark)]

use crate::rebinding::{call_controller, or_dash, parse_address, table};
use clap::{Arg, ArgAction, ArgMatches, Command};
use nanoserde::{DeJson, SerJson};
use std::fmt::Write as _;
use std::time::Duration;
use tindock_folio::RequestHead;
use tindock_lending::pool::{InstanceLedger, SlotPool};
use tindock_lending::Allocator;

pub const PATH: &str = "/v1/loans";
/// Guards the desk's one thread, and whoever reads, against a large fleet: what is over is only counted.
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
    /// Instances of the functions told that are not told.
    pub more_instances: u64,
    pub rooms: Vec<RemoteCapacity>,
    pub more_rooms: u64,
    pub passed_over: Vec<String>,
}

/// A function in this lender's care; the counts are of all its instances here.
#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
pub struct FunctionSlots {
    pub name: String,
    pub ready: u64,
    pub lent: u64,
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
    pub lends: bool,
    pub slots: u64,
    pub lent: u64,
    pub rests_ms: u64,
}

/// What another lender said of its room.
#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
pub struct RemoteCapacity {
    pub function: String,
    pub lender: String,
    pub zone: Option<String>,
    pub free: u64,
    pub waiting: u64,
    pub run_ms: u64,
    pub age_ms: u64,
}

/// Whether a request asks for this; all others are probes of readiness.
pub fn is_report_request(head: &RequestHead) -> bool {
    head.method == "GET" && head.target.split('?').next() == Some(PATH)
}

fn in_use(of: &FunctionSlots) -> bool {
    of.lent + of.waiting + of.ready > 0
}

/// How many were cut off.
fn cut<T>(all: &mut Vec<T>, most: usize) -> u64 {
    let more = all.len().saturating_sub(most) as u64;
    all.truncate(most);
    more
}

fn function(now: Duration, shelf: &SlotPool) -> FunctionSlots {
    let slots = shelf.slots() as u64;
    let instance = |book: &InstanceLedger| InstanceSlots {
        id: book.entry.instance.clone(),
        zone: book.entry.zone.clone(),
        ready: book.entry.ready,
        lends: book.entry.accepts_calls,
        slots,
        lent: book.grants.len() as u64,
        rests_ms: book.pause_left(now).as_millis() as u64,
    };
    FunctionSlots {
        name: shelf.function.name.clone(),
        ready: shelf.ledgers.iter().filter(|book| book.entry.ready).count() as u64,
        lent: shelf.granted() as u64,
        free: shelf.free(now) as u64,
        waiting: shelf.queue.len() as u64,
        rate: (shelf.rate(now) * 100.0).round() / 100.0,
        instances: shelf.ledgers.iter().map(instance).collect(),
    }
}

/// What there is to tell, in the order of names. Where there is too much, functions in use and the newest rooms go first.
pub fn slot_report(now: Duration, node: &str, zone: &str, revision: u64, lending: &Allocator) -> SlotReport {
    let mut functions: Vec<FunctionSlots> = lending.pools().map(|shelf| function(now, shelf)).collect();
    functions.sort_by(|a, b| (!in_use(a), &a.name).cmp(&(!in_use(b), &b.name)));
    let more_functions = cut(&mut functions, MAX_FUNCTIONS);
    functions.sort_by(|a, b| a.name.cmp(&b.name));
    let (mut left, mut more_instances) = (MAX_INSTANCES, 0);
    for of in &mut functions {
        of.instances.sort_by(|a, b| a.id.cmp(&b.id));
        more_instances += cut(&mut of.instances, left);
        left -= of.instances.len();
    }
    let mut rooms: Vec<_> = lending.capacities().collect();
    rooms.sort_by_key(|(kind, at, room)| (std::cmp::Reverse(room.received), *kind, *at));
    let more_rooms = cut(&mut rooms, MAX_REMOTE_CAPACITIES);
    let room = |(kind, at, room): (u32, std::net::SocketAddr, &tindock_lending::Capacity)| RemoteCapacity {
        // One that this desk's configuration does not have.
        function: lending.name(kind).map_or_else(|| format!("#{kind:08x}"), str::to_string),
        lender: at.to_string(),
        zone: lending.zone_at(at).map(str::to_string),
        free: room.free.into(),
        waiting: room.waiting.into(),
        run_ms: room.run.into(),
        age_ms: now.saturating_sub(room.received).as_millis() as u64,
    };
    let mut rooms: Vec<RemoteCapacity> = rooms.into_iter().map(room).collect();
    rooms.sort_by(|a, b| (&a.function, &a.lender).cmp(&(&b.function, &b.lender)));
    let mut passed_over: Vec<_> = lending.suspects().collect();
    passed_over.sort();
    SlotReport {
        node: node.to_string(),
        zone: zone.to_string(),
        revision,
        calls: lending.calls() as u64,
        functions,
        more_functions,
        more_instances,
        rooms,
        more_rooms,
        passed_over: passed_over.into_iter().map(|at| at.to_string()).collect(),
    }
}

impl SlotReport {
    pub fn text(&self) -> String {
        self.serialize_json()
    }
}

pub fn command() -> Command {
    Command::new("loans")
        .about("Slots that a desk has lent, what waits for one, and what it knows of other lenders")
        .arg(Arg::new("ADDRESS").required(true).help("The readiness address of a desk, as 10.1.0.20:8022"))
        .arg(
            Arg::new("all")
                .long("all")
                .action(ArgAction::SetTrue)
                .help("Also functions of which nothing is lent, waiting or ready"),
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
                .help("All that the desk told, as JSON"),
        )
}

/// Asks a desk, and prints what it answers.
pub fn run(given: &ArgMatches) -> Result<String, String> {
    let address = given.get_one::<String>("ADDRESS").cloned().unwrap_or_default();
    let at = parse_address(&address, "10.1.0.20:8022")?;
    let text = call_controller(at, "GET", PATH, "")?;
    let mut told = SlotReport::deserialize_json(&text)
        .map_err(|why| format!("{at}: an answer that cannot be read: {why}"))?;
    let only = given.get_one::<String>("function");
    if let Some(name) = only {
        told.functions.retain(|of| of.name == *name);
        told.rooms.retain(|room| room.function == *name);
        if told.functions.is_empty() && told.rooms.is_empty() {
            let more = match told.more_functions + told.more_rooms {
                0 => String::new(),
                more => format!(" ({more} more were not told)"),
            };
            return Err(format!("{at}: {} tells nothing of {name}{more}", told.node));
        }
    }
    Ok(match given.get_flag("json") {
        true => told.text() + "\n",
        false => print(&told, given.get_flag("all") || only.is_some(), only.is_some()),
    })
}

fn print(told: &SlotReport, all: bool, instances: bool) -> String {
    let mut out = format!(
        "{} in {}, revision {}, {} calls under way\n",
        told.node, told.zone, told.revision, told.calls
    );
    let shown: Vec<&FunctionSlots> = told.functions.iter().filter(|of| all || in_use(of)).collect();
    let rows: Vec<Vec<String>> = shown
        .iter()
        .map(|of| {
            let resting = of.instances.iter().filter(|i| i.rests_ms > 0).count();
            let mut row = vec![of.name.clone()];
            row.extend([of.ready, of.lent, of.free, of.waiting].map(|n| n.to_string()));
            row.extend([format!("{:.1}", of.rate), resting.to_string()]);
            row
        })
        .collect();
    out += &table(&["function", "ready", "lent", "free", "waiting", "calls/s", "resting"], &rows);
    if instances {
        let rows: Vec<Vec<String>> = shown
            .iter()
            .flat_map(|of| &of.instances)
            .map(|i| {
                let state = match (i.lends, i.ready) {
                    (false, _) => "drains",
                    (true, false) => "starts",
                    (true, true) => "ready",
                };
                let lent = format!("{} of {}", i.lent, i.slots);
                vec![i.id.clone(), i.zone.clone(), state.to_string(), lent, i.rests_ms.to_string()]
            })
            .collect();
        out += &table(&["instance", "zone", "state", "lent", "rests ms"], &rows);
    }
    let hidden = told.functions.len() - shown.len();
    if hidden > 0 {
        let _ = writeln!(out, "{hidden} functions with nothing lent, waiting or ready: --all");
    }
    let rows: Vec<Vec<String>> = told
        .rooms
        .iter()
        .map(|room| {
            let mut row = vec![room.function.clone(), room.lender.clone(), or_dash(&room.zone)];
            row.extend([room.free, room.waiting, room.run_ms, room.age_ms].map(|n| n.to_string()));
            row
        })
        .collect();
    out += &table(&["elsewhere", "lender", "zone", "free", "waiting", "run ms", "heard ms ago"], &rows);
    if !told.passed_over.is_empty() {
        let _ = writeln!(out, "passed over: {}", told.passed_over.join(", "));
    }
    let more = [
        (told.more_functions, "functions"),
        (told.more_instances, "instances"),
        (told.more_rooms, "rooms elsewhere"),
    ];
    for (more, what) in more.into_iter().filter(|(more, _)| *more > 0) {
        let _ = writeln!(out, "{more} more {what} were not told");
    }
    out
}
