//! Operators' calls to a member: proposals, and its status.

use super::text::{MemberEntry, ProposalText};
use super::{random_id, GroupMember, Identity, State, REQUEST_RETRY};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tindock_policy_consensus::{Digest, Frame, Id, Outcome, Payload, Reason, MAX_TEXT_BYTES};

/// A change that an operator proposes.
pub enum Change {
    Policy { policy: String, ending: String },
    Admit { name: String, address: SocketAddr },
    Remove { name: String },
}

#[derive(Serialize)]
struct MemberStatus {
    name: String,
    address: SocketAddr,
    voter: bool,
    /// The number in force there as last reported, and the age of that report; only voters receive all
    /// reports.
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
    /// It serves under its last known policy, which may not be in force elsewhere.
    void: bool,
    lease_ms: u64,
    lease_left_ms: u64,
    staged: Option<String>,
    dropped: u64,
    members: Vec<MemberStatus>,
    proposals: Vec<Proposal>,
}

impl GroupMember {
    /// Proposes a change to all members; returns its number and digest. The proposal may still fail.
    pub async fn propose(&self, change: Change) -> Result<(u64, Digest), String> {
        let founds = self.state.borrow().as_ref().is_some_and(|state| state.stored.decided.number == 0);
        let found = match &change {
            Change::Policy { .. } if founds => self.identify(&self.settings.members).await?,
            Change::Admit { name, address } => self.identify(&[(name.clone(), *address)]).await?,
            _ => BTreeMap::new(),
        };
        let group = random_id()?;
        let outcome = {
            let mut state = self.state.borrow_mut();
            let state = state.as_mut().ok_or("another process of this name has its place")?;
            let text = self.draft(state, change, &found, group)?;
            let bytes = text.to_bytes();
            if bytes.len() > MAX_TEXT_BYTES {
                return Err(format!("{} bytes; {MAX_TEXT_BYTES} at the most", bytes.len()));
            }
            let digest = state.store.add(&bytes)?;
            let number = text.number;
            self.add_text(state, digest, Rc::new(text));
            state.member.propose(self.clock.now(), digest).map(|()| (number, digest))
        };
        self.process_outputs();
        // The time of the next tick has changed.
        self.changed.notify_one();
        outcome
    }

    fn draft(
        &self,
        state: &State,
        change: Change,
        found: &BTreeMap<String, Identity>,
        group: u64,
    ) -> Result<ProposalText, String> {
        let in_force = state.in_force();
        let mut text = match in_force {
            Some(text) => ProposalText::clone(text),
            None => {
                if self.settings.members.is_empty() {
                    return Err("accord.members is empty: there is no group to found".into());
                }
                if let Some((name, _)) =
                    found.iter().find(|(_, identity)| identity.number > 0 || identity.group > 0)
                {
                    return Err(format!("{name} belongs to a group already"));
                }
                let member = |(place, (name, address)): (usize, &(String, SocketAddr))| {
                    let identity = found.get(name).ok_or_else(|| format!("{name} gave no answer"))?;
                    let voter = place < self.settings.voters;
                    Ok(MemberEntry { name: name.clone(), address: *address, id: identity.id, voter })
                };
                let members: Result<_, String> =
                    self.settings.members.iter().enumerate().map(member).collect();
                ProposalText::founding(group, self.settings.lease, members?)
            }
        };
        text.number = state.stored.decided.number + 1;
        (text.by, text.at_ms) = (self.name.clone(), self.clock.to_unix_ms(self.clock.now()));
        match change {
            Change::Policy { policy, ending } => {
                (text.policy, text.ending, text.what) = (policy, ending, "a policy".into());
            }
            _ if in_force.is_none() => return Err("no policy has been decided in this group yet".into()),
            Change::Admit { name, address } => {
                let identity = found.get(&name).ok_or_else(|| format!("{name} gave no answer"))?;
                if identity.number > 0 && identity.group != text.group {
                    return Err(format!("{name} belongs to another group"));
                }
                if text.members.iter().any(|p| p.id == identity.id && p.name == name && p.address == address)
                {
                    return Err(format!("{name} is a member already"));
                }
                text.admit(&name, address, identity.id, self.settings.voters);
                text.what = format!("{name} let in");
            }
            Change::Remove { name } => {
                if !text.remove(&name, self.settings.voters) {
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

    /// Requests the identities of schedulers by name.
    async fn identify(&self, who: &[(String, SocketAddr)]) -> Result<BTreeMap<String, Identity>, String> {
        let nonce = random_id()?;
        self.identities.replace((nonce, BTreeMap::new()));
        let began = self.clock.now();
        loop {
            let found = self.identities.borrow().1.clone();
            let missing: Vec<_> = who.iter().filter(|(name, _)| !found.contains_key(name)).collect();
            if missing.is_empty() {
                return Ok(found);
            }
            if self.clock.now() - began > self.settings.member_timeout {
                let names: Vec<&str> = missing.iter().map(|(name, _)| name.as_str()).collect();
                return Err(format!("no answer from {}", names.join(", ")));
            }
            let (id, local_group) =
                self.state.borrow().as_ref().map(|s| (s.stored.id, s.group())).unwrap_or_default();
            for (name, at) in missing {
                let payload = Payload::IdentityRequest { nonce, name: name.clone() };
                if *name == self.name {
                    let number = self.state.borrow().as_ref().map_or(0, |s| s.stored.decided.number);
                    self.identities
                        .borrow_mut()
                        .1
                        .insert(name.clone(), Identity { id, group: local_group, number });
                    self.identity_received.notify_one();
                } else {
                    self.send(*at, &Frame { group: local_group, from: id, to: 0, payload });
                }
            }
            let _ = tokio::time::timeout(REQUEST_RETRY, self.identity_received.notified()).await;
        }
    }

    /// The status, as one line of JSON.
    pub fn status(&self) -> Result<String, String> {
        let serves = self.serves();
        let state = self.state.borrow();
        let state = state.as_ref().ok_or("another process of this name has its place")?;
        let (now, chosen) = (self.clock.now(), state.stored.decided);
        let text = state.in_force();
        let name_of = |id: Id| {
            let names = state.texts.values().find_map(|text| text.name_of(id));
            names.map_or_else(|| format!("{id:016x}"), String::from)
        };
        let names = |ids: &BTreeSet<Id>| {
            let mut names: Vec<String> = ids.iter().map(|id| name_of(*id)).collect();
            names.sort();
            names
        };
        let member_status = |member: &MemberEntry| {
            let local = (member.id == state.stored.id).then_some((now, chosen.number));
            let seen = state.member.last_seen(member.id).or(local);
            let heard_ms = seen.map(|(at, _)| now.saturating_sub(at).as_millis() as u64);
            let (name, number) = (member.name.clone(), seen.map(|(_, number)| number));
            MemberStatus { name, address: member.address, voter: member.voter, number, heard_ms }
        };
        let proposals = state.member.outcomes().map(|(number, digest, outcome)| {
            let (outcome, why, missing) = match outcome {
                Outcome::InProgress => ("under way", None, Vec::new()),
                Outcome::Unknown => ("unknown", None, Vec::new()),
                Outcome::Decided { missing } => ("decided", None, names(missing)),
                Outcome::NotDecided(reason) => {
                    let why = match reason {
                        Reason::Refused { by, why } => format!("{}: {why}", name_of(*by)),
                        Reason::Superseded => format!("number {number} goes to another proposal"),
                        Reason::NoAnswer(ids) => format!("no answer from {}", names(ids).join(", ")),
                    };
                    ("nowhere", Some(why), Vec::new())
                }
            };
            Proposal { number, digest: digest.to_string(), outcome, why, missing }
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
            void: self.serves_last_known.get(),
            lease_ms: text.map_or(self.settings.lease, |text| text.lease()).as_millis() as u64,
            lease_left_ms: state.member.lease_left(now).as_millis() as u64,
            staged: state.stored.staged.map(|(_, digest)| digest.to_string()),
            dropped: self.dropped.get() + state.member.dropped(),
            members: text.iter().flat_map(|text| &text.members).map(member_status).collect(),
            proposals: proposals.collect(),
        };
        serde_json::to_string(&status).map_err(|e| e.to_string())
    }

    /// The text that was in force under a number; an error lists the numbers that are stored.
    pub fn text_of(&self, number: u64) -> Result<String, String> {
        let state = self.state.borrow();
        let state = state.as_ref().ok_or("another process of this name has its place")?;
        let numbers = &state.stored.history;
        let chosen = numbers.iter().find(|chosen| chosen.number == number);
        let text = chosen.and_then(|chosen| state.store.text(chosen.digest));
        let text = text.ok_or_else(|| {
            let all: Vec<String> = numbers.iter().map(|chosen| chosen.number.to_string()).collect();
            format!("number {number} is not known here; known are {}", all.join(", "))
        })?;
        String::from_utf8(text).map_err(|e| e.to_string())
    }

    /// All stored numbers without their policies, as one line of JSON.
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
        let entry = |chosen: &tindock_policy_consensus::Chosen| {
            let text = ProposalText::parse(&state.store.text(chosen.digest)?).ok()?;
            let (by, at_ms, what) = (text.by, text.at_ms, text.what);
            Some(Entry { number: chosen.number, digest: chosen.digest.to_string(), by, at_ms, what })
        };
        let all: Vec<Entry> = state.stored.history.iter().filter_map(entry).collect();
        serde_json::to_string(&all).map_err(|e| e.to_string())
    }
}
