//! A soak's outcome as text, as a page (HTML) and as events (a JSON object a line).

use crate::gauges::{gauges, struck, Gauge};
use crate::record::{Attempt, Record};
use crate::rules::Violation;
use crate::scenario::{ActionKind, Scenario};
use std::fmt::Write as _;
use std::time::Duration;

/// Violation rules that are told one by one.
const MAX_TOLD: usize = 20;
/// Around a try that broke a rule, what happened is told from so long before it.
const BEFORE: Duration = Duration::from_secs(8);
/// The picture: pixels of a second, of a row, and its bounds.
const SECOND_PX: f64 = 24.0;
const ROW_PX: usize = 16;
const LABEL_PX: f64 = 150.0;
const MAX_WIDTH_PX: f64 = 4_000.0;

/// A soak that has been judged.
pub struct Report<'a> {
    pub scenario: &'a Scenario,
    pub record: &'a Record,
    pub violations: &'a [Violation],
}

impl Report<'_> {
    /// For a terminal.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string has no way to fail.
        let _ = self.write_text(&mut text);
        text
    }

    fn write_text(&self, out: &mut String) -> std::fmt::Result {
        let (scenario, record) = (self.scenario, self.record);
        writeln!(
            out,
            "seed {}: {} s, {} proxies, {} controllers, {} clients, grace period {} s",
            scenario.seed,
            scenario.seconds,
            scenario.proxies,
            scenario.controllers,
            scenario.clients,
            scenario.grace_s
        )?;
        let served =
            record.attempts.iter().filter(|tried| tried.end.status().is_some_and(|s| s < 300)).count();
        let acknowledged = record.changes.iter().filter(|change| change.acknowledged.is_some()).count();
        writeln!(
            out,
            "{} tries, {served} served; {} SIGTERM, {} SIGHUP, {} SIGKILL, {} frozen; {acknowledged} of {} changes taken",
            record.attempts.len(),
            struck(record, ActionKind::Terminate),
            struck(record, ActionKind::Hangup),
            struck(record, ActionKind::Kill),
            struck(record, ActionKind::Freeze),
            record.changes.len(),
        )?;
        for Gauge { name, unit, value } in gauges(record) {
            writeln!(out, "  {name:<16} {value:>8.2} {unit}")?;
        }
        for broken in self.violations.iter().take(MAX_TOLD) {
            writeln!(out, "BROKEN {broken}")?;
        }
        if self.violations.len() > MAX_TOLD {
            writeln!(out, "and {} more", self.violations.len() - MAX_TOLD)?;
        }
        let verdict = if self.violations.is_empty() { "kept" } else { "broken" };
        writeln!(out, "{verdict}")
    }

    /// One object a line, in the order of time.
    pub fn events(&self) -> String {
        let mut lines: Vec<(Duration, String)> = Vec::new();
        for tried in &self.record.attempts {
            lines.push((tried.sent, try_event(tried)));
        }
        for done in &self.record.executed {
            let at = done.at.as_secs_f64();
            let (kind, machine) = (done.action.kind, &done.machine);
            lines.push((
                done.at,
                format!("{{\"at_s\":{at:.3},\"event\":\"{kind:?}\",\"machine\":\"{machine}\"}}"),
            ));
        }
        for end in &self.record.exits {
            let (at, machine, role, status) =
                (end.at.as_secs_f64(), &end.machine, end.role.name(), &end.status);
            let text = format!(
                "{{\"at_s\":{at:.3},\"event\":\"ended\",\"machine\":\"{machine}\",\"role\":\"{role}\",\"status\":\"{status}\"}}"
            );
            lines.push((end.at, text));
        }
        for broken in self.violations {
            let (at, rule, what) = (broken.at.as_secs_f64(), broken.rule, escaped(&broken.what));
            let text = format!(
                "{{\"at_s\":{at:.3},\"event\":\"broken\",\"rule\":\"{rule:?}\",\"what\":\"{what}\"}}"
            );
            lines.push((broken.at, text));
        }
        lines.sort_by_key(|(at, _)| *at);
        lines.into_iter().map(|(_, line)| line + "\n").collect()
    }

    /// A page with the gauges, and a timeline for each try that broke a rule.
    pub fn html(&self) -> String {
        let mut page = String::from(
            "<!doctype html><meta charset=\"utf-8\"><title>Soak</title>\
             <style>body{font:14px sans-serif}td,th{padding:2px 8px;text-align:left}pre{font-size:12px}</style>\n",
        );
        let _ = self.write_html(&mut page);
        page
    }

    fn write_html(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "<h1>Soak, seed {}</h1>\n<pre>{}</pre>", self.scenario.seed, marked_up(&self.text()))?;
        out.push_str(&self.picture());
        for broken in self.violations.iter().take(MAX_TOLD) {
            writeln!(out, "<h2>{}</h2>", marked_up(&broken.to_string()))?;
            if let Some(tried) = &broken.attempt {
                self.write_timeline(out, tried)?;
            }
        }
        Ok(())
    }

    /// What happened to the proxy of a try around it, and the proxy's own log.
    fn write_timeline(&self, out: &mut String, tried: &Attempt) -> std::fmt::Result {
        let Some(proxy) = self.record.proxy_at(tried.to) else { return Ok(()) };
        let from = tried.sent.saturating_sub(BEFORE);
        let mut rows: Vec<(Duration, String)> = vec![
            (tried.opened, "its connection is opened".to_string()),
            (tried.sent, format!("{} {} is sent", tried.class, tried.attempt_id)),
            (tried.ended, tried.end.to_string()),
        ];
        let here = self.record.executed.iter().filter(|done| done.machine == proxy.name && done.at >= from);
        rows.extend(here.map(|done| (done.at, format!("{:?} to {}", done.action.kind, done.machine))));
        let ends = self.record.exits.iter().filter(|end| end.machine == proxy.name && end.at >= from);
        rows.extend(ends.map(|end| (end.at, format!("{} ended: {}", end.role.name(), end.status))));
        rows.sort_by_key(|(at, _)| *at);
        out.push_str("<table>\n");
        for (at, what) in rows {
            writeln!(out, "<tr><td>{:.3} s</td><td>{}</td></tr>", at.as_secs_f64(), marked_up(&what))?;
        }
        writeln!(out, "</table>\n<pre>{}</pre>", marked_up(&proxy.log))
    }

    /// Each proxy a row: from SIGTERM to its end, and the tries that broke a rule.
    fn picture(&self) -> String {
        let px = |at: Duration| LABEL_PX + at.as_secs_f64() * SECOND_PX;
        let width = (px(self.scenario.length()) + self.scenario.grace_s * SECOND_PX).min(MAX_WIDTH_PX);
        let height = self.record.proxies.len() * ROW_PX + ROW_PX;
        let mut svg =
            format!("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width:.0}\" height=\"{height}\">\n");
        for (row, proxy) in self.record.proxies.iter().enumerate() {
            let y = row * ROW_PX;
            let _ = writeln!(svg, "<text x=\"0\" y=\"{}\" font-size=\"11\">{}</text>", y + 12, proxy.name);
            for done in self.record.executed.iter().filter(|done| done.machine == proxy.name) {
                let ends = self.record.exits.iter().filter(|end| end.machine == proxy.name);
                let end = ends.map(|end| end.at).filter(|at| *at > done.at).min();
                let to = end.unwrap_or(done.at + self.scenario.grace());
                let _ = writeln!(
                    svg,
                    "<rect x=\"{:.1}\" y=\"{y}\" width=\"{:.1}\" height=\"{}\" fill=\"{}\"><title>{:?}</title></rect>",
                    px(done.at),
                    (px(to) - px(done.at)).max(1.0),
                    ROW_PX - 2,
                    if done.action.kind.is_planned() { "#9bd" } else { "#db9" },
                    done.action.kind
                );
            }
            let broken = self.violations.iter().filter_map(|broken| broken.attempt.as_ref());
            for tried in broken.filter(|tried| tried.to == proxy.address) {
                let (from, to) = (px(tried.sent), px(tried.ended));
                let middle = y + ROW_PX / 2;
                let _ = writeln!(
                    svg,
                    "<line x1=\"{from:.1}\" x2=\"{to:.1}\" y1=\"{middle}\" y2=\"{middle}\" stroke=\"#c00\" stroke-width=\"3\"/>"
                );
            }
        }
        svg.push_str("</svg>\n");
        svg
    }
}

fn try_event(tried: &Attempt) -> String {
    format!(
        "{{\"at_s\":{:.3},\"event\":\"try\",\"id\":\"{}\",\"class\":\"{}\",\"to\":\"{}\",\"opened_s\":{:.3},\"ended_s\":{:.3},\"end\":\"{}\"}}",
        tried.sent.as_secs_f64(),
        tried.attempt_id,
        tried.class,
        tried.to,
        tried.opened.as_secs_f64(),
        tried.ended.as_secs_f64(),
        tried.end
    )
}

fn escaped(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c.is_control() => out.push(' '),
            c => out.push(c),
        }
    }
    out
}

fn marked_up(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
