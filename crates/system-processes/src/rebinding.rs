//! Operators' calls about moves of instances between hosts (docs/openapi/controller.yaml): the calls, the
//! lease holder's answers, and the command `rebinding` that makes the calls and prints the answers.

// Triggered by the code that nanoserde derives.
#![allow(clippy::question_mark)]

use crate::operator::{Reply, Unavailable};
use crate::settings::RebindingMode;
use clap::{Arg, ArgAction, ArgMatches, Command};
use nanoserde::{DeJson, SerJson};
use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;
use tindock_autoscaler::{Rebinding, RunRefusal, Scaler};
use tindock_http1::{answer_head, Body, Read};

/// A controller answers sooner, or not at all.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Longer answers are refused.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// `Retry-After` while no lease holder is known: one is usually elected within this time.
const HOLDER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An operator's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RebindingCall {
    Plan,
    Run,
    Pause { paused: bool, undo: bool },
    Show,
}

#[derive(DeJson)]
struct PauseBody {
    paused: bool,
    undo: Option<bool>,
}

impl RebindingCall {
    /// Parses a call; else the status and the error for the answer.
    pub fn read(method: &str, path: &str, body: &[u8]) -> Result<RebindingCall, (u16, String)> {
        let (expected_method, call) = match path {
            "/v1/Rebinding.Plan" => ("GET", RebindingCall::Plan),
            "/v1/Rebinding.Show" => ("GET", RebindingCall::Show),
            "/v1/Rebinding.Run" => ("POST", RebindingCall::Run),
            "/v1/Rebinding.Pause" => ("POST", RebindingCall::Pause { paused: true, undo: false }),
            _ => return Err((404, "no such call".into())),
        };
        if method != expected_method {
            return Err((405, "method not allowed for this call".into()));
        }
        if !matches!(call, RebindingCall::Pause { .. }) {
            return Ok(call);
        }
        let text = std::str::from_utf8(body).map_err(|_| (400, "the body is not UTF-8".to_string()))?;
        let text = text.trim();
        // nanoserde ignores what follows the value.
        let whole = text.starts_with('{') && text.find('}') == Some(text.len().saturating_sub(1));
        let read = PauseBody::deserialize_json(text).map_err(|why| why.to_string());
        match read {
            Ok(body) if whole => {
                Ok(RebindingCall::Pause { paused: body.paused, undo: body.undo.unwrap_or_default() })
            }
            Ok(_) => Err((400, "the body is not a single flat object".into())),
            Err(why) => Err((400, format!("the body is not {{\"paused\":true|false}}: {why}"))),
        }
    }
}

impl From<RebindingMode> for Rebinding {
    fn from(mode: RebindingMode) -> Rebinding {
        match mode {
            RebindingMode::Off => Rebinding::Off,
            RebindingMode::Plan => Rebinding::Plan,
            RebindingMode::Holes => Rebinding::Holes,
            RebindingMode::All => Rebinding::All,
        }
    }
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct FleetFigures {
    exposed: u32,
    #[nserde(rename = "together")]
    colocated: u32,
    #[nserde(rename = "holes_lacking")]
    unplaced_starts: u32,
    open_mb: u64,
    #[nserde(rename = "taken_mb")]
    used_mb: u64,
    open_hosts: u32,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct PlannedMove {
    instance: String,
    function: String,
    from: String,
    to: Option<String>,
    why: String,
    urgent: bool,
    #[nserde(rename = "meanwhile_mb")]
    reserved_mb: u32,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct PlanAnswer {
    #[nserde(rename = "not")]
    blocked_by: Option<String>,
    moves: Vec<PlannedMove>,
    before: FleetFigures,
    after: FleetFigures,
    starts: u32,
    #[nserde(rename = "double_mb_s")]
    overlap_mb_s: u64,
    #[nserde(rename = "meanwhile_mb")]
    peak_reserved_mb: u32,
    saving: f64,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct MoveStatus {
    instance: String,
    new: Option<String>,
    function: String,
    to: Option<String>,
    why: String,
    phase: String,
    undoing: bool,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct FinishedMove {
    instance: String,
    outcome: String,
    ago_ms: u64,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct StatusAnswer {
    holder: String,
    mode: String,
    paused: bool,
    #[nserde(rename = "not")]
    blocked_by: Option<String>,
    moves: Vec<MoveStatus>,
    waiting: u64,
    #[nserde(rename = "expected")]
    blocked_functions: Vec<String>,
    #[nserde(rename = "ends")]
    finished: Vec<FinishedMove>,
}

#[derive(Debug, Default, SerJson, DeJson)]
struct RunAnswer {
    moves: u64,
}

#[derive(DeJson)]
struct Refusal {
    error: String,
}

/// The answer of this controller: as the lease holder, or a redirect to it.
pub fn answer(
    now: Duration,
    scaler: Option<&mut Scaler>,
    holder: Option<IpAddr>,
    node: &str,
    call: RebindingCall,
) -> Reply {
    let Some(scaler) = scaler else {
        return holder.map_or(
            Reply::Unavailable(Unavailable::new("no lease holder is known", HOLDER_RETRY_AFTER)),
            Reply::Redirect,
        );
    };
    let result = match call {
        RebindingCall::Show => Ok(status_answer(node, scaler.rebinding_status(now)).serialize_json()),
        RebindingCall::Plan => scaler.rebinding_plan(now).map(|(plan, may)| {
            plan_answer(plan, may.err().map(|reason| format!("{reason:?}"))).serialize_json()
        }),
        RebindingCall::Run => {
            scaler.rebinding_run(now).map(|n| RunAnswer { moves: n as u64 }.serialize_json())
        }
        RebindingCall::Pause { paused, undo } => {
            scaler.rebinding_pause(now, paused, undo).map(|()| "{}".to_string())
        }
    };
    match result {
        Ok(text) => Reply::Json(text.into_bytes()),
        Err(RunRefusal::Off) => Reply::Refused("off by [rebinding] in the settings of the holder".into()),
        Err(RunRefusal::Busy) => Reply::Refused("moves are under way".into()),
        Err(RunRefusal::TooLarge) => Reply::Refused("more instances than are planned for".into()),
        Err(RunRefusal::Blocked(reason)) => Reply::Refused(format!("not now: {reason:?}")),
    }
}

fn fleet_figures(f: &tindock_autoscaler::instance_migration::FleetMetrics) -> FleetFigures {
    FleetFigures {
        exposed: f.exposed,
        colocated: f.colocated,
        unplaced_starts: f.unplaced_starts,
        open_mb: f.open_mb,
        used_mb: f.used_mb,
        open_hosts: f.open_hosts,
    }
}

fn plan_answer(plan: tindock_autoscaler::instance_migration::Plan, blocked_by: Option<String>) -> PlanAnswer {
    let moves = plan.moves.into_iter().map(|m| PlannedMove {
        instance: m.instance,
        function: m.function,
        from: m.from,
        to: m.to,
        why: format!("{:?}", m.reason),
        urgent: m.urgent,
        reserved_mb: m.reserved.memory_mb,
    });
    PlanAnswer {
        blocked_by,
        moves: moves.collect(),
        before: fleet_figures(&plan.before),
        after: fleet_figures(&plan.after),
        starts: plan.starts,
        overlap_mb_s: plan.overlap_mb_s,
        peak_reserved_mb: plan.peak_reserved_mb,
        saving: plan.saving,
    }
}

fn status_answer(node: &str, status: tindock_autoscaler::RebindingStatus) -> StatusAnswer {
    let moves = status.moves.into_iter().map(|p| MoveStatus {
        instance: p.instance,
        new: p.new,
        function: p.service,
        to: p.to,
        why: format!("{:?}", p.reason),
        phase: format!("{:?}", p.phase),
        undoing: p.undoing,
    });
    let ends = status.finished.into_iter().map(|(ago, instance, outcome)| FinishedMove {
        instance,
        outcome: format!("{outcome:?}"),
        ago_ms: ago.as_millis() as u64,
    });
    StatusAnswer {
        holder: node.to_string(),
        mode: format!("{:?}", status.mode).to_lowercase(),
        paused: status.paused,
        blocked_by: status.blocked_by.map(|reason| format!("{reason:?}")),
        moves: moves.collect(),
        waiting: status.waiting as u64,
        blocked_functions: status.blocked_functions,
        finished: ends.collect(),
    }
}

pub fn command() -> Command {
    let address = || {
        Arg::new("ADDRESS")
            .required(true)
            .help("The control_plane address of any controller, as 10.1.0.23:8026")
    };
    Command::new("rebinding")
        .about("Moves of instances between hosts: planned ones and those under way")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("plan")
                .about("Print the moves that would be made now, without making them")
                .arg(address()),
        )
        .subcommand(
            Command::new("run")
                .about("Plan and make moves, if none of the conditions against it holds now")
                .arg(address()),
        )
        .subcommand(
            Command::new("pause")
                .about("Begin no further moves")
                .arg(address())
                .arg(Arg::new("resume").long("resume").action(ArgAction::SetTrue).help("Allow moves again"))
                .arg(
                    Arg::new("undo")
                        .long("undo")
                        .action(ArgAction::SetTrue)
                        .conflicts_with("resume")
                        .help("Also undo moves whose new instance does not serve yet"),
                ),
        )
        .subcommand(
            Command::new("show").about("Print the moves under way and the last finished ones").arg(address()),
        )
}

/// Calls a controller, and returns the text to print.
pub fn run(matches: &ArgMatches) -> Result<String, String> {
    let Some((name, given)) = matches.subcommand() else { return Err("no subcommand".into()) };
    let address = given.get_one::<String>("ADDRESS").cloned().unwrap_or_default();
    let at = parse_address(&address, "10.1.0.23:8026")?;
    let flag = |name: &str| given.get_flag(name);
    let (method, call, body) = match name {
        "plan" => ("GET", "Plan", String::new()),
        "run" => ("POST", "Run", String::new()),
        "pause" => {
            let body = format!("{{\"paused\":{},\"undo\":{}}}", !flag("resume"), flag("undo"));
            ("POST", "Pause", body)
        }
        "show" => ("GET", "Show", String::new()),
        other => return Err(format!("{other}: no such command")),
    };
    let text = call_controller(at, method, &format!("/v1/Rebinding.{call}"), &body)?;
    let invalid = |why: nanoserde::DeJsonErr| format!("{at}: invalid answer: {why}");
    Ok(match name {
        "plan" => print_plan(&PlanAnswer::deserialize_json(&text).map_err(invalid)?),
        "show" => print_status(&StatusAnswer::deserialize_json(&text).map_err(invalid)?),
        "run" => format!("{} moves begun\n", RunAnswer::deserialize_json(&text).map_err(invalid)?.moves),
        _ if flag("resume") => "resumed\n".to_string(),
        _ => "paused\n".to_string(),
    })
}

/// Parses an address with a port.
pub(crate) fn parse_address(address: &str, example: &str) -> Result<SocketAddr, String> {
    address.parse().map_err(|_| format!("{address}: is not an address with a port, as {example}"))
}

/// The body of a 200 answer, after at most two redirects; else one line with the error.
pub(crate) fn call_controller(
    mut at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<String, String> {
    for _ in 0..3 {
        let (status, location, text) =
            exchange(at, method, path, body).map_err(|why| format!("{at}: {why}"))?;
        match status {
            200 => return Ok(text),
            307 => {
                let target = location.as_deref().and_then(|to| to.strip_prefix("http://"));
                let host = target.and_then(|to| to.split('/').next());
                at = host.and_then(|host| host.parse().ok()).ok_or_else(|| {
                    format!("{at}: a redirect without a valid address: {}", location.unwrap_or_default())
                })?;
            }
            503 => return Err(format!("{at}: not available now; try again, here or at another controller")),
            _ => {
                let why = Refusal::deserialize_json(&text).map(|r| r.error).unwrap_or_default();
                return Err(format!("{at}: {status} {why}"));
            }
        }
    }
    Err(format!("{at}: too many redirects"))
}

fn exchange(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, Option<String>, String), String> {
    let failed = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&at, CALL_TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).map_err(failed)?;
    stream.set_write_timeout(Some(CALL_TIMEOUT)).map_err(failed)?;
    let kind = if body.is_empty() { "" } else { "Content-Type: application/json\r\n" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\
         {kind}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).map_err(failed)?;
    let mut buf = Vec::new();
    stream.take(MAX_ANSWER_BYTES as u64).read_to_end(&mut buf).map_err(failed)?;
    let Read::Done { value: head, used } = answer_head(&buf, 16 << 10, false) else {
        return Err("incomplete answer".into());
    };
    let mut whole = Body::new(head.framing, MAX_ANSWER_BYTES);
    let done = matches!(whole.push(&buf[used..]), Read::Done { .. }) || whole.end_of_input();
    if !done {
        return Err("incomplete answer".into());
    }
    let location = head.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("location"));
    let location = location.map(|(_, value)| String::from_utf8_lossy(value).into_owned());
    Ok((head.status, location, String::from_utf8_lossy(&whole.bytes()).into_owned()))
}

/// A text table whose columns are as wide as their widest cell.
pub(crate) fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut out = String::new();
    if rows.is_empty() {
        return out;
    }
    let first: Vec<String> = head.iter().map(|h| h.to_string()).collect();
    let all: Vec<&Vec<String>> = std::iter::once(&first).chain(rows).collect();
    for row in &all {
        let mut line = String::new();
        for (at, cell) in row.iter().enumerate() {
            let width = all.iter().filter_map(|r| r.get(at)).map(|c| c.chars().count()).max().unwrap_or(0);
            let _ = write!(line, "{cell:<width$}  ");
        }
        let _ = writeln!(out, "{}", line.trim_end());
    }
    out
}

pub(crate) fn or_dash(text: &Option<String>) -> String {
    text.clone().unwrap_or_else(|| "-".to_string())
}

fn print_plan(plan: &PlanAnswer) -> String {
    let rows: Vec<Vec<String>> = plan
        .moves
        .iter()
        .map(|m| {
            vec![
                m.instance.clone(),
                m.function.clone(),
                m.from.clone(),
                or_dash(&m.to),
                m.why.clone(),
                if m.urgent { "urgent".into() } else { "-".into() },
                m.reserved_mb.to_string(),
            ]
        })
        .collect();
    let mut out = table(&["instance", "function", "from", "to", "why", "urgent", "meanwhile MB"], &rows);
    let (b, a) = (&plan.before, &plan.after);
    let row = |name: &str, b: u64, a: u64| vec![name.to_string(), b.to_string(), a.to_string()];
    out += &table(
        &["", "before", "after"],
        &[
            row("urgent on draining hosts", b.exposed.into(), a.exposed.into()),
            row("urgent together", b.colocated.into(), a.colocated.into()),
            row("starts without room", b.unplaced_starts.into(), a.unplaced_starts.into()),
            row("hosts in use", b.open_hosts.into(), a.open_hosts.into()),
            row("hosts in use, MB", b.open_mb, a.open_mb),
            row("instances, MB", b.used_mb, a.used_mb),
        ],
    );
    let _ = writeln!(
        out,
        "{} moves, {} starts, {} MB·s taken twice, saving {:.1} calls; {}",
        plan.moves.len(),
        plan.starts,
        plan.overlap_mb_s,
        plan.saving,
        plan.blocked_by
            .as_ref()
            .map_or("would run now".to_string(), |reason| format!("would not run now: {reason}")),
    );
    out
}

fn print_status(status: &StatusAnswer) -> String {
    let state = match (&status.blocked_by, status.paused) {
        (_, true) => "paused".to_string(),
        (Some(reason), _) => format!("not now: {reason}"),
        (None, _) => "nothing blocks new moves".to_string(),
    };
    let mut out = format!("mode {} at {}: {state}\n", status.mode, status.holder);
    let rows: Vec<Vec<String>> = status
        .moves
        .iter()
        .map(|m| {
            let phase = if m.undoing { format!("{}, back", m.phase) } else { m.phase.clone() };
            vec![
                m.instance.clone(),
                or_dash(&m.new),
                m.function.clone(),
                or_dash(&m.to),
                m.why.clone(),
                phase,
            ]
        })
        .collect();
    out += &table(&["instance", "new", "function", "to", "why", "phase"], &rows);
    let _ = writeln!(out, "{} under way, {} waiting", status.moves.len(), status.waiting);
    if !status.blocked_functions.is_empty() {
        let _ = writeln!(out, "starts without room: {}", status.blocked_functions.join(", "));
    }
    let ends: Vec<Vec<String>> = status
        .finished
        .iter()
        .map(|e| vec![e.instance.clone(), e.outcome.clone(), format!("{:.1}", e.ago_ms as f64 / 1e3)])
        .collect();
    out += &table(&["ended", "as", "s ago"], &ends);
    out
}
