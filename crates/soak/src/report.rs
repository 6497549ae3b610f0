//! The results of a soak as text, as an HTML page and as events (one JSON object a line).

use crate::gauges::{count_executed, gauges, Gauge};
use crate::record::{Attempt, Record};
use crate::rules::Violation;
use crate::scenario::{ActionKind, Scenario};
use std::fmt::Write as _;
use std::time::Duration;

/// Violations beyond this number are only counted.
const MAX_REPORTED: usize = 20;
/// The timeline of a violation begins this long before its attempt.
const TIMELINE_BEFORE: Duration = Duration::from_secs(8);
/// The chart: pixels of a second and of a row, and its bounds.
const SECOND_PX: f64 = 24.0;
const ROW_PX: usize = 16;
const LABEL_PX: f64 = 150.0;
const MAX_WIDTH_PX: f64 = 4_000.0;

/// A soak and its violations.
pub struct Report<'a> {
    pub scenario: &'a Scenario,
    pub record: &'a Record,
    pub violations: &'a [Violation],
}

impl Report<'_> {
    /// For a terminal.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
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
            record.attempts.iter().filter(|attempt| attempt.end.status().is_some_and(|s| s < 300)).count();
        let acknowledged = record.changes.iter().filter(|change| change.acknowledged.is_some()).count();
        writeln!(
            out,
            "{} tries, {served} served; {} SIGTERM, {} SIGHUP, {} SIGKILL, {} frozen; \
             {acknowledged} of {} changes taken",
            record.attempts.len(),
            count_executed(record, ActionKind::Terminate),
            count_executed(record, ActionKind::Hangup),
            count_executed(record, ActionKind::Kill),
            count_executed(record, ActionKind::Freeze),
            record.changes.len(),
        )?;
        for Gauge { name, unit, value } in gauges(record) {
            writeln!(out, "  {name:<16} {value:>8.2} {unit}")?;
        }
        for violation in self.violations.iter().take(MAX_REPORTED) {
            writeln!(out, "BROKEN {violation}")?;
        }
        if self.violations.len() > MAX_REPORTED {
            writeln!(out, "and {} more", self.violations.len() - MAX_REPORTED)?;
        }
        let verdict = if self.violations.is_empty() { "kept" } else { "broken" };
        writeln!(out, "{verdict}")
    }

    /// One object a line, in the order of time.
    pub fn events(&self) -> String {
        let mut lines: Vec<(Duration, String)> = Vec::new();
        for attempt in &self.record.attempts {
            lines.push((attempt.sent, attempt_event(attempt)));
        }
        for executed in &self.record.executed {
            let at = executed.at.as_secs_f64();
            let (kind, machine) = (executed.action.kind, &executed.machine);
            lines.push((
                executed.at,
                format!("{{\"at_s\":{at:.3},\"event\":\"{kind:?}\",\"machine\":\"{machine}\"}}"),
            ));
        }
        for end in &self.record.exits {
            let (at, machine, role, status) =
                (end.at.as_secs_f64(), &end.machine, end.role.name(), &end.status);
            let text = format!(
                "{{\"at_s\":{at:.3},\"event\":\"ended\",\"machine\":\"{machine}\",\
                 \"role\":\"{role}\",\"status\":\"{status}\"}}"
            );
            lines.push((end.at, text));
        }
        for violation in self.violations {
            let (at, rule, what) =
                (violation.at.as_secs_f64(), violation.rule, json_escaped(&violation.what));
            let text = format!(
                "{{\"at_s\":{at:.3},\"event\":\"broken\",\"rule\":\"{rule:?}\",\"what\":\"{what}\"}}"
            );
            lines.push((violation.at, text));
        }
        lines.sort_by_key(|(at, _)| *at);
        lines.into_iter().map(|(_, line)| line + "\n").collect()
    }

    /// A page with the gauges, and a timeline for each attempt that violates a rule.
    pub fn html(&self) -> String {
        let mut page = String::from(
            "<!doctype html><meta charset=\"utf-8\"><title>Soak</title>\
             <style>body{font:14px sans-serif}td,th{padding:2px 8px;text-align:left}\
             pre{font-size:12px}</style>\n",
        );
        let _ = self.write_html(&mut page);
        page
    }

    fn write_html(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "<h1>Soak, seed {}</h1>\n<pre>{}</pre>",
            self.scenario.seed,
            html_escaped(&self.text())
        )?;
        out.push_str(&self.chart());
        for violation in self.violations.iter().take(MAX_REPORTED) {
            writeln!(out, "<h2>{}</h2>", html_escaped(&violation.to_string()))?;
            if let Some(attempt) = &violation.attempt {
                self.write_timeline(out, attempt)?;
            }
        }
        Ok(())
    }

    /// The events at the proxy of an attempt around that time, and the proxy's log.
    fn write_timeline(&self, out: &mut String, attempt: &Attempt) -> std::fmt::Result {
        let Some(proxy) = self.record.proxy_at(attempt.to) else { return Ok(()) };
        let from = attempt.sent.saturating_sub(TIMELINE_BEFORE);
        let mut rows: Vec<(Duration, String)> = vec![
            (attempt.opened, "its connection is opened".to_string()),
            (attempt.sent, format!("{} {} is sent", attempt.class, attempt.attempt_id)),
            (attempt.ended, attempt.end.to_string()),
        ];
        let here = self
            .record
            .executed
            .iter()
            .filter(|executed| executed.machine == proxy.name && executed.at >= from);
        rows.extend(
            here.map(|executed| (executed.at, format!("{:?} to {}", executed.action.kind, executed.machine))),
        );
        let ends = self.record.exits.iter().filter(|end| end.machine == proxy.name && end.at >= from);
        rows.extend(ends.map(|end| (end.at, format!("{} ended: {}", end.role.name(), end.status))));
        rows.sort_by_key(|(at, _)| *at);
        out.push_str("<table>\n");
        for (at, what) in rows {
            writeln!(out, "<tr><td>{:.3} s</td><td>{}</td></tr>", at.as_secs_f64(), html_escaped(&what))?;
        }
        writeln!(out, "</table>\n<pre>{}</pre>", html_escaped(&proxy.log))
    }

    /// One row for each proxy: from SIGTERM to its end, and the attempts that violate a rule.
    fn chart(&self) -> String {
        let px = |at: Duration| LABEL_PX + at.as_secs_f64() * SECOND_PX;
        let width = (px(self.scenario.duration()) + self.scenario.grace_s * SECOND_PX).min(MAX_WIDTH_PX);
        let height = self.record.proxies.len() * ROW_PX + ROW_PX;
        let mut svg =
            format!("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width:.0}\" height=\"{height}\">\n");
        for (row, proxy) in self.record.proxies.iter().enumerate() {
            let y = row * ROW_PX;
            let _ = writeln!(svg, "<text x=\"0\" y=\"{}\" font-size=\"11\">{}</text>", y + 12, proxy.name);
            for executed in self.record.executed.iter().filter(|executed| executed.machine == proxy.name) {
                let ends = self.record.exits.iter().filter(|end| end.machine == proxy.name);
                let end = ends.map(|end| end.at).filter(|at| *at > executed.at).min();
                let to = end.unwrap_or(executed.at + self.scenario.grace());
                let _ = writeln!(
                    svg,
                    "<rect x=\"{:.1}\" y=\"{y}\" width=\"{:.1}\" height=\"{}\" fill=\"{}\">\
                     <title>{:?}</title></rect>",
                    px(executed.at),
                    (px(to) - px(executed.at)).max(1.0),
                    ROW_PX - 2,
                    if executed.action.kind.is_planned() { "#9bd" } else { "#db9" },
                    executed.action.kind
                );
            }
            let violation = self.violations.iter().filter_map(|violation| violation.attempt.as_ref());
            for attempt in violation.filter(|attempt| attempt.to == proxy.address) {
                let (from, to) = (px(attempt.sent), px(attempt.ended));
                let middle = y + ROW_PX / 2;
                let _ = writeln!(
                    svg,
                    "<line x1=\"{from:.1}\" x2=\"{to:.1}\" y1=\"{middle}\" y2=\"{middle}\" \
                     stroke=\"#c00\" stroke-width=\"3\"/>"
                );
            }
        }
        svg.push_str("</svg>\n");
        svg
    }
}

fn attempt_event(attempt: &Attempt) -> String {
    format!(
        "{{\"at_s\":{:.3},\"event\":\"try\",\"id\":\"{}\",\"class\":\"{}\",\"to\":\"{}\",\
         \"opened_s\":{:.3},\"ended_s\":{:.3},\"end\":\"{}\"}}",
        attempt.sent.as_secs_f64(),
        attempt.attempt_id,
        attempt.class,
        attempt.to,
        attempt.opened.as_secs_f64(),
        attempt.ended.as_secs_f64(),
        attempt.end
    )
}

fn json_escaped(text: &str) -> String {
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

fn html_escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
