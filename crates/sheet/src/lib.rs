//! Reads the settings of a deployment into the duty sheet; keys it does not know are skipped.

use serde_json::Value;
use std::time::Duration;
use tindock::types::{Discovery, Effect, Group, PolicySettings, Workload};

pub type Parsed<T> = Result<T, String>;

/// The most seconds that count as a time: sums of a few never overflow.
const LONGEST: f64 = 1e12;

pub fn checked_duration(seconds: f64) -> Option<Duration> {
    (0.0..LONGEST).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

fn number(of: &Value, path: &str) -> Parsed<f64> {
    let found = of.pointer(path).and_then(Value::as_f64).filter(|v| v.is_finite());
    found.ok_or_else(|| format!("settings: no number at {path}"))
}

pub fn duration(of: &Value, path: &str) -> Parsed<Duration> {
    let seconds = number(of, path)?;
    checked_duration(seconds).ok_or_else(|| format!("settings: {seconds} at {path} is no time"))
}

/// Guards against a file that is broken by a zero: everything would be shed, or nothing tried.
fn positive(of: &Value, path: &str) -> Parsed<f64> {
    let found = number(of, path)?;
    if found <= 0.0 {
        return Err(format!("settings: {found} at {path} is no positive number"));
    }
    Ok(found)
}

fn positive_span(of: &Value, path: &str) -> Parsed<Duration> {
    positive(of, path).and_then(|_| duration(of, path))
}

fn word<'a>(of: &'a Value, path: &str) -> Parsed<&'a str> {
    of.pointer(path).and_then(Value::as_str).ok_or_else(|| format!("settings: no text at {path}"))
}

fn flag(of: &Value, path: &str) -> bool {
    of.pointer(path).and_then(Value::as_bool).unwrap_or(false)
}

fn optional(of: &Value, path: &str) -> Parsed<Option<f64>> {
    of.pointer(path).map(|_| number(of, path)).transpose()
}

fn list<'a>(of: &'a Value, path: &str) -> &'a [Value] {
    of.pointer(path).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn workload(info: &Value, row: usize) -> Parsed<Workload> {
    let at = |key: &str| format!("/workloads/{row}/{key}");
    let effect = match word(info, &at("effect"))? {
        "retryable" => Effect::Idempotent,
        "fragile" => Effect::Unrepeatable,
        "dedup" => Effect::Deduplicated(match word(info, &at("group"))? {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(format!("settings: unknown group {other:?} at {}", at("group"))),
        }),
        other => return Err(format!("settings: unknown effect {other:?} at {}", at("effect"))),
    };
    let stretch = optional(info, &format!("/domain/class_stretch/{row}"))?;
    let stretch = stretch.or(optional(info, &at("aim_stretch"))?);
    let kind = optional(info, &format!("/domain/class_kind/{row}"))?;
    Ok(Workload {
        effect,
        memory: optional(info, &at("window_s"))?
            .map_or(Ok(Duration::ZERO), |_| duration(info, &at("window_s")))?,
        promised: positive_span(info, &at("promised_time_s"))?,
        stretch: stretch.unwrap_or(0.0),
        hard_limit: positive_span(info, &at("hard_limit_s"))?,
        utility: number(info, &at("utility"))?,
        kind: kind.filter(|k| *k >= 0.0).map(|k| k as usize),
        max_assignments: positive(info, "/caps/most_assignments")?.max(1.0) as usize,
    })
}

pub fn parse(text: &[u8]) -> Parsed<PolicySettings> {
    let info: Value = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    from_json(&info)
}

pub fn from_json(info: &Value) -> Parsed<PolicySettings> {
    let rows = list(info, "/workloads").len();
    if rows == 0 {
        return Err("settings: no workloads".into());
    }
    if let Some(other) = optional_word(info, "/reporting/source") {
        if !["piggyback", "pull", "silent"].contains(&other) {
            return Err(format!("settings: unknown reporting {other:?}"));
        }
    }
    let reports: Vec<&str> = list(info, "/reporting/names").iter().filter_map(Value::as_str).collect();
    let position = |name: &str| reports.iter().position(|r| *r == name);
    let free = optional_word(info, "/domain/report_x0") == Some("free slots");
    let discovery = match word(info, "/discovery")? {
        "automatic" => Discovery::Pushed,
        "subscribe" => Discovery::Polled { within: duration(info, "/rules/must_ask_in_s")? },
        other => return Err(format!("settings: unknown discovery {other:?}")),
    };
    let quota = |t: &Value| optional(t, "/quota_per_s").map(|q| q.unwrap_or(f64::INFINITY));
    let schedulers = number(info, "/instances")?.max(1.0) as usize;
    let progress = optional(info, "/domain/progress_s")?.unwrap_or(0.0);
    let max_retry_after = flag(info, "/caps/retry_after").then(|| duration(info, "/caps/max_retry_after_s"));
    Ok(PolicySettings {
        workloads: (0..rows).map(|row| workload(info, row)).collect::<Parsed<_>>()?,
        schedulers,
        members: if flag(info, "/caps/peers") { schedulers } else { 0 },
        position: optional(info, "/position")?.unwrap_or(0.0) as usize,
        zone: number(info, "/zone")? as usize,
        discovery,
        beyond_share: optional(info, "/beyond_share_utility")?.unwrap_or(1.0),
        quotas: list(info, "/tenants").iter().map(quota).collect::<Parsed<_>>()?,
        may_cancel: flag(info, "/caps/cancel"),

        max_retry_after: max_retry_after.transpose()?,
        progress_interval: checked_duration(progress).filter(|gap| !gap.is_zero()),
        reports_start: flag(info, "/domain/tells_start"),
        live_weights: match optional_word(info, "/weights") {
            Some("live") => true,
            None | Some("silent" | "nominal" | "rough") => false,
            Some(other) => return Err(format!("settings: unknown weights {other:?}")),
        },
        report_free: position("x0").filter(|_| free),
        report_waiting: position("backlog"),
        overload_factor: number(info, "/rules/overload_factor")?,
        cold_share: number(info, "/rules/cold_share")?,
        warm_within: duration(info, "/rules/warm_within_s")?,
        crossing_cost: optional(info, "/penalties/cross_zone")?.unwrap_or(0.0),

        message_cost: optional(info, "/penalties/peer")?.unwrap_or(0.0),
    })
}

fn optional_word<'a>(of: &'a Value, path: &str) -> Option<&'a str> {
    of.pointer(path).and_then(Value::as_str)
}
