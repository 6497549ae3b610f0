//! Staff's calls about moves (docs/openapi/controller.yaml): what is asked, the holder's answers, and the commands that
//! ask and print.

// What nanoserde derives is written that way.
#![allow(clippy::question_mark)]

use crate::operator::{Reply, Unavailable};
use crate::settings::RebindingMode;
use clap::{Arg, ArgAction, ArgMatches, Command};
use nanoserde::{DeJson, SerJson};
use std::fmt::Write as _;
use std::io::{Read as _, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;
use tindock_folio::{answer_head, Body, Read};
use tindock_stacks::{Rebinding, RunRefusal, Scaler};

/// An archive answers sooner, or not at all.
const PATIENCE: Duration = Duration::from_secs(8);
/// The longest answer that is read.
const LONGEST: usize = 4 << 20;
/// An archive that knows no holder: one is found within about this.
const SOON: Duration = Duration::from_millis(500);

/// What staff asks.
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
    /// Reads a call, or says with which status and why not.
    pub fn read(method: &str, path: &str, body: &[u8]) -> Result<RebindingCall, (u16, String)> {
        let (wants, ask) = match path {
            "/v1/Rebinding.Plan" => ("GET", RebindingCall::Plan),
            "/v1/Rebinding.Show" => ("GET", RebindingCall::Show),
            "/v1/Rebinding.Run" => ("POST", RebindingCall::Run),
            "/v1/Rebinding.Pause" => ("POST", RebindingCall::Pause { paused: true, undo: false }),
            _ => return Err((404, "no such call".into())),
        };
        if method != wants {
            return Err((405, "the method is not one of this call".into()));
        }
        if !matches!(ask, RebindingCall::Pause { .. }) {
            return Ok(ask);
        }
        let text = std::str::from_utf8(body).map_err(|_| (400, "the body is not UTF-8".to_string()))?;
        let text = text.trim();
        // nanoserde passes over what follows the value.
        let whole = text.starts_with('{') && text.find('}') == Some(text.len().saturating_sub(1));
        let read = PauseBody::deserialize_json(text).map_err(|why| why.to_string());
        match read {
            Ok(body) if whole => {
                Ok(RebindingCall::Pause { paused: body.paused, undo: body.undo.unwrap_or_default() })
            }
            Ok(_) => Err((400, "the body is not one flat object".into())),
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
struct Figures {
    exposed: u32,
    together: u32,
    holes_lacking: u32,
    open_mb: u64,
    taken_mb: u64,
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
    meanwhile_mb: u32,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct Plan {
    not: Option<String>,
    moves: Vec<PlannedMove>,
    before: Figures,
    after: Figures,
    starts: u32,
    double_mb_s: u64,
    meanwhile_mb: u32,
    saving: f64,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct Moving {
    instance: String,
    new: Option<String>,
    function: String,
    to: Option<String>,
    why: String,
    phase: String,
    undoing: bool,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct End {
    instance: String,
    outcome: String,
    ago_ms: u64,
}

#[derive(Debug, Default, PartialEq, SerJson, DeJson)]
struct Shown {
    holder: String,
    mode: String,
    paused: bool,
    not: Option<String>,
    moves: Vec<Moving>,
    waiting: u64,
    expected: Vec<String>,
    ends: Vec<End>,
}

#[derive(Debug, Default, SerJson, DeJson)]
struct Ran {
    moves: u64,
}

#[derive(DeJson)]
struct Refusal {
    error: String,
}

/// The answer of this archive: the holder's own, or who the holder is.
pub fn answer(
    now: Duration,
    scaler: Option<&mut Scaler>,
    holder: Option<IpAddr>,
    node: &str,
    ask: RebindingCall,
) -> Reply {
    let Some(scaler) = scaler else {
        return holder
            .map_or(Reply::Unavailable(Unavailable::new("no holder is known", SOON)), Reply::Redirect);
    };
    let told = match ask {
        RebindingCall::Show => Ok(shown(node, scaler.rebinding_status(now)).serialize_json()),
        RebindingCall::Plan => scaler
            .rebinding_plan(now)
            .map(|(plan, may)| planned(plan, may.err().map(|no| format!("{no:?}"))).serialize_json()),
        RebindingCall::Run => scaler.rebinding_run(now).map(|n| Ran { moves: n as u64 }.serialize_json()),
        RebindingCall::Pause { paused, undo } => {
            scaler.rebinding_pause(now, paused, undo).map(|()| "{}".to_string())
        }
    };
    match told {
        Ok(text) => Reply::Json(text.into_bytes()),
        Err(RunRefusal::Off) => Reply::Refused("off by [rebinding] in the settings of the holder".into()),
        Err(RunRefusal::Busy) => Reply::Refused("moves are under way".into()),
        Err(RunRefusal::TooLarge) => Reply::Refused("more instances than are planned for".into()),
        Err(RunRefusal::Blocked(no)) => Reply::Refused(format!("not now: {no:?}")),
    }
}

fn figures(f: &tindock_stacks::rebinding::FleetMetrics) -> Figures {
    Figures {
        exposed: f.exposed,
        together: f.colocated,
        holes_lacking: f.unplaced_starts,
        open_mb: f.open_mb,
        taken_mb: f.used_mb,
        open_hosts: f.open_hosts,
    }
}

fn planned(plan: tindock_stacks::rebinding::Plan, not: Option<String>) -> Plan {
    let moves = plan.moves.into_iter().map(|m| PlannedMove {
        instance: m.instance,
        function: m.function,
        from: m.from,
        to: m.to,
        why: format!("{:?}", m.reason),
        urgent: m.urgent,
        meanwhile_mb: m.reserved.memory_mb,
    });
    Plan {
        not,
        moves: moves.collect(),
        before: figures(&plan.before),
        after: figures(&plan.after),
        starts: plan.starts,
        double_mb_s: plan.overlap_mb_s,
        meanwhile_mb: plan.peak_reserved_mb,
        saving: plan.saving,
    }
}

fn shown(node: &str, shown: tindock_stacks::RebindingStatus) -> Shown {
    let moves = shown.moves.into_iter().map(|p| Moving {
        instance: p.instance,
        new: p.new,
        function: p.service,
        to: p.to,
        why: format!("{:?}", p.reason),
        phase: format!("{:?}", p.phase),
        undoing: p.undoing,
    });
    let ends = shown.finished.into_iter().map(|(ago, instance, outcome)| End {
        instance,
        outcome: format!("{outcome:?}"),
        ago_ms: ago.as_millis() as u64,
    });
    Shown {
        holder: node.to_string(),
        mode: format!("{:?}", shown.mode).to_lowercase(),
        paused: shown.paused,
        not: shown.blocked_by.map(|no| format!("{no:?}")),
        moves: moves.collect(),
        waiting: shown.waiting as u64,
        expected: shown.blocked_functions,
        ends: ends.collect(),
    }
}

pub fn command() -> Command {
    let address = || {
        Arg::new("ADDRESS").required(true).help("The control_plane address of any archive, as 10.1.0.23:8026")
    };
    Command::new("rebinding")
        .about("Moves of instances between hosts: what would move, what moves")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("plan").about("Print the moves that would be made now; makes none").arg(address()),
        )
        .subcommand(Command::new("run").about("Plan and move, if the moment allows").arg(address()))
        .subcommand(
            Command::new("pause")
                .about("Begin no further moves")
                .arg(address())
                .arg(Arg::new("resume").long("resume").action(ArgAction::SetTrue).help("Begin them again"))
                .arg(
                    Arg::new("undo")
                        .long("undo")
                        .action(ArgAction::SetTrue)
                        .conflicts_with("resume")
                        .help("Also give up moves whose new instance does not serve yet"),
                ),
        )
        .subcommand(Command::new("show").about("Print the moves under way and the last ends").arg(address()))
}

/// Asks an archive, and prints what it answers.
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
    let unread = |why: nanoserde::DeJsonErr| format!("{at}: an answer that cannot be read: {why}");
    Ok(match name {
        "plan" => print_plan(&Plan::deserialize_json(&text).map_err(unread)?),
        "show" => print_shown(&Shown::deserialize_json(&text).map_err(unread)?),
        "run" => format!("{} moves begun\n", Ran::deserialize_json(&text).map_err(unread)?.moves),
        _ if flag("resume") => "resumed\n".to_string(),
        _ => "paused\n".to_string(),
    })
}

/// An address with a port.
pub(crate) fn parse_address(address: &str, such_as: &str) -> Result<SocketAddr, String> {
    address.parse().map_err(|_| format!("{address}: is not an address with a port, as {such_as}"))
}

/// The body of a 200, two redirects followed; else one line for what is wrong.
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
                let elsewhere = location.as_deref().and_then(|to| to.strip_prefix("http://"));
                let host = elsewhere.and_then(|to| to.split('/').next());
                at = host.and_then(|host| host.parse().ok()).ok_or_else(|| {
                    format!("{at}: a redirect to nowhere: {}", location.unwrap_or_default())
                })?;
            }
            503 => return Err(format!("{at}: not at present; ask again, here or elsewhere")),
            _ => {
                let why = Refusal::deserialize_json(&text).map(|r| r.error).unwrap_or_default();
                return Err(format!("{at}: {status} {why}"));
            }
        }
    }
    Err(format!("{at}: one redirect after the other"))
}

fn exchange(
    at: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<(u16, Option<String>, String), String> {
    let failed = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(failed)?;
    let kind = if body.is_empty() { "" } else { "Content-Type: application/json\r\n" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n{kind}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).map_err(failed)?;
    let mut buf = Vec::new();
    stream.take(LONGEST as u64).read_to_end(&mut buf).map_err(failed)?;
    let Read::Done { value: head, used } = answer_head(&buf, 16 << 10, false) else {
        return Err("no whole answer".into());
    };
    let mut whole = Body::new(head.framing, LONGEST);
    let done = matches!(whole.push(&buf[used..]), Read::Done { .. }) || whole.ended();
    if !done {
        return Err("no whole answer".into());
    }
    let location = head.headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("location"));
    let location = location.map(|(_, value)| String::from_utf8_lossy(value).into_owned());
    Ok((head.status, location, String::from_utf8_lossy(&whole.bytes()).into_owned()))
}

/// Columns as wide as their widest cell.
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
            let wide = all.iter().filter_map(|r| r.get(at)).map(|c| c.chars().count()).max().unwrap_or(0);
            let _ = write!(line, "{cell:<wide$}  ");
        }
        let _ = writeln!(out, "{}", line.trim_end());
    }
    out
}

pub(crate) fn or_dash(text: &Option<String>) -> String {
    text.clone().unwrap_or_else(|| "-".to_string())
}

fn print_plan(plan: &Plan) -> String {
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
                m.meanwhile_mb.to_string(),
            ]
        })
        .collect();
    let mut out = table(&["instance", "function", "from", "to", "why", "urgent", "meanwhile MB"], &rows);
    let (b, a) = (&plan.before, &plan.after);
    let figures = |name: &str, b: u64, a: u64| vec![name.to_string(), b.to_string(), a.to_string()];
    out += &table(
        &["", "before", "after"],
        &[
            figures("urgent on draining hosts", b.exposed.into(), a.exposed.into()),
            figures("urgent together", b.together.into(), a.together.into()),
            figures("starts without room", b.holes_lacking.into(), a.holes_lacking.into()),
            figures("hosts in use", b.open_hosts.into(), a.open_hosts.into()),
            figures("hosts in use, MB", b.open_mb, a.open_mb),
            figures("instances, MB", b.taken_mb, a.taken_mb),
        ],
    );
    let _ = writeln!(
        out,
        "{} moves, {} starts, {} MB·s taken twice, saving {:.1} calls; {}",
        plan.moves.len(),
        plan.starts,
        plan.double_mb_s,
        plan.saving,
        plan.not.as_ref().map_or("would run now".to_string(), |no| format!("would not run now: {no}")),
    );
    out
}

fn print_shown(shown: &Shown) -> String {
    let state = match (&shown.not, shown.paused) {
        (_, true) => "paused".to_string(),
        (Some(no), _) => format!("not now: {no}"),
        (None, _) => "nothing stands against it".to_string(),
    };
    let mut out = format!("mode {} at {}: {state}\n", shown.mode, shown.holder);
    let rows: Vec<Vec<String>> = shown
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
    let _ = writeln!(out, "{} under way, {} waiting", shown.moves.len(), shown.waiting);
    if !shown.expected.is_empty() {
        let _ = writeln!(out, "starts without room: {}", shown.expected.join(", "));
    }
    let ends: Vec<Vec<String>> = shown
        .ends
        .iter()
        .map(|e| vec![e.instance.clone(), e.outcome.clone(), format!("{:.1}", e.ago_ms as f64 / 1e3)])
        .collect();
    out += &table(&["ended", "as", "s ago"], &ends);
    out
}
