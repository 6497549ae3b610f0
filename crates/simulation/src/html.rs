//! HTML report of `tindock play`: one file with plots as inline SVG and no external resources.

use crate::command::{spread, Group, MEASURES};
use crate::report::{LeasePeriod, Report, Row, Span};
use crate::setting::mean;
use std::collections::BTreeMap;
use std::fmt::Write;

const WIDTH: f64 = 960.0;
const LEFT: f64 = 56.0;
const RIGHT: f64 = 16.0;
const TOP: f64 = 10.0;
const HEIGHT: f64 = 150.0;
/// Height of one row of the time line.
const BAR_HEIGHT: f64 = 18.0;
/// Rows of the time line and findings shown; the rest is only counted.
const MAX_LINES: usize = 40;
const MAX_FINDINGS: usize = 50;

const STYLE: &str = "body{font:14px/1.45 \
    system-ui,sans-serif;color:#1b1f24;background:#fff;max-width:980px;margin:1.5em auto;padding:0 1em}\
h1{font-size:20px;margin:0}h2{font-size:15px;margin:1.6em 0 .3em}p{margin:.3em 0}\
table{border-collapse:collapse;margin:.4em 0;font-variant-numeric:tabular-nums}\
th,td{padding:.15em .6em;white-space:nowrap;text-align:right;border-bottom:1px solid \
    #e3e6ea}th:first-child,td:first-child{text-align:left}\
.wide{overflow-x:auto}.key span{display:inline-block;margin-right:1.2em}.key \
    i{display:inline-block;width:.8em;height:.8em;margin-right:.35em}\
.well{color:#17693a}.broken{color:#a31621}svg{display:block;width:100%;height:auto}svg text{font:11px \
    system-ui,sans-serif;fill:#4a525b}";

const GREEN: &str = "#2f9e5f";
const YELLOW: &str = "#e0b93b";
const ORANGE: &str = "#e07b39";
const RED: &str = "#c62f3b";
const BLUE: &str = "#3b73c4";
const GREY: &str = "#b6bec8";

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Time range of a plot, mapped to x coordinates.
struct Time {
    from: f64,
    to: f64,
}

/// First second shown, shortly before traffic starts.
const FIRST_SECOND: i64 = -2;

impl Time {
    fn of(report: &Report) -> Time {
        let last = report.rows.last().map_or(1.0, |row| row.second as f64 + 1.0);
        Time { from: FIRST_SECOND as f64, to: last.max(1.0) }
    }

    fn x(&self, at: f64) -> f64 {
        let share = (at.clamp(self.from, self.to) - self.from) / (self.to - self.from);
        LEFT + share * (WIDTH - LEFT - RIGHT)
    }

    /// Grid lines and labels of the time axis.
    fn axis(&self, out: &mut String, height: f64) {
        let step = step(self.to - self.from, 12.0);
        // Adding 0 turns -0 into 0.
        let mut at = (self.from / step).ceil() * step + 0.0;
        while at <= self.to {
            let x = self.x(at);
            let _ = write!(
                out,
                "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{TOP}\" y2=\"{:.1}\" stroke=\"#eef0f3\"/>\
                 <text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{at} s</text>",
                TOP + height,
                TOP + height + 14.0,
            );
            at += step;
        }
    }
}

/// Step of 1, 2 or 5 times a power of ten that gives about `steps` steps.
fn step(all: f64, steps: f64) -> f64 {
    let rough = (all / steps).max(1e-9);
    let ten = 10f64.powf(rough.log10().floor());
    let times = [1.0, 2.0, 5.0].into_iter().find(|times| times * ten >= rough * 0.999);
    (times.unwrap_or(10.0) * ten).max(f64::MIN_POSITIVE)
}

fn begin(out: &mut String, height: f64, name: &str) {
    let _ = write!(
        out,
        "<svg viewBox=\"0 0 {WIDTH} {:.0}\" role=\"img\" aria-label=\"{}\">",
        TOP + height + 20.0,
        escaped(name)
    );
}

/// Grid lines and labels of the value axis, up to `max_value`.
fn scale(out: &mut String, max_value: f64) {
    let step = step(max_value, 4.0).max(1.0);
    let mut value = 0.0;
    while value <= max_value {
        let y = y(value, max_value);
        let _ = write!(
            out,
            "<line x1=\"{LEFT}\" x2=\"{:.1}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#e3e6ea\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{value}</text>",
            WIDTH - RIGHT,
            LEFT - 6.0,
            y + 4.0,
        );
        value += step;
    }
}

fn y(value: f64, max_value: f64) -> f64 {
    TOP + HEIGHT * (1.0 - (value / max_value.max(1.0)).clamp(0.0, 1.0))
}

fn key(out: &mut String, parts: &[(&str, &str)]) {
    out.push_str("<p class=\"key\">");
    for (colour, what) in parts {
        let _ = write!(out, "<span><i style=\"background:{colour}\"></i>{}</span>", escaped(what));
    }
    out.push_str("</p>");
}

fn requests(out: &mut String, report: &Report, time: &Time) {
    out.push_str("<h2>Requests, by the second in which they were sent</h2>");
    key(out, &[(GREEN, "served in aim"), (YELLOW, "served later"), (ORANGE, "refused"), (RED, "failed")]);
    let max_value = report.rows.iter().map(|row| row.sent).max().unwrap_or(0).max(1) as f64;
    begin(out, HEIGHT, "requests by second");
    time.axis(out, HEIGHT);
    scale(out, max_value);
    for row in report.rows.iter().filter(|row| row.sent > 0) {
        let (from, to) = (time.x(row.second as f64), time.x(row.second as f64 + 1.0));
        let _ = write!(
            out,
            "<g><title>second {}: sent {}, in aim {}, later {}, refused {}, failed {}</title>",
            row.second,
            row.sent,
            row.aim,
            row.served - row.aim,
            row.refused,
            row.failed
        );
        let mut below = 0.0;
        let parts =
            [(row.aim, GREEN), (row.served - row.aim, YELLOW), (row.refused, ORANGE), (row.failed, RED)];
        for (count, colour) in parts.into_iter().filter(|(count, _)| *count > 0) {
            let (low, high) = (y(below, max_value), y(below + count as f64, max_value));
            let _ = write!(
                out,
                "<rect x=\"{from:.1}\" y=\"{high:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{colour}\"/>",
                (to - from - 0.6).max(0.4),
                low - high
            );
            below += count as f64;
        }
        out.push_str("</g>");
    }
    out.push_str("</svg>");
}

/// Step curve of one figure, filled down to the axis or as a line.
fn steps(
    out: &mut String,
    rows: &[Row],
    time: &Time,
    max_value: f64,
    (colour, filled): (&str, bool),
    of: fn(&Row) -> usize,
) {
    let mut path = String::new();
    let rows = &rows[rows.partition_point(|row| row.second < FIRST_SECOND)..];
    let (Some(first), Some(last)) = (rows.first(), rows.last()) else { return };
    for row in rows {
        let (from, to) = (time.x(row.second as f64), time.x(row.second as f64 + 1.0));
        let at = y(of(row) as f64, max_value);
        let _ = write!(path, "{}{from:.1},{at:.1}L{to:.1},{at:.1}", if path.is_empty() { "M" } else { "L" });
    }
    if filled {
        let done_sender = (time.x(last.second as f64 + 1.0), time.x(first.second as f64), y(0.0, max_value));
        let _ = write!(
            path,
            "L{:.1},{:.1}L{:.1},{:.1}Z",
            done_sender.0, done_sender.2, done_sender.1, done_sender.2
        );
        let _ = write!(out, "<path d=\"{path}\" fill=\"{colour}\"/>");
    } else {
        let _ = write!(out, "<path d=\"{path}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"1.6\"/>");
    }
}

type Figure = fn(&Row) -> usize;

fn pair(
    out: &mut String,
    report: &Report,
    time: &Time,
    title: &str,
    (filled, fill_name): (Figure, &str),
    (line, line_name): (Figure, &str),
) {
    let _ = write!(out, "<h2>{title}</h2>");
    key(out, &[(BLUE, fill_name), (RED, line_name)]);
    let max_value = report.rows.iter().map(|row| filled(row).max(line(row))).max().unwrap_or(0).max(1) as f64;
    begin(out, HEIGHT, title);
    time.axis(out, HEIGHT);
    steps(out, &report.rows, time, max_value, (BLUE, true), filled);
    scale(out, max_value);
    steps(out, &report.rows, time, max_value, (RED, false), line);
    out.push_str("</svg>");
}

fn bar(out: &mut String, time: &Time, line: usize, (from, to): (f64, f64), colour: &str, what: &str) {
    let (x, end) = (time.x(from), time.x(to));
    let top = TOP + line as f64 * BAR_HEIGHT + 3.0;
    let _ = write!(
        out,
        "<rect x=\"{x:.1}\" y=\"{top:.1}\" width=\"{:.1}\" height=\"{:.1}\" rx=\"2\" \
            fill=\"{colour}\"><title>{} \
         ({from:.2} to {to:.2} s)</title></rect>",
        (end - x).max(3.0),
        BAR_HEIGHT - 6.0,
        escaped(what)
    );
    // Puts the label to the right of the bar if it fits, else to the left.
    let width = what.chars().count() as f64 * 5.8;
    let (at, anchor) =
        if end + 6.0 + width < WIDTH { (end.max(x + 3.0) + 5.0, "start") } else { (x - 5.0, "end") };
    let _ = write!(
        out,
        "<text x=\"{at:.1}\" y=\"{:.1}\" text-anchor=\"{anchor}\">{}</text>",
        top + BAR_HEIGHT - 8.0,
        escaped(what)
    );
}

fn time_line(out: &mut String, report: &Report, time: &Time) {
    out.push_str("<h2>Events and lease holders</h2>");
    key(
        out,
        &[
            (ORANGE, "fault or operator action"),
            (BLUE, "held the leadership lease (starts and stops instances)"),
            (RED, "rule broken"),
        ],
    );
    let spans: Vec<&Span> = report.spans.iter().filter(|span| span.to >= time.from).take(MAX_LINES).collect();
    let mut holders: BTreeMap<&str, Vec<&LeasePeriod>> = BTreeMap::new();
    for held in report.lease_periods.iter().filter(|held| held.to >= time.from) {
        holders.entry(&held.holder).or_default().push(held);
    }
    let lines = spans.len() + holders.len().min(MAX_LINES) + usize::from(!report.findings.is_empty());
    let height = lines.max(1) as f64 * BAR_HEIGHT;
    begin(out, height, "time line");
    time.axis(out, height);
    for (line, span) in spans.iter().enumerate() {
        bar(out, time, line, (span.from, span.to), ORANGE, &span.what);
    }
    for (k, (holder, held)) in holders.into_iter().take(MAX_LINES).enumerate() {
        let line = spans.len() + k;
        for (n, held) in held.iter().enumerate() {
            let name = if n == 0 { holder } else { "" };
            bar(out, time, line, (held.from.max(time.from), held.to), BLUE, name);
        }
    }
    if !report.findings.is_empty() {
        let at = TOP + lines as f64 * BAR_HEIGHT - 5.0;
        let _ = write!(out, "<text x=\"{:.1}\" y=\"{at:.1}\" text-anchor=\"end\">broken</text>", LEFT - 6.0);
    }
    for finding in report.findings.iter().take(MAX_FINDINGS) {
        let (x, top) = (time.x(finding.at), TOP + (lines - 1) as f64 * BAR_HEIGHT + 3.0);
        let _ = write!(
            out,
            "<rect x=\"{:.1}\" y=\"{top:.1}\" width=\"3\" height=\"{:.1}\" \
                fill=\"{RED}\"><title>{}</title></rect>",
            x - 1.5,
            BAR_HEIGHT - 6.0,
            escaped(&finding.to_string())
        );
    }
    out.push_str("</svg>");
    if report.spans.len() > MAX_LINES {
        let _ = write!(out, "<p>and {} more</p>", report.spans.len() - MAX_LINES);
    }
}

fn route_figures(out: &mut String, report: &Report) {
    out.push_str(
        "<h2>By route</h2><table><tr><th>route<th>sent<th>served<th>in \
        aim<th>refused<th>failed<th>median, ms<th>99 of 100, ms</tr>",
    );
    for class in &report.route_figures {
        let _ = write!(
            out,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.1}<td>{:.1}</tr>",
            escaped(&class.name),
            class.sent,
            class.served,
            class.aim,
            class.refused,
            class.failed,
            class.latency_ms.0,
            class.latency_ms.1
        );
    }
    out.push_str("</table>");
}

fn findings(out: &mut String, report: &Report) {
    if report.holds() {
        return;
    }
    let _ = write!(out, "<p class=\"broken\">{} findings:</p><ul class=\"broken\">", report.findings.len());
    for finding in report.findings.iter().take(MAX_FINDINGS) {
        let _ = write!(out, "<li>{}</li>", escaped(&finding.to_string()));
    }
    out.push_str("</ul>");
}

/// Means with confidence intervals, one row for each value of the setting.
fn means(out: &mut String, groups: &[Group], name: Option<&str>) {
    let seeds = groups.first().map_or(0, |group| group.reports.len());
    let _ = write!(out, "<h2>Means, seeds: {seeds}</h2><p>± half of the 95 % interval (Student's t)</p>");
    let _ = write!(out, "<div class=\"wide\"><table><tr><th>{}", escaped(name.unwrap_or("")));
    for (measure, ..) in MEASURES {
        let _ = write!(out, "<th>{measure}");
    }
    out.push_str("<th>broken runs</tr>");
    for group in groups {
        let _ = write!(out, "<tr><td>{}", escaped(group.value.as_deref().unwrap_or("as it is")));
        for (_, digits, of) in MEASURES {
            let values: Vec<f64> = group.reports.iter().map(of).collect();
            let _ = write!(out, "<td>{}", spread(&values, digits));
        }
        let _ = write!(out, "<td>{}</tr>", group.reports.iter().filter(|report| !report.holds()).count());
    }
    out.push_str("</table></div>");
}

/// Shares served and served within the aim, over the values of the setting.
fn sweep(out: &mut String, groups: &[Group], name: &str) {
    let _ = write!(out, "<h2>Shares over {}</h2>", escaped(name));
    key(out, &[(GREEN, "in aim"), (BLUE, "served")]);
    let measured = |of: fn(&Report) -> f64| -> Vec<(f64, f64)> {
        let each = groups.iter().map(|group| mean(&group.reports.iter().map(of).collect::<Vec<_>>()));
        each.map(|(mean, half)| (mean, half.unwrap_or(0.0))).collect()
    };
    let both = [(measured(|report| report.aim), GREEN, -7.0), (measured(|report| report.served), BLUE, 7.0)];
    let values = both.iter().flat_map(|(values, ..)| values);
    let low = values.map(|(mean, half)| mean - half).fold(1.0, f64::min).max(0.0);
    let low = (low * 20.0).floor() / 20.0;
    let low = if low >= 1.0 { 0.95 } else { low };
    let y = |share: f64| TOP + HEIGHT * (1.0 - ((share - low) / (1.0 - low)).clamp(0.0, 1.0));
    begin(out, HEIGHT, "shares by value");
    for n in 0..=4 {
        let share = low + (1.0 - low) * f64::from(n) / 4.0;
        let _ = write!(
            out,
            "<line x1=\"{LEFT}\" x2=\"{:.1}\" y1=\"{:.1}\" y2=\"{:.1}\" stroke=\"#e3e6ea\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{share:.3}</text>",
            WIDTH - RIGHT,
            y(share),
            y(share),
            LEFT - 6.0,
            y(share) + 4.0,
        );
    }
    let width = (WIDTH - LEFT - RIGHT) / groups.len().max(1) as f64;
    for (n, group) in groups.iter().enumerate() {
        let x = LEFT + width * (n as f64 + 0.5);
        let value = escaped(group.value.as_deref().unwrap_or(""));
        let below = TOP + HEIGHT + 14.0;
        let _ = write!(out, "<text x=\"{x:.1}\" y=\"{below:.1}\" text-anchor=\"middle\">{value}</text>");
        for (values, colour, aside) in &both {
            let (mean, half) = values[n];
            let x = x + aside;
            let _ = write!(
                out,
                "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{:.1}\" y2=\"{:.1}\" stroke=\"{GREY}\" \
                    stroke-width=\"3\"/>\
                 <circle cx=\"{x:.1}\" cy=\"{:.1}\" r=\"4\" fill=\"{colour}\"><title>{mean:.4} \
                     ±{half:.4}</title></circle>",
                y(mean - half),
                y(mean + half),
                y(mean)
            );
        }
    }
    out.push_str("</svg>");
}

pub fn page(groups: &[Group], name: Option<&str>) -> String {
    let all = || groups.iter().flat_map(|group| group.reports.iter().map(move |report| (group, report)));
    // Shows the worst run: one with findings if there is any, with the lowest share within the aim.
    let worst = all().min_by(|(_, a), (_, b)| a.holds().cmp(&b.holds()).then(a.aim.total_cmp(&b.aim)));
    let title = escaped(worst.map_or("", |(_, report)| &report.title));
    let mut out = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\"><meta name=\"viewport\" \
            content=\"width=device-width\">\
         <title>{title}</title><style>{STYLE}</style>\n<h1>{title}</h1>"
    );
    let broken = all().filter(|(_, report)| !report.holds()).count();
    let _ = write!(
        out,
        "<p>Played by tindock {} on simulated time, {}: {}.</p>",
        env!("CARGO_PKG_VERSION"),
        if all().count() == 1 { "once".to_string() } else { format!("{} runs", all().count()) },
        match broken {
            0 if all().count() == 1 =>
                "<span class=\"well\">every rule and expectation holds</span>".to_string(),
            0 => "<span class=\"well\">every rule and expectation holds in all</span>".to_string(),
            _ if all().count() == 1 => {
                "<span class=\"broken\">a rule or an expectation is broken</span>".to_string()
            }
            n => format!("<span class=\"broken\">a rule or an expectation is broken in {n} of them</span>"),
        }
    );
    if all().count() > 1 {
        means(&mut out, groups, name);
    }
    if let Some(name) = name {
        sweep(&mut out, groups, name);
    }
    let Some((group, report)) = worst else { return out };
    if all().count() > 1 {
        let with = match (name, &group.value) {
            (Some(name), Some(value)) => format!(", {} = {}", escaped(name), escaped(value)),
            _ => String::new(),
        };
        let _ = write!(out, "<h1 style=\"margin-top:1.5em\">The worst run: seed {}{with}</h1>", report.seed);
    } else {
        let _ = write!(out, "<p>Seed {}.</p>", report.seed);
    }
    let _ = write!(
        out,
        "<p>Served {:.4}, in aim {:.4}; {} starts and {} stops of instances; longest without a lease \
            holder {:.2} s; \
         slowest acknowledgement of a configuration {:.2} s.</p>",
        report.served, report.aim, report.starts, report.stops, report.gap, report.slowest_ack
    );
    findings(&mut out, report);
    let time = Time::of(report);
    requests(&mut out, report, &time);
    pair(
        &mut out,
        report,
        &time,
        "Slots",
        (|row| row.busy, "at work"),
        (|row| row.slots, "of ready instances"),
    );
    pair(
        &mut out,
        report,
        &time,
        "Instances",
        (|row| row.ready, "ready"),
        (|row| row.present, "ready, starting or ending"),
    );
    time_line(&mut out, report, &time);
    route_figures(&mut out, report);
    out.push_str("</html>\n");
    out
}
