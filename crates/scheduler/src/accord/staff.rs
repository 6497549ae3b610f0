//! What staff ask of a member at its operators' address: proposals, and where it stands.

use super::text::{Person, Text};
use super::{draw, Accord, Here, State, ASK_AGAIN};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tindock_accord::{Digest, Frame, Id, Outcome, Payload, Reason, MAX_TEXT_BYTES};

/// What staff ask for.
pub enum Change {
    Policy { policy: String, ending: String },
    LetIn { name: String, address: SocketAddr },
    LeaveOut { name: String },
}

#[derive(Serialize)]
struct Seen {
    name: String,
    address: SocketAddr,
    voter: bool,
    /// The number in force there, as it said last, and how long ago; only voters hear all.
    number: Option<u64>,
    heard_ms: Option<u64>,
}

#[derive(Serialize)]
struct Proposal {
    number: u64,
    digest: String,
    outcome: &'static str,
    why: Option<String>,
    missing: Vec<String>,
}

#[derive(Serialize)]
struct Status<'a> {
    version: u32,
    name: &'a str,
    number: u64,
    digest: Option<String>,
    by: Option<&'a str>,
    at_ms: Option<u64>,
    what: Option<&'a str>,
    serves: bool,
    why_not: Option<String>,
    /// The promise of one policy everywhere does not hold for this scheduler.
    void: bool,
    lease_ms: u64,
    lease_left_ms: u64,
    staged: Option<String>,
    dropped: u64,
    members: Vec<Seen>,
    proposals: Vec<Proposal>,
}

impl Accord {
    /// Proposes a change to all; its number and digest. That it began is not that it will be.
    pub async fn propose(&self, change: Change) -> Result<(u64, Digest), String> {
        let founds = self.state.borrow().as_ref().is_some_and(|state| state.written.decided.number == 0);
        let found = match &change {
            Change::Policy { .. } if founds => self.ask(&self.told.members).await?,
            Change::LetIn { name, address } => self.ask(&[(name.clone(), *address)]).await?,
            _ => BTreeMap::new(),
        };
        let drawn = draw()?;
        let outcome = {
            let mut state = self.state.borrow_mut();
            let state = state.as_mut().ok_or("another process of this name has its place")?;
            let text = self.draft(state, change, &found, drawn)?;
            let bytes = text.write();
            if bytes.len() > MAX_TEXT_BYTES {
                return Err(format!("{} bytes; {MAX_TEXT_BYTES} at the most", bytes.len()));
            }
            let digest = state.store.add(&bytes)?;
            let number = text.number;
            self.take_text(state, digest, Rc::new(text));
            state.member.propose(self.clock.now(), digest).map(|()| (number, digest))
        };
        self.after();
        // Its next tick is another now.
        self.moved.notify_one();
        outcome
    }

    fn draft(
        &self,
        state: &State,
        change: Change,
        found: &BTreeMap<String, Here>,
        drawn: u64,
    ) -> Result<Text, String> {
        let in_force = state.in_force();
        let mut text = match in_force {
            Some(text) => Text::clone(text),
            None => {
                if self.told.members.is_empty() {
                    return Err("accord.members names nobody: there is no group to found".into());
                }
                if let Some((name, _)) = found.iter().find(|(_, here)| here.number > 0 || here.group > 0) {
                    return Err(format!("{name} belongs to a group already"));
                }
                let person = |(place, (name, address)): (usize, &(String, SocketAddr))| {
                    let here = found.get(name).ok_or_else(|| format!("{name} gave no answer"))?;
                    let voter = place < self.told.voters;
                    Ok(Person { name: name.clone(), address: *address, id: here.id, voter })
                };
                let members: Result<_, String> = self.told.members.iter().enumerate().map(person).collect();
                Text::founding(drawn, self.told.lease, members?)
            }
        };
        text.number = state.written.decided.number + 1;
        (text.by, text.at_ms) = (self.name.clone(), self.clock.to_unix_ms(self.clock.now()));
        match change {
            Change::Policy { policy, ending } => {
                (text.policy, text.ending, text.what) = (policy, ending, "a policy".into());
            }
            _ if in_force.is_none() => return Err("no policy has been decided in this group yet".into()),
            Change::LetIn { name, address } => {
                let here = found.get(&name).ok_or_else(|| format!("{name} gave no answer"))?;
                if here.number > 0 && here.group != text.group {
                    return Err(format!("{name} belongs to another group"));
                }
                if text.members.iter().any(|p| p.id == here.id && p.name == name && p.address == address) {
                    return Err(format!("{name} is a member already"));
                }
                text.let_in(&name, address, here.id, self.told.voters);
                text.what = format!("{name} let in");
            }
            Change::LeaveOut { name } => {
                if !text.leave_out(&name, self.told.voters) {
                    return Err(format!("{name:?} is no member"));
                }
                if text.members.is_empty() {
                    return Err(format!("{name} is the last member"));
                }
                text.what = format!("{name} left out");
            }
        }
        Ok(text)
    }

    /// Asks schedulers by name who they are.
    async fn ask(&self, who: &[(String, SocketAddr)]) -> Result<BTreeMap<String, Here>, String> {
        let nonce = draw()?;
        self.here.replace((nonce, BTreeMap::new()));
        let began = self.clock.now();
        loop {
            let found = self.here.borrow().1.clone();
            let missing: Vec<_> = who.iter().filter(|(name, _)| !found.contains_key(name)).collect();
            if missing.is_empty() {
                return Ok(found);
            }
            if self.clock.now() - began > self.told.member_timeout {
                let names: Vec<&str> = missing.iter().map(|(name, _)| name.as_str()).collect();
                return Err(format!("no answer from {}", names.join(", ")));
            }
            let (id, group) =
                self.state.borrow().as_ref().map(|s| (s.written.id, s.group())).unwrap_or_default();
            for (name, at) in missing {
                let word = Payload::IdentityRequest { nonce, name: name.clone() };
                if *name == self.name {
                    let number = self.state.borrow().as_ref().map_or(0, |s| s.written.decided.number);
                    self.here.borrow_mut().1.insert(name.clone(), Here { id, group, number });
                    self.heard.notify_one();
                } else {
                    self.send(*at, &Frame { group, from: id, to: 0, payload: word });
                }
            }
            let _ = tokio::time::timeout(ASK_AGAIN, self.heard.notified()).await;
        }
    }

    /// Where it stands, as one line of JSON.
    pub fn status(&self) -> Result<String, String> {
        let serves = self.serves();
        let state = self.state.borrow();
        let state = state.as_ref().ok_or("another process of this name has its place")?;
        let (now, chosen) = (self.clock.now(), state.written.decided);
        let text = state.in_force();
        let known = |id: Id| {
            let names = state.texts.values().find_map(|text| text.name_of(id));
            names.map_or_else(|| format!("{id:016x}"), String::from)
        };
        let names = |ids: &BTreeSet<Id>| {
            let mut names: Vec<String> = ids.iter().map(|id| known(*id)).collect();
            names.sort();
            names
        };
        let seen = |person: &Person| {
            let own = (person.id == state.written.id).then_some((now, chosen.number));
            let seen = state.member.last_seen(person.id).or(own);
            let heard_ms = seen.map(|(at, _)| now.saturating_sub(at).as_millis() as u64);
            let (name, number) = (person.name.clone(), seen.map(|(_, number)| number));
            Seen { name, address: person.address, voter: person.voter, number, heard_ms }
        };
        let proposals = state.member.outcomes().map(|(number, digest, outcome)| {
            let (word, why, missing) = match outcome {
                Outcome::InProgress => ("under way", None, Vec::new()),
                Outcome::Unknown => ("unknown", None, Vec::new()),
                Outcome::Decided { missing } => ("decided", None, names(missing)),
                Outcome::NotDecided(reason) => {
                    let why = match reason {
                        Reason::Refused { by, why } => format!("{}: {why}", known(*by)),
                        Reason::Superseded => format!("number {number} goes to another proposal"),
                        Reason::NoAnswer(ids) => format!("no answer from {}", names(ids).join(", ")),
                    };
                    ("nowhere", Some(why), Vec::new())
                }
            };
            Proposal { number, digest: digest.to_string(), outcome: word, why, missing }
        });
        let status = Status {
            version: 1,
            name: &self.name,
            number: chosen.number,
            digest: text.map(|_| chosen.digest.to_string()),
            by: text.map(|text| text.by.as_str()),
            at_ms: text.map(|text| text.at_ms),
            what: text.map(|text| text.what.as_str()),
            serves: serves.is_ok(),
            why_not: serves.err(),
            void: self.void.get(),
            lease_ms: text.map_or(self.told.lease, |text| text.lease()).as_millis() as u64,
            lease_left_ms: state.member.lease_left(now).as_millis() as u64,
            staged: state.written.staged.map(|(_, digest)| digest.to_string()),
            dropped: self.dropped.get() + state.member.dropped(),
            members: text.iter().flat_map(|text| &text.members).map(seen).collect(),
            proposals: proposals.collect(),
        };
        serde_json::to_string(&status).map_err(|e| e.to_string())
    }

    /// What was in force under a number, as its text stands; and all numbers that are remembered.
    pub fn text_of(&self, number: u64) -> Result<String, String> {
        let state = self.state.borrow();
        let state = state.as_ref().ok_or("another process of this name has its place")?;
        let numbers = &state.written.history;
        let chosen = numbers.iter().find(|chosen| chosen.number == number);
        let text = chosen.and_then(|chosen| state.store.text(chosen.digest));
        let text = text.ok_or_else(|| {
            let all: Vec<String> = numbers.iter().map(|chosen| chosen.number.to_string()).collect();
            format!("number {number} is not known here; known are {}", all.join(", "))
        })?;
        String::from_utf8(text).map_err(|e| e.to_string())
    }

    /// Each number that is remembered, a line of JSON, without its policy.
    pub fn history(&self) -> Result<String, String> {
        #[derive(Serialize)]
        struct Entry {
            number: u64,
            digest: String,
            by: String,
            at_ms: u64,
            what: String,
        }
        let state = self.state.borrow();
        let state = state.as_ref().ok_or("another process of this name has its place")?;
        let entry = |chosen: &tindock_accord::Chosen| {
            let text = Text::read(&state.store.text(chosen.digest)?).ok()?;
            let (by, at_ms, what) = (text.by, text.at_ms, text.what);
            Some(Entry { number: chosen.number, digest: chosen.digest.to_string(), by, at_ms, what })
        };
        let all: Vec<Entry> = state.written.history.iter().filter_map(entry).collect();
        serde_json::to_string(&all).map_err(|e| e.to_string())
    }
}
