//! Results of a run.

use crate::checker::Finding;
use std::fmt;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    pub second: i64,
    pub sent: usize,
    /// This and the next three count the requests sent in this second.
    pub served: usize,
    pub aim: usize,
    pub refused: usize,
    pub failed: usize,
    /// Rejected by workers because all slots were busy.
    pub full: usize,
    pub ready: usize,
    /// Instances that are starting, ready or ending.
    pub present: usize,
    pub holder: u64,
    /// Busy slots, and slots of ready instances.
    pub busy: usize,
    pub slots: usize,
    pub revision: u64,
    pub happened: Vec<String>,
}

/// A fault or an operator action; seconds from the start of traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    pub from: f64,
    pub to: f64,
    pub what: String,
}

/// A period of holding the leadership lease: from the first read of the platform's list under this number
/// to the last.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasePeriod {
    pub from: f64,
    pub to: f64,
    pub holder: String,
    pub number: u64,
}

/// Figures of one route line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteFigures {
    pub name: String,
    pub sent: usize,
    pub served: usize,
    pub aim: usize,
    pub refused: usize,
    pub failed: usize,
    /// Latency of served requests from the first attempt, ms: median, 99th percentile.
    pub latency_ms: (f64, f64),
}

/// Figures on slot sharing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllocationFigures {
    /// Messages between proxies; bytes include 28 for the IP and UDP headers of each.
    pub messages: usize,
    pub bytes: usize,
    /// Bytes of messages between zones.
    pub cross_zone_bytes: usize,
    pub calls: usize,
    /// Time from requesting a slot to getting it, ms: median, 99th percentile.
    pub waits: (f64, f64),
    /// Shares served within the aim: of priorities 0 and 1, and of the rest.
    pub urgent: f64,
    pub others: f64,
    /// Attempts rejected with a guarantee that nothing has run; extra runs of requests that must not be
    /// repeated; requests neither served nor rejected.
    pub refusals: usize,
    pub doubled: usize,
    pub dropped: usize,
    /// Rejected by workers as full.
    pub full: usize,
    /// Requests that had to be served: the base for figures per request.
    pub requests: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub title: String,
    pub seed: u64,
    pub length: f64,
    pub rows: Vec<Row>,
    pub spans: Vec<Span>,
    pub lease_periods: Vec<LeasePeriod>,
    pub route_figures: Vec<RouteFigures>,
    pub findings: Vec<Finding>,
    pub served: f64,
    pub aim: f64,
    pub starts: usize,
    /// Memory of instances over time, GB s.
    pub memory_gb_s: f64,
    pub stops: usize,
    /// Starts made by rebinding moves.
    pub moves: usize,
    /// Most rejections as full in five seconds: outside disturbances, and at any time.
    pub limit: (usize, usize),
    pub brief_hold_rejections: usize,
    pub reused: usize,
    pub gap: f64,
    pub slowest_ack: f64,
    /// Longest time, in seconds, from the list showing that an instance drains to the last request sent
    /// there by a machine in contact.
    pub last_while_draining: f64,
    pub events: u64,
    pub allocation: AllocationFigures,
}

impl Report {
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
    }

    /// Mean over the seconds of traffic.
    fn mean_over_seconds(&self, of: fn(&Row) -> usize) -> f64 {
        let rows = self.rows.iter().filter(|row| row.second >= 0 && (row.second as f64) < self.length);
        let (sum, count) = rows.fold((0, 0usize), |(sum, count), row| (sum + of(row), count + 1));
        sum as f64 / count.max(1) as f64
    }

    /// Mean number of busy slots.
    pub fn busy(&self) -> f64 {
        self.mean_over_seconds(|row| row.busy)
    }

    pub fn slots(&self) -> f64 {
        self.mean_over_seconds(|row| row.slots)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} (seed {})", self.title, self.seed)?;
        writeln!(f, "second  sent served  aim refused failed full ready there holder     rev  happened")?;
        for row in &self.rows {
            writeln!(
                f,
                "{:>6} {:>5} {:>6} {:>4} {:>7} {:>6} {:>4} {:>5} {:>5} {:>10} {:>4}  {}",
                row.second,
                row.sent,
                row.served,
                row.aim,
                row.refused,
                row.failed,
                row.full,
                row.ready,
                row.present,
                row.holder,
                row.revision,
                row.happened.join("; "),
            )?;
        }
        writeln!(
            f,
            "served {:.4}, in aim {:.4}, starts {}, stops {}, turned away in 5 s {} ({} anywhere), \
             brushed {}, \
             reused {}, longest without a holder {:.2} s, slowest acknowledgement {:.2} s, \
             last request {:.2} s after a drain, {} events",
            self.served,
            self.aim,
            self.starts,
            self.stops,
            self.limit.0,
            self.limit.1,
            self.brief_hold_rejections,
            self.reused,
            self.gap,
            self.slowest_ack,
            self.last_while_draining,
            self.events,
        )?;
        let allocation = &self.allocation;
        writeln!(
            f,
            "loans: urgent in aim {:.4}, others {:.4}, refusals {}, doubled {}, dropped {}, turned away {}, \
             slot after {:.1} ms \
             (99 of 100 {:.1}), {:.1} letters and {:.0} bytes a call, {:.0} between zones",
            allocation.urgent,
            allocation.others,
            allocation.refusals,
            allocation.doubled,
            allocation.dropped,
            allocation.full,
            allocation.waits.0,
            allocation.waits.1,
            allocation.messages as f64 / allocation.calls.max(1) as f64,
            allocation.bytes as f64 / allocation.calls.max(1) as f64,
            allocation.cross_zone_bytes as f64 / allocation.calls.max(1) as f64,
        )?;
        writeln!(f, "memory: {:.0} GB·s, {} starts of moves", self.memory_gb_s, self.moves)?;
        for finding in self.findings.iter().take(20) {
            writeln!(f, "BROKEN {finding}")?;
        }
        if self.findings.len() > 20 {
            writeln!(f, "... and {} more", self.findings.len() - 20)?;
        }
        writeln!(f, "{}", if self.holds() { "all holds" } else { "NOT ALL HOLDS" })
    }
}
