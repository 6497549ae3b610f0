//! Who owns the slots of an instance: of the members of its zone the one with the highest random weight. All who have the
//! same members name the same owner. The members are those that the holder of the lease published; a member that is silent
//! stays one, and only one whose process is known to have ended is left out here before the next members come.

use crate::words::Kind;
use crate::Member;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The members as this process knows them.
#[derive(Default)]
pub struct Owners {
    members: Vec<Member>,
    /// Members whose process has ended, with the life that did.
    ended: HashMap<SocketAddr, u32>,
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
        self.ended.retain(|at, life| members.iter().any(|member| member.at == *at && member.life == *life));
        std::mem::replace(&mut self.members, members)
    }

    pub fn has_ended(&self, at: SocketAddr) -> bool {
        self.ended.contains_key(&at)
    }

    /// The process of a member has ended; true if that is news.
    pub fn note_ended(&mut self, at: SocketAddr) -> bool {
        let Some(life) = self.member(at).map(|member| member.life) else { return false };
        self.ended.insert(at, life) != Some(life)
    }

    /// A member speaks, whatever was thought of it; true if that is news.
    pub fn note_alive(&mut self, at: SocketAddr) -> bool {
        self.ended.remove(&at).is_some()
    }

    /// The owner of the instances of this function in this zone.
    pub fn owner(&self, kind: Kind, zone: &str) -> Option<SocketAddr> {
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
