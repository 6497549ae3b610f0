//! What a run came to.

use crate::judge::Finding;
use std::fmt;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Row {
    pub second: i64,
    pub sent: usize,
    /// Of those sent in this second.
    pub served: usize,
    pub aim: usize,
    pub refused: usize,
    pub failed: usize,
    /// Turned away by workers as full.
    pub full: usize,
    pub ready: usize,
    pub there: usize,
    pub holder: u64,
    /// Slots at work, and slots of ready instances.
    pub busy: usize,
    pub slots: usize,
    pub revision: u64,
    pub happened: Vec<String>,
}

/// Something that went wrong or was done on purpose; seconds from the start of traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Span {
    pub from: f64,
    pub to: f64,
    pub what: String,
}

/// Who held the duty: from its first look at the platform under this number to its last.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub from: f64,
    pub to: f64,
    pub who: String,
    pub number: u64,
}

/// Requests of one route line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    pub name: String,
    pub sent: usize,
    pub served: usize,
    pub aim: usize,
    pub refused: usize,
    pub failed: usize,
    /// Time to a served answer from the first try, ms: median, 99th of a hundred.
    pub took: (f64, f64),
}

/// What sharing slots came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loans {
    /// Between desks, with 28 bytes of IP and UDP each.
    pub letters: usize,
    pub bytes: usize,
    /// The same between zones.
    pub far_bytes: usize,
    pub calls: usize,
    /// From a call to its slot, ms: median, 99th of a hundred.
    pub waits: (f64, f64),
    /// Shares in aim: of priority 0 and 1, and of the rest.
    pub urgent: f64,
    pub others: f64,
    /// Tries ended with 503; runs of one request that may run once beyond the first; requests that came to nothing.
    pub refusals: usize,
    pub doubled: usize,
    pub dropped: usize,
    /// Turned away by workers.
    pub full: usize,
    /// Requests, for what is told by the request.
    pub requests: usize,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub title: String,
    pub seed: u64,
    pub length: f64,
    pub rows: Vec<Row>,
    pub spans: Vec<Span>,
    pub duties: Vec<Held>,
    pub classes: Vec<Class>,
    pub findings: Vec<Finding>,
    pub served: f64,
    pub aim: f64,
    pub starts: usize,
    /// Memory of instances by their time, GB s.
    pub held: f64,
    pub stops: usize,
    /// Of the starts, those of moves.
    pub moves: usize,
    /// Most turned away as full in five seconds, where it counts and anywhere.
    pub limit: (usize, usize),
    pub brushed: usize,
    pub reused: usize,
    pub gap: f64,
    pub slowest_ack: f64,
    /// Seconds from the list's word that an instance drains to the last request that a machine in touch sent there.
    pub last_while_draining: f64,
    pub events: u64,
    pub loans: Loans,
}

impl Report {
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
    }

    /// Mean over the seconds of traffic.
    fn over(&self, of: fn(&Row) -> usize) -> f64 {
        let rows = self.rows.iter().filter(|row| row.second >= 0 && (row.second as f64) < self.length);
        let (sum, count) = rows.fold((0, 0usize), |(sum, count), row| (sum + of(row), count + 1));
        sum as f64 / count.max(1) as f64
    }

    /// Slots at work, and slots there are.
    pub fn busy(&self) -> f64 {
        self.over(|row| row.busy)
    }

    pub fn slots(&self) -> f64 {
        self.over(|row| row.slots)
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
                row.there,
                row.holder,
                row.revision,
                row.happened.join("; "),
            )?;
        }
        writeln!(
            f,
            "served {:.4}, in aim {:.4}, starts {}, stops {}, turned away in 5 s {} ({} anywhere), brushed {}, reused {}, \
             longest without a holder {:.2} s, slowest acknowledgement {:.2} s, last request {:.2} s after a drain, {} events",
            self.served,
            self.aim,
            self.starts,
            self.stops,
            self.limit.0,
            self.limit.1,
            self.brushed,
            self.reused,
            self.gap,
            self.slowest_ack,
            self.last_while_draining,
            self.events,
        )?;
        let loans = &self.loans;
        writeln!(
            f,
            "loans: urgent in aim {:.4}, others {:.4}, refusals {}, doubled {}, dropped {}, turned away {}, slot after {:.1} ms \
             (99 of 100 {:.1}), {:.1} letters and {:.0} bytes a call, {:.0} between zones",
            loans.urgent,
            loans.others,
            loans.refusals,
            loans.doubled,
            loans.dropped,
            loans.full,
            loans.waits.0,
            loans.waits.1,
            loans.letters as f64 / loans.calls.max(1) as f64,
            loans.bytes as f64 / loans.calls.max(1) as f64,
            loans.far_bytes as f64 / loans.calls.max(1) as f64,
        )?;
        writeln!(f, "memory: {:.0} GB·s, {} starts of moves", self.held, self.moves)?;
        for finding in self.findings.iter().take(20) {
            writeln!(f, "BROKEN {finding}")?;
        }
        if self.findings.len() > 20 {
            writeln!(f, "... and {} more", self.findings.len() - 20)?;
        }
        writeln!(f, "{}", if self.holds() { "all holds" } else { "NOT ALL HOLDS" })
    }
}
