//! Who owns the slots of an instance: of the members of its zone the one with the highest random weight. All who have the
//! same members name the same owner. The members are those that the holder of the lease published; a member that is silent
//! stays one, and only one whose connections are refused is left out here before the next members come. That is evidence
//! of its process's end and no proof: a firewall refuses as well, for both sides of a cut. So it counts only while this
//! process may be on the side of the holder, and not for longer than the holder takes to publish an end.

use crate::defects::{injected, Defect};
use crate::messages::Kind;
use crate::Member;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A process that has ended is off the holder's list by then: 2.2 s, a new holder's beginning, and the way.
const REFUSAL_COUNTS: Duration = Duration::from_secs(5);
/// One that is still on it is not thought to have ended again before this.
const REFUSAL_KEPT: Duration = Duration::from_secs(15);

/// Connections to a member were refused.
struct Refusal {
    incarnation: u32,
    since: Duration,
}

impl Refusal {
    fn counts(&self, now: Duration) -> bool {
        now < self.since + REFUSAL_COUNTS
    }
}

/// The members as this process knows them.
#[derive(Default)]
pub struct Owners {
    members: Vec<Member>,
    refusals: HashMap<SocketAddr, Refusal>,
    /// This process is likely cut off from the holder, so that refusals prove nothing.
    distrusted: bool,
    /// These are the members that were heard of, and not those that the holder published: who begins hears of those of its own
    /// zone first, and of the others in an order of chance.
    provisional: bool,
    now: Duration,
}

impl Owners {
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn member(&self, at: SocketAddr) -> Option<&Member> {
        self.members.iter().find(|member| member.at == at)
    }

    /// Other members. Returns the former ones.
    pub fn replace(&mut self, members: Vec<Member>) -> Vec<Member> {
        self.refusals.retain(|at, refusal| {
            members.iter().any(|member| member.at == *at && member.incarnation == refusal.incarnation)
        });
        std::mem::replace(&mut self.members, members)
    }

    /// Time passes, and refusals are doubted or not; true if other members count as ended now.
    pub fn update_refusals(&mut self, now: Duration, distrusted: bool) -> bool {
        let distrusted = distrusted && !injected(Defect::RefusalIsProof);
        let before = self.refusals.keys().filter(|at| self.has_ended(**at)).count();
        (self.now, self.distrusted) = (now, distrusted);
        let after = self.refusals.keys().filter(|at| self.has_ended(**at)).count();
        self.refusals.retain(|_, refusal| now < refusal.since + REFUSAL_KEPT);
        before != after
    }

    /// Connections to it are refused, and it was not heard since.
    pub fn refuses(&self, at: SocketAddr) -> bool {
        self.refusals.contains_key(&at)
    }

    pub fn any_refuses(&self) -> bool {
        !self.refusals.is_empty()
    }

    /// Its process counts as ended.
    pub fn has_ended(&self, at: SocketAddr) -> bool {
        let counts = |refusal: &Refusal| refusal.counts(self.now) || injected(Defect::RefusalIsProof);
        !self.distrusted && self.refusals.get(&at).is_some_and(counts)
    }

    /// Connections to a member are refused; true if that is news of the life that it is known by.
    pub fn note_refusal(&mut self, now: Duration, at: SocketAddr) -> bool {
        let Some(incarnation) = self.member(at).map(|member| member.incarnation) else { return false };
        if self.refusals.get(&at).is_some_and(|known| known.incarnation == incarnation) {
            return false;
        }
        self.refusals.insert(at, Refusal { incarnation, since: now });
        true
    }

    /// A member speaks, whatever was thought of it; true if that is news.
    pub fn note_alive(&mut self, at: SocketAddr) -> bool {
        self.refusals.remove(&at).is_some()
    }

    /// Whether the members were heard of, and not published; true if that is another word than before.
    pub fn set_provisional(&mut self, provisional: bool) -> bool {
        let provisional = provisional && !injected(Defect::FirstKnownOwns);
        std::mem::replace(&mut self.provisional, provisional) != provisional
    }

    pub fn is_provisional(&self) -> bool {
        self.provisional
    }

    /// The owner of the instances of this function in this zone. Where the members are provisional, only one of the zone itself:
    /// that none is known there says nothing.
    pub fn owner(&self, kind: Kind, zone: &str) -> Option<SocketAddr> {
        if self.provisional && !self.members.iter().any(|member| member.zone == zone) {
            return None;
        }
        owner_among(self.members.iter().filter(|member| !self.has_ended(member.at)), kind, zone)
    }

    pub fn region(&self, zone: &str) -> Option<&str> {
        self.members.iter().find(|member| member.zone == zone).map(|member| member.region.as_str())
    }
}

/// The owner among these: of the zone's, or else of the region's, or else of all.
pub fn owner_among<'a>(
    members: impl Iterator<Item = &'a Member> + Clone,
    kind: Kind,
    zone: &str,
) -> Option<SocketAddr> {
    let region = members.clone().find(|member| member.zone == zone).map(|member| member.region.as_str());
    let heaviest = |near: &dyn Fn(&Member) -> bool| {
        let open = members.clone().filter(|member| near(member));
        open.max_by_key(|member| weight(kind, &member.at)).map(|member| member.at)
    };
    heaviest(&|member| member.zone == zone)
        .or_else(|| heaviest(&|member| Some(member.region.as_str()) == region))
        .or_else(|| heaviest(&|_| true))
}

/// The random weight of an address for a function.
pub fn weight(kind: Kind, at: &SocketAddr) -> u64 {
    let octets = match at {
        SocketAddr::V4(v4) => u64::from(u32::from(*v4.ip())) << 16 | u64::from(v4.port()),
        SocketAddr::V6(v6) => (u128::from(*v6.ip()) as u64).rotate_left(16) ^ u64::from(v6.port()),
    };
    let mut x = octets ^ u64::from(kind).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for by in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(by);
    }
    x ^ (x >> 31)
}
