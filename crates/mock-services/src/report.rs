//! The results of a load: a table in text, and latency over time as SVG.

use crate::clients::{Class, Outcome, RequestRecord};
use std::fmt::Write;
use std::time::Duration;

/// The figures of one class, or of all.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Row {
    pub name: String,
    pub sent: usize,
    pub on_time: usize,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    /// Of the served requests; zero if there are none.
    pub p50: Duration,
    pub p99: Duration,
}

/// The smallest of the sorted values such that this fraction of them does not exceed it.
pub fn percentile(sorted: &[Duration], fraction: f64) -> Duration {
    let rank = (fraction * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or_default()
}

fn row(name: &str, done: &[&RequestRecord]) -> Row {
    let count = |outcome: Outcome| done.iter().filter(|d| d.outcome == outcome).count();
    let served = |d: &&&RequestRecord| matches!(d.outcome, Outcome::OnTime | Outcome::Late);
    let mut took: Vec<Duration> = done.iter().filter(served).map(|d| d.took).collect();
    took.sort();
    Row {
        name: name.into(),
        sent: done.len(),
        on_time: count(Outcome::OnTime),
        late: count(Outcome::Late),
        refused: count(Outcome::Refused),
        failed: count(Outcome::Failed),
        p50: percentile(&took, 0.5),
        p99: percentile(&took, 0.99),
    }
}

/// One row for each class, and a last one for all.
pub fn rows(classes: &[Class], done: &[RequestRecord]) -> Vec<Row> {
    let of = |index: usize| done.iter().filter(|d| d.class == index).collect::<Vec<_>>();
    let mut rows: Vec<Row> = classes.iter().enumerate().map(|(n, class)| row(&class.name, &of(n))).collect();
    rows.push(row("all", &done.iter().collect::<Vec<_>>()));
    rows
}

pub fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<14}{:>8}{:>8}{:>8}{:>9}{:>8}{:>9}{:>9}\n",
        "class", "asked", "in aim", "late", "refused", "failed", "p50 ms", "p99 ms"
    );
    for row in rows {
        let ms = |took: Duration| if row.on_time + row.late == 0 { "-".into() } else { millis(took) };
        let _ = writeln!(
            text,
            "{:<14}{:>8}{:>8}{:>8}{:>9}{:>8}{:>9}{:>9}",
            row.name,
            row.sent,
            row.on_time,
            row.late,
            row.refused,
            row.failed,
            ms(row.p50),
            ms(row.p99)
        );
    }
    text
}

fn millis(took: Duration) -> String {
    format!("{:.1}", took.as_secs_f64() * 1000.0)
}

// The plot, in pixels.
const WIDTH: f64 = 960.0;
const HEIGHT: f64 = 400.0;
const LEFT: f64 = 64.0;
const RIGHT: f64 = 16.0;
const TOP: f64 = 48.0;
const BOTTOM: f64 = 48.0;
const COLOURS: [&str; 6] = ["#1f6f8b", "#c8553d", "#588b3a", "#7a4fa3", "#b38600", "#444444"];

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Plots latency over time: a dot for each served request, coloured by class; a cross for each other request,
/// at the time it took until it was given up; a line for the median of each half second. `marks` are labels
/// at points in time.
pub fn svg(title: &str, classes: &[Class], done: &[RequestRecord], marks: &[(Duration, String)]) -> String {
    let last = done.iter().map(|d| d.at.as_secs_f64()).fold(1.0, f64::max);
    let max_ms = done.iter().map(|d| d.took.as_secs_f64() * 1000.0).fold(100.0, f64::max);
    let decades = max_ms.log10().ceil().clamp(2.0, 6.0);
    let x = |s: f64| LEFT + s / last * (WIDTH - LEFT - RIGHT);
    let y = |ms: f64| HEIGHT - BOTTOM - ms.max(1.0).log10() / decades * (HEIGHT - TOP - BOTTOM);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{LEFT}\" y=\"18\" \
         font-size=\"14\">{}</text>\n",
        escaped(title)
    );
    // Writing to a String cannot fail, here and below.
    for power in 0..=decades as i32 {
        let ms = 10f64.powi(power);
        let _ = writeln!(
            out,
            "<line x1=\"{LEFT}\" x2=\"{:.1}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ddd\"/><text x=\"{:.1}\" \
             y=\"{:.1}\" text-anchor=\"end\">{ms} ms</text>",
            WIDTH - RIGHT,
            LEFT - 6.0,
            y(ms) + 4.0,
            y = y(ms)
        );
    }
    let step =
        [0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0].into_iter().find(|s| last / s <= 12.0).unwrap_or(600.0);
    for n in 0..=(last / step) as usize {
        let at = n as f64 * step;
        let _ = writeln!(
            out,
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{at} s</text>",
            x(at),
            HEIGHT - BOTTOM + 18.0
        );
    }
    for (at, label) in marks {
        let at = x(at.as_secs_f64().min(last));
        let _ = writeln!(
            out,
            "<line x1=\"{at:.1}\" x2=\"{at:.1}\" y1=\"{TOP}\" y2=\"{:.1}\" stroke=\"#999\" \
             stroke-dasharray=\"4 3\"/><text x=\"{:.1}\" y=\"{:.1}\" fill=\"#666\">{}</text>",
            HEIGHT - BOTTOM,
            at + 4.0,
            TOP + 10.0,
            escaped(label)
        );
    }
    for d in done {
        let (at, ms) = (x(d.at.as_secs_f64()), y(d.took.as_secs_f64() * 1000.0));
        let colour = COLOURS[d.class % COLOURS.len()];
        let _ = match d.outcome {
            Outcome::OnTime | Outcome::Late => writeln!(
                out,
                "<circle cx=\"{at:.1}\" cy=\"{ms:.1}\" r=\"2\" fill=\"{colour}\" fill-opacity=\"0.6\"/>"
            ),
            Outcome::Refused | Outcome::Failed => writeln!(
                out,
                "<path d=\"M{:.1} {:.1}l8 8m0 -8l-8 8\" stroke=\"{colour}\" stroke-width=\"2\"/>",
                at - 4.0,
                ms - 4.0
            ),
        };
    }
    let mut line = String::new();
    for n in 0..(last * 2.0) as u32 + 1 {
        let (from, to) = (Duration::from_millis(500) * n, Duration::from_millis(500) * (n + 1));
        let served = |d: &&RequestRecord| {
            (from..to).contains(&d.at) && matches!(d.outcome, Outcome::OnTime | Outcome::Late)
        };
        let mut took: Vec<Duration> = done.iter().filter(served).map(|d| d.took).collect();
        took.sort();
        if !took.is_empty() {
            let middle = percentile(&took, 0.5).as_secs_f64() * 1000.0;
            let at = x((f64::from(n) * 0.5 + 0.25).min(last));
            let _ = write!(line, "{at:.1},{:.1} ", y(middle));
        }
    }
    let _ = writeln!(
        out,
        "<polyline points=\"{}\" fill=\"none\" stroke=\"black\" stroke-width=\"1.5\"/>",
        line.trim_end()
    );
    let mut at = LEFT;
    let names = classes.iter().enumerate().map(|(n, c)| (COLOURS[n % COLOURS.len()], c.name.as_str()));
    for (colour, name) in names.chain([("black", "median"), ("#999", "x: not served")]) {
        let _ = writeln!(
            out,
            "<rect x=\"{at:.1}\" y=\"28\" width=\"9\" height=\"9\" fill=\"{colour}\"/><text x=\"{:.1}\" \
             y=\"36\">{}</text>",
            at + 13.0,
            escaped(name)
        );
        at += 30.0 + 7.0 * name.chars().count() as f64;
    }
    out.push_str("</svg>\n");
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    #[case(&[], 0.5, 0)]
    #[case(&[7], 0.99, 7)]
    #[case(&[1, 2, 3, 4], 0.5, 2)]
    #[case(&[1, 2, 3, 4], 0.99, 4)]
    fn a_percentile_is_one_of_the_values(#[case] ms: &[u64], #[case] fraction: f64, #[case] wanted: u64) {
        let sorted: Vec<Duration> = ms.iter().map(|ms| Duration::from_millis(*ms)).collect();
        assert_eq!(percentile(&sorted, fraction), Duration::from_millis(wanted));
    }

    #[test]
    fn rows_count_outcomes_and_the_plot_shows_every_request() {
        let class = |name: &str| Class {
            name: name.into(),
            method: "GET".into(),
            hostname: String::new(),
            path: String::new(),
            service: String::new(),
            repeatable: true,
            share: 1.0,
            target_latency: Duration::ZERO,
            deadline: Duration::ZERO,
            work: Duration::ZERO,
            answer_bytes: 0,
            body_bytes: 0,
        };
        let done = |class, ms, outcome| RequestRecord {
            class,
            at: Duration::from_millis(ms * 10),
            took: Duration::from_millis(ms),
            outcome,
            attempts: 1,
        };
        let classes = [class("a<b"), class("c")];
        let all = [done(0, 10, Outcome::OnTime), done(0, 30, Outcome::Late), done(1, 50, Outcome::Refused)];
        let rows = rows(&classes, &all);
        assert_eq!((rows[0].sent, rows[0].on_time, rows[0].late, rows[1].refused), (2, 1, 1, 1));
        assert_eq!((rows[2].sent, rows[2].p99), (3, Duration::from_millis(30)));
        assert_eq!(table(&rows).lines().count(), 4);
        let plot = svg("t", &classes, &all, &[(Duration::from_millis(100), "x & y".into())]);
        assert_eq!((plot.matches("<circle").count(), plot.matches("<path").count()), (2, 1));
        assert!(plot.contains("a&lt;b") && plot.contains("x &amp; y"), "{plot}");
    }
}
