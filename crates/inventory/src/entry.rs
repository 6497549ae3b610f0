//! One worker of an inventory, with its place in the file.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

/// A place in a file; lines and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub file: Arc<str>,
    pub line: usize,
    pub column: usize,
}

impl Place {
    pub fn start(file: &str) -> Self {
        Place { file: file.into(), line: 1, column: 1 }
    }

    /// The place after these bytes of the file.
    pub fn after(&self, bytes: &[u8]) -> Self {
        let line = 1 + bytes.iter().filter(|&&b| b == b'\n').count();
        let last = bytes.rsplit(|&b| b == b'\n').next().unwrap_or_default();
        let column = 1 + String::from_utf8_lossy(last).chars().count();
        Place { file: self.file.clone(), line, column }
    }

    pub fn problem(&self, what: impl Into<String>) -> Problem {
        Problem { place: self.clone(), what: what.into() }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error in a file, with its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    pub place: Place,
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

/// `value` if there are no problems.
pub fn ok_if_none<T>(problems: Vec<Problem>, value: T) -> Result<T, Vec<Problem>> {
    if problems.is_empty() {
        Ok(value)
    } else {
        Err(problems)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Host {
    Ip(IpAddr),
    /// A host name, to be resolved by the caller.
    Name(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Address {
    pub host: Host,
    pub port: u16,
}

impl Address {
    /// Parses `host:port`; a v6 host has to be in brackets.
    pub fn parse(text: &str) -> Result<Self, String> {
        let expected = || format!("{text:?} is no address; host:port was expected");
        let (host, port) = text.rsplit_once(':').ok_or_else(expected)?;
        Self::of(host, port).map_err(|why| format!("{text:?}: {why}"))
    }

    pub fn of(host: &str, port: &str) -> Result<Self, String> {
        let digits = !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit());
        let port = port.parse().ok().filter(|&port| port > 0 && digits);
        let port = port.ok_or("no port from 1 to 65535")?;
        let bare = host.strip_prefix('[').and_then(|h| h.strip_suffix(']'));
        let host = match (bare, host.parse::<IpAddr>()) {
            (Some(bare), _) => {
                Host::Ip(IpAddr::V6(bare.parse().map_err(|_| "no v6 address in the brackets")?))
            }
            (None, Ok(IpAddr::V6(_))) => return Err("a v6 address has to be in brackets".into()),
            (None, Ok(ip)) => Host::Ip(ip),
            (None, Err(_)) => Host::Name(host_name(host)?),
        };
        Ok(Address { host, port })
    }
}

/// A host name in lower case: labels of letters, digits, `-` and `_`. Names that could be an address are
/// refused.
fn host_name(text: &str) -> Result<String, String> {
    let label = |l: &str| {
        let plain = l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        (1..=63).contains(&l.len()) && plain && !l.starts_with('-') && !l.ends_with('-')
    };
    let name = text.strip_suffix('.').unwrap_or(text);
    let last = name.rsplit('.').next().unwrap_or_default();
    let numeric = last.bytes().all(|b| b.is_ascii_digit());
    if name.len() > 253 || !name.split('.').all(label) || numeric {
        return Err(format!("{text:?} is neither an address nor a host name"));
    }
    Ok(name.to_ascii_lowercase())
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.host {
            Host::Ip(IpAddr::V6(ip)) => write!(f, "[{ip}]:{}", self.port),
            Host::Ip(ip) => write!(f, "{ip}:{}", self.port),
            Host::Name(name) => write!(f, "{name}:{}", self.port),
        }
    }
}

/// Whether a worker may get tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Active,
    /// Finishes its tasks and gets no new ones.
    Leaving,
}

impl State {
    pub fn as_str(self) -> &'static str {
        match self {
            State::Active => "active",
            State::Leaving => "leaving",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The name that the worker uses in its events.
    pub name: String,
    pub address: Address,
    pub zone: String,
    /// The machine's kind.
    pub kind: String,
    /// Number of concurrent tasks, 1 to 1024.
    pub slots: f64,
    /// The cell whose workers deduplicate tasks together, 0 if the file names none.
    pub group: u32,
    pub state: State,
    pub place: Place,
}

impl Entry {
    /// Whether both describe the worker equally, regardless of their places in files.
    pub fn same_settings(&self, other: &Entry) -> bool {
        let place = self.place.clone();
        *self == Entry { place, ..other.clone() }
    }
}
