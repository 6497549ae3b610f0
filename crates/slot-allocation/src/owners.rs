//! Owners of instances: of the members of an instance's zone the one with the highest random weight.
//! Processes with the same members compute the same owner. The members are those that the holder of the
//! leadership lease published. A member that is silent remains one; only a member whose connections are
//! refused is left out here before the next members arrive. A refusal is evidence that the process has ended
//! and no proof: a firewall refuses connections as well, on both sides of a network partition. So it counts
//! only while this process may be on the holder's side, and not for longer than the holder takes to publish
//! the end of a process.

use crate::defects::{injected, Defect};
use crate::function_id::FunctionId;
use crate::Member;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The holder's list lacks a process that has ended by then: 2.2 s, the start of a new holder, and the
/// latency.
const REFUSAL_COUNTS: Duration = Duration::from_secs(5);
/// A process still listed after this may be considered ended again.
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
    /// This process is probably cut off from the holder, so that refusals prove nothing.
    distrusted: bool,
    /// The members were discovered, and not published by the holder: a starting process discovers those of
    /// its own zone first, and the others in random order.
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

    /// Replaces the members. Returns the former ones.
    pub fn replace(&mut self, members: Vec<Member>) -> Vec<Member> {
        self.refusals.retain(|at, refusal| {
            members.iter().any(|member| member.at == *at && member.incarnation == refusal.incarnation)
        });
        std::mem::replace(&mut self.members, members)
    }

    /// Sets the time and whether refusals are distrusted. Returns true if the set of members that count as
    /// ended has changed.
    pub fn update_refusals(&mut self, now: Duration, distrusted: bool) -> bool {
        let distrusted = distrusted && !injected(Defect::RefusalIsProof);
        let before = self.refusals.keys().filter(|at| self.has_ended(**at)).count();
        (self.now, self.distrusted) = (now, distrusted);
        let after = self.refusals.keys().filter(|at| self.has_ended(**at)).count();
        self.refusals.retain(|_, refusal| now < refusal.since + REFUSAL_KEPT);
        before != after
    }

    /// Whether connections to it are refused, and nothing was received from it since.
    pub fn refuses(&self, at: SocketAddr) -> bool {
        self.refusals.contains_key(&at)
    }

    pub fn any_refuses(&self) -> bool {
        !self.refusals.is_empty()
    }

    /// Whether its process counts as ended.
    pub fn has_ended(&self, at: SocketAddr) -> bool {
        let counts = |refusal: &Refusal| refusal.counts(self.now) || injected(Defect::RefusalIsProof);
        !self.distrusted && self.refusals.get(&at).is_some_and(counts)
    }

    /// Connections to a member are refused. Returns true if that was not known of its present incarnation.
    pub fn note_refusal(&mut self, now: Duration, at: SocketAddr) -> bool {
        let Some(incarnation) = self.member(at).map(|member| member.incarnation) else { return false };
        if self.refusals.get(&at).is_some_and(|known| known.incarnation == incarnation) {
            return false;
        }
        self.refusals.insert(at, Refusal { incarnation, since: now });
        true
    }

    /// A member was heard from, so any refusal is void. Returns true if there was one.
    pub fn note_alive(&mut self, at: SocketAddr) -> bool {
        self.refusals.remove(&at).is_some()
    }

    /// Sets whether the members were discovered, and not published. Returns true if that has changed.
    pub fn set_provisional(&mut self, provisional: bool) -> bool {
        let provisional = provisional && !injected(Defect::FirstKnownOwns);
        std::mem::replace(&mut self.provisional, provisional) != provisional
    }

    pub fn is_provisional(&self) -> bool {
        self.provisional
    }

    /// The owner of the instances of this function in this zone. While the members are provisional only a
    /// process of the zone itself: others of the zone may not be discovered yet.
    pub fn owner(&self, function_id: FunctionId, zone: &str) -> Option<SocketAddr> {
        if self.provisional && !self.members.iter().any(|member| member.zone == zone) {
            return None;
        }
        owner_among(self.members.iter().filter(|member| !self.has_ended(member.at)), function_id, zone)
    }

    pub fn region(&self, zone: &str) -> Option<&str> {
        self.members.iter().find(|member| member.zone == zone).map(|member| member.region.as_str())
    }
}

/// The owner among these members: of the zone's, or else of the region's, or else of all.
pub fn owner_among<'a>(
    members: impl Iterator<Item = &'a Member> + Clone,
    function_id: FunctionId,
    zone: &str,
) -> Option<SocketAddr> {
    let region = members.clone().find(|member| member.zone == zone).map(|member| member.region.as_str());
    let heaviest = |near: &dyn Fn(&Member) -> bool| {
        let open = members.clone().filter(|member| near(member));
        open.max_by_key(|member| weight(function_id, &member.at)).map(|member| member.at)
    };
    heaviest(&|member| member.zone == zone)
        .or_else(|| heaviest(&|member| Some(member.region.as_str()) == region))
        .or_else(|| heaviest(&|_| true))
}

/// The random weight of an address for a function. It depends on the short hash alone, so that processes of
/// earlier releases compute the same owners.
pub fn weight(function_id: FunctionId, at: &SocketAddr) -> u64 {
    let octets = match at {
        SocketAddr::V4(v4) => u64::from(u32::from(*v4.ip())) << 16 | u64::from(v4.port()),
        SocketAddr::V6(v6) => (u128::from(*v6.ip()) as u64).rotate_left(16) ^ u64::from(v6.port()),
    };
    let mut x = octets ^ u64::from(function_id.short_hash()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for by in [0xbf58_476d_1ce4_e5b9_u64, 0x94d0_49bb_1331_11eb] {
        x = (x ^ (x >> 30)).wrapping_mul(by);
    }
    x ^ (x >> 31)
}
