//! Reads the settings of a deployment from JSON into the settings of the scheduling policy; unknown keys are
//! ignored.

use serde_json::Value;
use std::time::Duration;
use tindock::types::{Discovery, Effect, Group, PolicySettings, Workload};

pub type Parsed<T> = Result<T, String>;

/// Upper bound of a duration: sums of a few never overflow.
const MAX_SECONDS: f64 = 1e12;

pub fn checked_duration(seconds: f64) -> Option<Duration> {
    (0.0..MAX_SECONDS).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

fn number(of: &Value, path: &str) -> Parsed<f64> {
    let value = of.pointer(path).and_then(Value::as_f64).filter(|v| v.is_finite());
    value.ok_or_else(|| format!("settings: no number at {path}"))
}

pub fn duration(of: &Value, path: &str) -> Parsed<Duration> {
    let seconds = number(of, path)?;
    checked_duration(seconds).ok_or_else(|| format!("settings: {seconds} at {path} is not a valid duration"))
}

/// Rejects zero, with which everything would be shed or nothing tried.
fn positive(of: &Value, path: &str) -> Parsed<f64> {
    let value = number(of, path)?;
    if value <= 0.0 {
        return Err(format!("settings: {value} at {path} is no positive number"));
    }
    Ok(value)
}

fn positive_duration(of: &Value, path: &str) -> Parsed<Duration> {
    positive(of, path).and_then(|_| duration(of, path))
}

fn text<'a>(of: &'a Value, path: &str) -> Parsed<&'a str> {
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

fn workload(json: &Value, row: usize) -> Parsed<Workload> {
    let at = |key: &str| format!("/workloads/{row}/{key}");
    let effect = match text(json, &at("effect"))? {
        "retryable" => Effect::Idempotent,
        "fragile" => Effect::Unrepeatable,
        "dedup" => Effect::Deduplicated(match text(json, &at("group"))? {
            "all" => Group::All,
            "zone" => Group::Zone,
            "cell" => Group::Cell,
            other => return Err(format!("settings: unknown group {other:?} at {}", at("group"))),
        }),
        other => return Err(format!("settings: unknown effect {other:?} at {}", at("effect"))),
    };
    let stretch = optional(json, &format!("/domain/class_stretch/{row}"))?;
    let stretch = stretch.or(optional(json, &at("aim_stretch"))?);
    let kind = optional(json, &format!("/domain/class_kind/{row}"))?;
    Ok(Workload {
        effect,
        memory: optional(json, &at("window_s"))?
            .map_or(Ok(Duration::ZERO), |_| duration(json, &at("window_s")))?,
        promised: positive_duration(json, &at("promised_time_s"))?,
        stretch: stretch.unwrap_or(0.0),
        hard_limit: positive_duration(json, &at("hard_limit_s"))?,
        utility: number(json, &at("utility"))?,
        kind: kind.filter(|k| *k >= 0.0).map(|k| k as usize),
        max_assignments: positive(json, "/caps/most_assignments")?.max(1.0) as usize,
    })
}

pub fn parse(bytes: &[u8]) -> Parsed<PolicySettings> {
    let json: Value = serde_json::from_slice(bytes).map_err(|e| format!("settings: {e}"))?;
    from_json(&json)
}

pub fn from_json(json: &Value) -> Parsed<PolicySettings> {
    let rows = list(json, "/workloads").len();
    if rows == 0 {
        return Err("settings: no workloads".into());
    }
    if let Some(other) = optional_text(json, "/reporting/source") {
        if !["piggyback", "pull", "silent"].contains(&other) {
            return Err(format!("settings: unknown reporting {other:?}"));
        }
    }
    let reports: Vec<&str> = list(json, "/reporting/names").iter().filter_map(Value::as_str).collect();
    let position = |name: &str| reports.iter().position(|r| *r == name);
    let free = optional_text(json, "/domain/report_x0") == Some("free slots");
    let discovery = match text(json, "/discovery")? {
        "automatic" => Discovery::Pushed,
        "subscribe" => Discovery::Polled { within: duration(json, "/rules/must_ask_in_s")? },
        other => return Err(format!("settings: unknown discovery {other:?}")),
    };
    let quota = |t: &Value| optional(t, "/quota_per_s").map(|q| q.unwrap_or(f64::INFINITY));
    let schedulers = number(json, "/instances")?.max(1.0) as usize;
    let progress = optional(json, "/domain/progress_s")?.unwrap_or(0.0);
    let max_retry_after = flag(json, "/caps/retry_after").then(|| duration(json, "/caps/max_retry_after_s"));
    Ok(PolicySettings {
        workloads: (0..rows).map(|row| workload(json, row)).collect::<Parsed<_>>()?,
        schedulers,
        members: if flag(json, "/caps/peers") { schedulers } else { 0 },
        position: optional(json, "/position")?.unwrap_or(0.0) as usize,
        zone: number(json, "/zone")? as usize,
        discovery,
        beyond_share: optional(json, "/beyond_share_utility")?.unwrap_or(1.0),
        quotas: list(json, "/tenants").iter().map(quota).collect::<Parsed<_>>()?,
        may_cancel: flag(json, "/caps/cancel"),

        max_retry_after: max_retry_after.transpose()?,
        progress_interval: checked_duration(progress).filter(|gap| !gap.is_zero()),
        reports_start: flag(json, "/domain/tells_start"),
        live_weights: match optional_text(json, "/weights") {
            Some("live") => true,
            None | Some("silent" | "nominal" | "rough") => false,
            Some(other) => return Err(format!("settings: unknown weights {other:?}")),
        },
        report_free: position("x0").filter(|_| free),
        report_waiting: position("backlog"),
        overload_factor: number(json, "/rules/overload_factor")?,
        cold_share: number(json, "/rules/cold_share")?,
        warm_within: duration(json, "/rules/warm_within_s")?,
        crossing_cost: optional(json, "/penalties/cross_zone")?.unwrap_or(0.0),

        message_cost: optional(json, "/penalties/peer")?.unwrap_or(0.0),
    })
}

fn optional_text<'a>(of: &'a Value, path: &str) -> Option<&'a str> {
    of.pointer(path).and_then(Value::as_str)
}
