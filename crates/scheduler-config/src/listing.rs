//! Decodes a discovery response: the whole list of workers, or the changes to it.

use crate::names::Names;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tindock::types::{Condition, Site};

#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub index: u64,
    pub whole: bool,
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub site: Site,
    pub weight: f64,
    pub condition: Condition,
    /// When it last started, in Unix milliseconds; none for long ago.
    pub booted_ms: Option<u64>,
}

#[derive(Deserialize, Serialize)]
pub struct ListingDoc {
    index: u64,
    snapshot: bool,
    endpoints: Vec<EntryDoc>,
}

#[derive(Deserialize, Serialize)]
struct EntryDoc {
    name: String,
    address: String,
    zone: String,
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    group: u32,
    status: String,
    #[serde(default = "usual_weight")]
    weight: f64,
    #[serde(default)]
    since_ms: i64,
}

fn usual_weight() -> f64 {
    1.0
}

impl ListingDoc {
    /// A whole list of these entries, with the names by which they were read.
    pub fn of<'a>(entries: impl Iterator<Item = &'a Entry>, names: &Names) -> Self {
        ListingDoc { index: 0, snapshot: true, endpoints: entries.map(|e| EntryDoc::of(e, names)).collect() }
    }

    /// One invalid entry rejects the whole list, and none of its names is added.
    pub fn decode(self, names: &mut Names) -> Result<Listing, String> {
        let mut extended = names.clone();
        let entries =
            self.endpoints.into_iter().map(|e| e.decode(&mut extended)).collect::<Result<_, _>>()?;
        *names = extended;
        Ok(Listing { index: self.index, whole: self.snapshot, entries })
    }
}

impl EntryDoc {
    fn of(entry: &Entry, names: &Names) -> Self {
        let name_at = |names: &[String], at: usize| names.get(at).cloned().unwrap_or_default();
        let status = match entry.condition {
            Condition::Ready => "active",
            Condition::Draining => "leaving",
            Condition::Gone => "left",
        };
        EntryDoc {
            name: entry.name.clone(),
            address: entry.address.to_string(),
            zone: name_at(&names.zones, entry.site.zone),
            kind: name_at(&names.kinds, entry.site.kind),
            group: entry.site.cell as u32,
            status: status.into(),
            weight: entry.weight,
            since_ms: entry.booted_ms.map_or(0, |ms| ms as i64),
        }
    }

    fn decode(self, names: &mut Names) -> Result<Entry, String> {
        let name = self.name;
        let condition = match self.status.as_str() {
            "active" => Condition::Ready,
            "leaving" => Condition::Draining,
            "left" => Condition::Gone,
            other => return Err(format!("worker {name:?} has the unknown status {other:?}")),
        };
        let address = self.address.parse();
        let address = address.map_err(|_| format!("worker {name:?} has no address: {:?}", self.address))?;
        if !(self.weight.is_finite() && self.weight >= 0.0) {
            return Err(format!("worker {name:?} weighs {}", self.weight));
        }
        let site = names.site(self.zone, self.kind, self.group as usize)?;
        let booted_ms = u64::try_from(self.since_ms).ok().filter(|&ms| ms > 0);
        Ok(Entry { name, address, site, weight: self.weight, condition, booted_ms })
    }
}

pub fn decode(body: &[u8], names: &mut Names) -> Result<Listing, String> {
    let doc: ListingDoc = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    doc.decode(names)
}
