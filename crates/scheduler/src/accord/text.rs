//! What is proposed: the members and the policy under a number, as a text that its digest names.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tindock_accord::{Id, Members};

const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Person {
    pub name: String,
    pub address: SocketAddr,
    pub id: Id,
    pub voter: bool,
}

/// A field that is not known here makes it unreadable: whoever cannot read a proposal refuses it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Text {
    version: u32,
    /// Drawn at the founding.
    pub group: u64,
    pub number: u64,
    /// Who proposed it, when (Unix milliseconds), and what it changes.
    pub by: String,
    pub at_ms: u64,
    pub what: String,
    pub lease_ms: u64,
    pub members: Vec<Person>,
    /// As a file of settings, in the form of its ending.
    pub policy: String,
    pub ending: String,
}

impl Text {
    pub fn founding(group: u64, lease: Duration, members: Vec<Person>) -> Self {
        let lease_ms = lease.as_millis() as u64;
        let (by, what, policy, ending) = Default::default();
        Text { version: VERSION, group, number: 0, by, at_ms: 0, what, lease_ms, members, policy, ending }
    }

    pub fn read(bytes: &[u8]) -> Result<Text, String> {
        let text: Text = serde_json::from_slice(bytes).map_err(|e| format!("cannot be read: {e}"))?;
        match text.version {
            VERSION => Ok(text),
            other => Err(format!("is of version {other}, which is not known here")),
        }
    }

    pub fn write(&self) -> Vec<u8> {
        // All its fields can be written.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    pub fn ids(&self) -> Members {
        let ids = |voters: bool| {
            let of = self.members.iter().filter(move |person| person.voter || !voters);
            of.map(|person| person.id).collect()
        };
        Members { all: ids(false), voters: ids(true) }
    }

    pub fn name_of(&self, id: Id) -> Option<&str> {
        self.members.iter().find(|person| person.id == id).map(|person| person.name.as_str())
    }

    /// A member more, or in the place of an earlier life of that name.
    pub fn let_in(&mut self, name: &str, address: SocketAddr, id: Id, voters: usize) {
        self.members.retain(|person| person.name != name);
        self.members.push(Person { name: name.into(), address, id, voter: false });
        self.fill_voters(voters);
    }

    /// Whether there was one of that name.
    pub fn leave_out(&mut self, name: &str, voters: usize) -> bool {
        let before = self.members.len();
        self.members.retain(|person| person.name != name);
        self.fill_voters(voters);
        self.members.len() < before
    }

    /// The first ones that are none yet become voters, up to that many.
    fn fill_voters(&mut self, voters: usize) {
        let mut missing = voters.saturating_sub(self.members.iter().filter(|person| person.voter).count());
        for person in self.members.iter_mut().filter(|person| !person.voter) {
            if missing == 0 {
                break;
            }
            (person.voter, missing) = (true, missing - 1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text() -> Text {
        let person = |n: u16| Person {
            name: format!("n{n}"),
            address: ([127, 0, 0, 1], 7000 + n).into(),
            id: u64::from(n) + 10,
            voter: n < 3,
        };
        Text::founding(9, Duration::from_secs(6), (0..5).map(person).collect())
    }

    /// Guards against a group that loses its voters one by one, or takes two lives of one member for two.
    #[test]
    fn who_leaves_is_replaced_as_a_voter_and_who_comes_back_anew_is_one() {
        let mut text = text();
        assert!(text.leave_out("n1", 3) && !text.leave_out("n9", 3));
        assert_eq!(text.ids().voters, [10, 12, 13].into());
        text.let_in("n0", ([127, 0, 0, 1], 7100).into(), 99, 3);
        let ids = text.ids();
        assert_eq!((ids.all, ids.voters), ([12, 13, 14, 99].into(), [12, 13, 14].into()));
        assert_eq!(Text::read(&text.write()), Ok(text));
    }

    #[test]
    fn what_cannot_be_read_is_no_proposal() {
        let whole = String::from_utf8(text().write()).expect("text");
        for spoilt in [whole.replace(":1,", ":2,"), whole.replace("\"by\"", "\"from\""), String::new()] {
            assert!(Text::read(spoilt.as_bytes()).is_err(), "{spoilt}");
        }
    }
}
