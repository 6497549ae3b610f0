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
    pub revision: u64,
    pub happened: Vec<String>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    pub title: String,
    pub seed: u64,
    pub rows: Vec<Row>,
    pub findings: Vec<Finding>,
    pub served: f64,
    pub aim: f64,
    pub starts: usize,
    pub stops: usize,
    /// Most turned away as full in five seconds, where it counts and anywhere.
    pub limit: (usize, usize),
    pub brushed: usize,
    pub reused: usize,
    pub gap: f64,
    pub slowest_ack: f64,
    pub events: u64,
}

impl Report {
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
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
             longest without a holder {:.2} s, slowest acknowledgement {:.2} s, {} events",
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
            self.events,
        )?;
        for finding in self.findings.iter().take(20) {
            writeln!(f, "BROKEN {finding}")?;
        }
        if self.findings.len() > 20 {
            writeln!(f, "... and {} more", self.findings.len() - 20)?;
        }
        writeln!(f, "{}", if self.holds() { "all holds" } else { "NOT ALL HOLDS" })
    }
}
