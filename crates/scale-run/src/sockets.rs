//! Bytes and segments of TCP sockets by process, as `ss` reads them from the kernel.

use std::collections::BTreeMap;
use std::process::Command;

/// Traffic of sockets.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Traffic {
    pub sent: u64,
    pub received: u64,
    /// Segments with data; roughly messages, except that long ones are split and small ones coalesced.
    pub segments_sent: u64,
    pub segments_received: u64,
}

impl Traffic {
    fn add(self, other: Traffic) -> Traffic {
        Traffic {
            sent: self.sent + other.sent,
            received: self.received + other.received,
            segments_sent: self.segments_sent + other.segments_sent,
            segments_received: self.segments_received + other.segments_received,
        }
    }

    fn subtract(self, other: Traffic) -> Traffic {
        Traffic {
            sent: self.sent.saturating_sub(other.sent),
            received: self.received.saturating_sub(other.received),
            segments_sent: self.segments_sent.saturating_sub(other.segments_sent),
            segments_received: self.segments_received.saturating_sub(other.segments_received),
        }
    }
}

/// A socket: its two ends and the owning process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Socket {
    pub local: String,
    pub peer: String,
    pub process: u32,
}

/// All established sockets with this port at one end.
pub type Sample = BTreeMap<Socket, Traffic>;

/// Runs `ss`. Empty if it is not installed.
pub fn sample(port: u16) -> Sample {
    let filter = format!("( sport = :{port} or dport = :{port} )");
    let out = Command::new("ss").args(["-tinpHO", "state", "established", &filter]).output();
    out.map(|out| read(&String::from_utf8_lossy(&out.stdout))).unwrap_or_default()
}

/// Parses the lines of `ss -tinpHO`.
pub fn read(text: &str) -> Sample {
    text.lines().filter_map(line).collect()
}

fn line(line: &str) -> Option<(Socket, Traffic)> {
    let mut fields = line.split_whitespace().skip(2);
    let (local, peer) = (fields.next()?.to_string(), fields.next()?.to_string());
    let process = line.split_once("pid=")?.1.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()?;
    let field = |name: &str| {
        line.split_whitespace().find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok()).unwrap_or(0)
    };
    let traffic = Traffic {
        sent: field("bytes_sent:"),
        received: field("bytes_received:"),
        segments_sent: field("data_segs_out:"),
        segments_received: field("data_segs_in:"),
    };
    Some((Socket { local, peer, process }, traffic))
}

/// Traffic between two samples, by process. Traffic of sockets that closed in between is not counted.
pub fn between(before: &Sample, after: &Sample) -> BTreeMap<u32, Traffic> {
    let mut sums: BTreeMap<u32, Traffic> = BTreeMap::new();
    for (socket, traffic) in after {
        let sum = sums.entry(socket.process).or_default();
        *sum = sum.add(traffic.subtract(before.get(socket).copied().unwrap_or_default()));
    }
    sums
}

/// Number of sockets of each process.
pub fn counts(sample: &Sample) -> BTreeMap<u32, usize> {
    let mut counts = BTreeMap::new();
    for socket in sample.keys() {
        *counts.entry(socket.process).or_default() += 1;
    }
    counts
}
