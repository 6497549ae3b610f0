//! The configuration format of installations: TOML, in operators' terms. The keys, their units, ranges and
//! defaults are listed in `docs/operating/configuration.md`.

use crate::agreement::agreement;
use crate::config::{
    digest, HealthCheckSettings, InventorySettings, Level, LogSettings, PeerAddresses, ResourceLimits,
    SchedulerConfig,
};
use crate::layers::{Layers, RawValue, Reader, Section, ShownValue};
use crate::names::Names;
use crate::units;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tindock::types::{Discovery, Effect, Group, PolicySettings, Workload};
use tindock_inventory::{merge, Address, Columns, Entry, Place, Problem, State, FIELDS};
use toml::de::DeTable;

pub(crate) fn text(w: &RawValue) -> Result<String, String> {
    if w.text.is_empty() || w.text.chars().any(char::is_control) {
        return Err(format!("{:?}; a word was expected", w.text));
    }
    Ok(w.text.clone())
}

/// A name that may be part of a path or a header.
pub(crate) fn name(w: &RawValue) -> Result<String, String> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if w.text.is_empty() || w.text.len() > 64 || !w.text.chars().all(is_plain) {
        return Err(format!("{:?}; up to 64 letters, digits, - _ . were expected", w.text));
    }
    Ok(w.text.clone())
}

pub(crate) fn number(low: f64, high: f64) -> impl Fn(&RawValue) -> Result<f64, String> {
    move |w| {
        let digits: String = w.text.chars().filter(|c| *c != '_').collect();
        let found = digits.parse().ok().filter(|n| (low..=high).contains(n));
        found.ok_or_else(|| format!("{:?}; a number from {low} to {high} was expected", w.text))
    }
}

pub(crate) fn integer(low: u64, high: u64) -> impl Fn(&RawValue) -> Result<u64, String> {
    move |w| {
        let digits: String = w.text.chars().filter(|c| *c != '_').collect();
        let found = digits.parse().ok().filter(|n| (low..=high).contains(n));
        found.ok_or_else(|| format!("{:?}; a whole number from {low} to {high} was expected", w.text))
    }
}

fn flag(w: &RawValue) -> Result<bool, String> {
    w.text.parse().map_err(|_| format!("{:?}; true or false was expected", w.text))
}

pub(crate) fn span(low: Duration) -> impl Fn(&RawValue) -> Result<Duration, String> {
    move |w| {
        let found = units::span(&w.text)?;
        if found < low {
            return Err(format!("{:?} is too short; {low:?} at least", w.text));
        }
        Ok(found)
    }
}

pub(crate) fn address(w: &RawValue) -> Result<SocketAddr, String> {
    w.text.parse().map_err(|_| format!("{:?}; address:port was expected", w.text))
}

const MS: Duration = Duration::from_millis(1);

/// Reads the text of a file named `file` in `folder`, with its overrides. Returns the configuration and each
/// value in force with its source, or all problems.
pub fn read(
    file: &str,
    folder: &Path,
    text: &str,
    layers: &Layers,
) -> Result<(SchedulerConfig, Vec<ShownValue>), Vec<Problem>> {
    let mut reader = Reader::new(file, text, layers);
    let (root, errors) = DeTable::parse_recoverable(text);
    if !errors.is_empty() {
        let lines = errors.iter().map(|e| {
            let place = reader.place(e.span().map_or(0, |span| span.start));
            place.problem(format!("no TOML that can be read: {}", e.message()))
        });
        return Err(lines.collect());
    }
    let mut top = reader.root(root.get_ref());
    let config = read_config(&mut reader, &mut top, folder, text);
    reader.reject_unknown_keys(&top);
    reader.reject_unknown_overrides();
    match config {
        Some(config) if reader.problems.is_empty() => Ok((config, reader.shown)),
        _ => {
            reader.problems.sort();
            reader.problems.dedup();
            Err(reader.problems)
        }
    }
}

fn read_config<'t>(
    r: &mut Reader<'t>,
    top: &mut Section<'t>,
    folder: &Path,
    file: &str,
) -> Option<SchedulerConfig> {
    let title = r.value(top, "name", name, "tindock");
    let zone = r.value(top, "zone", text, "here");
    let seed = r.value(top, "seed", integer(0, u64::MAX), "0");
    let listen = r.value(top, "listen", address, "127.0.0.1:7000");
    let discovery = r.optional(top, "discovery", address);

    let mut limits = r.section(top, "limits");
    let sockets = r.value(&mut limits, "sockets", integer(1, 1 << 24), "1024") as usize;
    let memory = r.value(&mut limits, "memory", |w| units::bytes(&w.text), "256MiB");
    r.reject_unknown_keys(&limits);
    let resource_limits = ResourceLimits::divide(sockets, memory as f64 / 1024.0 / 1024.0);
    let resource_limits = resource_limits.map_err(|why| r.problem(&limits.place, why)).ok();

    let mut names = Names { zones: vec![zone], ..Names::default() };
    let workloads = workloads(r, top, &mut names);
    let (quotas, beyond_share) = tenants(r, top, &mut names);
    let mut settings = PolicySettings {
        workloads,
        quotas,
        beyond_share,
        discovery: Discovery::Pushed,
        ..PolicySettings::default()
    };
    let (connect_timeout, idle_timeout, max_assignments) = workers(r, top, &mut settings, &mut names);
    settings.workloads.iter_mut().for_each(|row| row.max_assignments = max_assignments);
    let peers = peers(r, top, &mut settings);
    let agreement = agreement(r, top, &title, folder);
    let inventory = inventory(r, top, folder);
    if inventory.is_none() && discovery.is_none() {
        r.problem(
            &top.place.clone(),
            "neither discovery, nor [inventory], nor a [[worker]]: there can be no workers",
        );
    }

    let mut s = r.section(top, "management");
    let management = r.optional(&mut s, "listen", address);
    let runtime = r.optional(&mut s, "runtime", text).map(|path| folder.join(path));
    r.reject_unknown_keys(&s);

    let mut log = r.section(top, "log");
    let json = r.value(&mut log, "format", one_of(&[("text", false), ("json", true)]), "text");
    let levels = [
        ("error", Level::Error),
        ("warning", Level::Warning),
        ("info", Level::Info),
        ("debug", Level::Debug),
    ];
    let level = r.value(&mut log, "level", one_of(&levels), "info");
    r.reject_unknown_keys(&log);

    Some(SchedulerConfig {
        name: title,
        listen,
        discovery,
        inventory,
        peers,
        agreement,
        management,
        runtime,
        seed,
        settings,
        names,
        known: None,
        resource_limits: resource_limits?,
        connect_timeout,
        idle_timeout,
        log: LogSettings { json, level },
        keys: BTreeSet::new(),
        digest: digest(file),
    })
}

pub(crate) fn one_of<T: Copy>(choices: &[(&'static str, T)]) -> impl Fn(&RawValue) -> Result<T, String> {
    let choices = choices.to_vec();
    move |w| {
        let found = choices.iter().find(|(word, _)| *word == w.text).map(|(_, value)| *value);
        let all: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
        found.ok_or_else(|| format!("{:?}; one of {} was expected", w.text, all.join(", ")))
    }
}

#[derive(Clone, Copy, PartialEq)]
enum EffectName {
    Idempotent,
    Deduplicated,
    Unrepeatable,
}

fn workloads<'t>(r: &mut Reader<'t>, top: &mut Section<'t>, names: &mut Names) -> Vec<Workload> {
    let sections = r.sections(top, "workload");
    if sections.is_empty() {
        r.problem(&top.place.clone(), "no [[workload]]: no task can be submitted");
    }
    let mut rows = Vec::new();
    for mut s in sections {
        let place = s.place.clone();
        let title = r.required(&mut s, "name", name);
        let effects = [
            ("idempotent", EffectName::Idempotent),
            ("deduplicated", EffectName::Deduplicated),
            ("unrepeatable", EffectName::Unrepeatable),
        ];
        let effect = r.required(&mut s, "effect", one_of(&effects));
        let groups = [("all", Group::All), ("zone", Group::Zone), ("group", Group::Cell)];
        let (group, memory) = match effect {
            Some(EffectName::Deduplicated) => {
                (r.required(&mut s, "among", one_of(&groups)), r.required(&mut s, "memory", span(MS)))
            }
            _ => (None, None),
        };
        let promised = r.required(&mut s, "promised", span(MS));
        let hard_limit = r.required(&mut s, "hard-limit", span(MS));
        let stretch = r.value(&mut s, "stretch", number(0.0, 1000.0), "0");
        let utility = r.value(&mut s, "utility", number(0.0, 1e9), "1");
        let kind = r.optional(&mut s, "kind", text);
        r.reject_unknown_keys(&s);
        if let (Some(promised), Some(hard)) = (promised, hard_limit) {
            if promised > hard {
                r.problem(&place, format!("promised in {promised:?}, but the hard limit is {hard:?}"));
            }
        }
        let Some(title) = title else { continue };
        if names.workloads.contains(&title) {
            r.problem(&place, format!("workload {title:?} again"));
            continue;
        }
        let (Some(effect), Some(promised), Some(hard_limit)) = (effect, promised, hard_limit) else {
            continue;
        };
        let effect = match (effect, group) {
            (EffectName::Idempotent, _) => Effect::Idempotent,
            (EffectName::Unrepeatable, _) => Effect::Unrepeatable,
            (EffectName::Deduplicated, Some(group)) => Effect::Deduplicated(group),
            (EffectName::Deduplicated, None) => continue,
        };
        let kind = kind.and_then(|kind| {
            let site = names.site(names.zones[0].clone(), kind, 0);
            site.map_err(|why| r.problem(&place, why)).ok().map(|site| site.kind)
        });
        names.workloads.push(title);
        let memory = memory.unwrap_or_default();
        rows.push(Workload {
            effect,
            memory,
            promised,
            stretch,
            hard_limit,
            utility,
            kind,
            max_assignments: 1,
        });
    }
    rows
}

fn tenants<'t>(r: &mut Reader<'t>, top: &mut Section<'t>, names: &mut Names) -> (Vec<f64>, f64) {
    let mut quotas = Vec::new();
    for mut s in r.sections(top, "customer") {
        let place = s.place.clone();
        let title = r.required(&mut s, "name", name);
        let share = r.required(&mut s, "tasks-per-second", number(0.0, 1e9));
        r.reject_unknown_keys(&s);
        let (Some(title), Some(share)) = (title, share) else { continue };
        if names.tenants.contains(&title) {
            r.problem(&place, format!("customer {title:?} again"));
            continue;
        }
        names.tenants.push(title);
        quotas.push(share);
    }
    let beyond = r.value(top, "utility-beyond-share", number(0.0, 1.0), "1");
    (quotas, beyond)
}

fn workers<'t>(
    r: &mut Reader<'t>,
    top: &mut Section<'t>,
    settings: &mut PolicySettings,
    names: &mut Names,
) -> (Duration, Duration, usize) {
    let mut s = r.section(top, "workers");
    settings.schedulers = r.value(&mut s, "schedulers", integer(1, 100_000), "1") as usize;
    settings.may_cancel = r.value(&mut s, "call-off", flag, "true");

    let max_assignments = r.value(&mut s, "most-assignments", integer(1, 100), "5") as usize;
    settings.reports_start = r.value(&mut s, "tell-start", flag, "false");
    settings.progress_interval = r.optional(&mut s, "progress-every", span(10 * MS));
    settings.overload_factor = r.value(&mut s, "overload-factor", number(0.1, 1000.0), "3");
    settings.cold_share = r.value(&mut s, "cold-share", number(0.001, 1.0), "0.3");
    settings.warm_within = r.value(&mut s, "warm-within", span(Duration::ZERO), "10s");
    settings.crossing_cost = r.value(&mut s, "price-of-crossing", number(0.0, 1.0), "0.02");
    settings.max_retry_after = r.optional(&mut s, "come-back-at-most", span(MS));
    settings.live_weights =
        r.value(&mut s, "weights", one_of(&[("sizes", false), ("moving", true)]), "sizes");
    let reports = r.strings(&mut s, "reports");
    settings.report_free = reports.iter().position(|(w, _)| w == "free-slots");
    settings.report_waiting = reports.iter().position(|(w, _)| w == "backlog");
    names.reports = reports.into_iter().map(|(w, _)| w).collect();
    let connect_timeout = r.value(&mut s, "connect-within", span(MS), "250ms");
    let idle_timeout = r.value(&mut s, "keep-idle", span(100 * MS), "30s");
    r.reject_unknown_keys(&s);
    (connect_timeout, idle_timeout, max_assignments)
}

/// Limit for the schedulers that exchange messages on workers.
const MAX_PEERS: usize = 1000;

/// The schedulers that exchange messages on workers with this one.
fn peers<'t>(
    r: &mut Reader<'t>,
    top: &mut Section<'t>,
    settings: &mut PolicySettings,
) -> Option<PeerAddresses> {
    let mut s = r.section(top, "peers");
    let place = s.place.clone();
    let listen = r.optional(&mut s, "listen", address);
    let mut all: Vec<SocketAddr> = Vec::new();
    for (word, place) in r.strings(&mut s, "all") {
        match word.parse() {
            Ok(at) if all.contains(&at) => r.problem(&place, format!("{word:?} again")),
            Ok(at) => all.push(at),
            Err(_) => r.problem(&place, format!("{word:?}; address:port was expected")),
        }
    }
    settings.message_cost = r.value(&mut s, "price-of-word", number(0.0, 1.0), "0.01");
    r.reject_unknown_keys(&s);
    let Some(listen) = listen else {
        if !all.is_empty() {
            r.problem(&place, "peers.all without peers.listen: which of them is this scheduler?");
        }
        return None;
    };
    let position = all.iter().position(|&at| at == listen);
    if position.is_none() {
        r.problem(&place, format!("peers.all does not name {listen}, which is peers.listen"));
    }
    if all.len() > settings.schedulers.min(MAX_PEERS) {
        let max_peers = settings.schedulers.min(MAX_PEERS);
        r.problem(&place, format!("peers.all names {} schedulers; {max_peers} at the most", all.len()));
    }
    let position = position?;
    (settings.members, settings.position) = (all.len(), position);
    Some(PeerAddresses { all, position })
}

fn inventory<'t>(r: &mut Reader<'t>, top: &mut Section<'t>, folder: &Path) -> Option<InventorySettings> {
    let fixed = fixed(r, top);
    let mut s = r.section(top, "inventory");
    let present = s.table.is_some();
    let files: Vec<PathBuf> = r.strings(&mut s, "files").into_iter().map(|(w, _)| folder.join(w)).collect();
    if present && files.is_empty() {
        r.problem(&s.place.clone(), "no files in inventory");
    }
    let guard_share = r.value(&mut s, "guard-share", number(0.0, 1.0), "0.2");
    let confirm_after = r.value(&mut s, "confirm-after", span(Duration::ZERO), "1min");
    let last_good = r.optional(&mut s, "last-good", text).map(|path| folder.join(path));
    let mut columns = Columns::default();
    for (key, into) in [("columns", &mut columns.names), ("defaults", &mut columns.defaults)] {
        let mut table = r.section(&mut s, key);
        for (field, value, place) in r.pairs(&mut table) {
            if !FIELDS.contains(&field.as_str()) {
                r.problem(
                    &place,
                    format!("{field:?} is no field of a worker; those are {}", FIELDS.join(", ")),
                );
            }
            into.insert(field, value);
        }
    }
    let mut h = r.section(&mut s, "health");
    let health = HealthCheckSettings {
        path: r.value(&mut h, "path", path, "/healthz"),
        interval: r.value(&mut h, "every", span(50 * MS), "2s"),
        timeout: r.value(&mut h, "within", span(MS), "500ms"),
        down_after: r.value(&mut h, "down-after", integer(1, 100), "3") as u32,
        up_after: r.value(&mut h, "up-after", integer(1, 100), "2") as u32,
        panic_share: r.value(&mut h, "panic-share", number(0.0, 1.0), "0.5"),
    };
    let probe = r.value(&mut h, "probe", flag, "true");
    r.reject_unknown_keys(&h);
    r.reject_unknown_keys(&s);
    let inventory = InventorySettings {
        files,
        columns,
        fixed,
        guard_share,
        confirm_after,
        health: probe.then_some(health),
        last_good,
    };
    (present || !inventory.fixed.is_empty()).then_some(inventory)
}

fn path(w: &RawValue) -> Result<String, String> {
    let plain = w.text.starts_with('/') && w.text.bytes().all(|b| b.is_ascii_graphic());
    plain.then(|| w.text.clone()).ok_or_else(|| format!("{:?}; a path from / on was expected", w.text))
}

/// Workers named in the configuration: they are added to those of files, under the same rules.
fn fixed<'t>(r: &mut Reader<'t>, top: &mut Section<'t>) -> Vec<Entry> {
    let mut entries = Vec::new();
    for mut s in r.sections(top, "worker") {
        let place: Place = s.place.clone();
        let title = r.required(&mut s, "name", name);
        let at = r.required(&mut s, "address", |w| Address::parse(&w.text));
        let zone = r.value(&mut s, "zone", text, "here");
        let kind = r.value(&mut s, "kind", text, "usual");
        let slots = r.value(&mut s, "slots", number(1.0, 1024.0), "1");
        let group = r.value(&mut s, "group", integer(0, u64::from(u32::MAX)), "0") as u32;
        let states = [("active", State::Active), ("leaving", State::Leaving)];
        let state = r.value(&mut s, "state", one_of(&states), "active");
        r.reject_unknown_keys(&s);
        let (Some(name), Some(address)) = (title, at) else { continue };
        entries.push(Entry { name, address, zone, kind, slots, group, state, place });
    }
    match merge(vec![entries]) {
        Ok(inventory) => inventory.entries,
        Err(problems) => {
            r.problems.extend(problems);
            Vec::new()
        }
    }
}

/// The environment variables that override the configuration, for `Layers`.
pub fn variables() -> BTreeMap<String, String> {
    let utf8 = std::env::vars_os().filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)));
    Layers::from_variables(utf8).variables
}
