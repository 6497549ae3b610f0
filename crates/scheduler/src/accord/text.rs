//! The text of a proposal: the members and the policy under a number, identified by its digest.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tindock_policy_consensus::{Id, Members};

const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    pub name: String,
    pub address: SocketAddr,
    pub id: Id,
    pub voter: bool,
}

/// An unknown field makes the text unreadable: a member that cannot read a proposal refuses it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposalText {
    version: u32,
    /// Random identity, chosen at the founding of the group.
    pub group: u64,
    pub number: u64,
    /// Who proposed it, when (Unix time in ms), and what it changes.
    pub by: String,
    pub at_ms: u64,
    pub what: String,
    pub lease_ms: u64,
    pub members: Vec<MemberEntry>,
    /// A file of settings, in the format of `ending`.
    pub policy: String,
    pub ending: String,
}

impl ProposalText {
    pub fn founding(group: u64, lease: Duration, members: Vec<MemberEntry>) -> Self {
        let lease_ms = lease.as_millis() as u64;
        let (by, what, policy, ending) = Default::default();
        ProposalText {
            version: VERSION,
            group,
            number: 0,
            by,
            at_ms: 0,
            what,
            lease_ms,
            members,
            policy,
            ending,
        }
    }

    pub fn parse(bytes: &[u8]) -> Result<ProposalText, String> {
        let text: ProposalText = serde_json::from_slice(bytes).map_err(|e| format!("cannot be read: {e}"))?;
        match text.version {
            VERSION => Ok(text),
            other => Err(format!("is of version {other}, which is not supported here")),
        }
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        // Every field can be serialized.
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    pub fn ids(&self) -> Members {
        let ids = |voters: bool| {
            let of = self.members.iter().filter(move |member| member.voter || !voters);
            of.map(|member| member.id).collect()
        };
        Members { all: ids(false), voters: ids(true) }
    }

    pub fn name_of(&self, id: Id) -> Option<&str> {
        self.members.iter().find(|member| member.id == id).map(|member| member.name.as_str())
    }

    /// Adds a member, or replaces the earlier incarnation of that name.
    pub fn admit(&mut self, name: &str, address: SocketAddr, id: Id, voters: usize) {
        self.members.retain(|member| member.name != name);
        self.members.push(MemberEntry { name: name.into(), address, id, voter: false });
        self.fill_voters(voters);
    }

    /// Removes a member; returns whether there was one of that name.
    pub fn remove(&mut self, name: &str, voters: usize) -> bool {
        let before = self.members.len();
        self.members.retain(|member| member.name != name);
        self.fill_voters(voters);
        self.members.len() < before
    }

    /// Makes the first members without a vote voters, until there are this many.
    fn fill_voters(&mut self, voters: usize) {
        let mut missing = voters.saturating_sub(self.members.iter().filter(|member| member.voter).count());
        for member in self.members.iter_mut().filter(|member| !member.voter) {
            if missing == 0 {
                break;
            }
            (member.voter, missing) = (true, missing - 1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text() -> ProposalText {
        let member = |n: u16| MemberEntry {
            name: format!("n{n}"),
            address: ([127, 0, 0, 1], 7000 + n).into(),
            id: u64::from(n) + 10,
            voter: n < 3,
        };
        ProposalText::founding(9, Duration::from_secs(6), (0..5).map(member).collect())
    }

    /// Guards against a group that loses its voters one by one, or counts two incarnations of a member as two
    /// members.
    #[test]
    fn a_removed_voter_is_replaced_and_a_readmitted_member_counts_once() {
        let mut text = text();
        assert!(text.remove("n1", 3) && !text.remove("n9", 3));
        assert_eq!(text.ids().voters, [10, 12, 13].into());
        text.admit("n0", ([127, 0, 0, 1], 7100).into(), 99, 3);
        let ids = text.ids();
        assert_eq!((ids.all, ids.voters), ([12, 13, 14, 99].into(), [12, 13, 14].into()));
        assert_eq!(ProposalText::parse(&text.to_bytes()), Ok(text));
    }

    /// Guards against a member that accepts a proposal of another version, or one that it reads only in part.
    #[test]
    fn an_unreadable_text_is_refused() {
        let whole = String::from_utf8(text().to_bytes()).expect("text");
        for spoilt in [whole.replace(":1,", ":2,"), whole.replace("\"by\"", "\"from\""), String::new()] {
            assert!(ProposalText::parse(spoilt.as_bytes()).is_err(), "{spoilt}");
        }
    }
}
