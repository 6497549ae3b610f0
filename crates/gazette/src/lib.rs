//! Who the other schedulers are, without I/O: each keeps a partial view of a few neighbours, exchanges what it has heard
//! with one of them at a time, and draws the view anew from that. Each source counts its own beats; the highest beat of a
//! life holds, and a source whose beat stands still for some rounds has gone.
//!
//! Source of the way: Jelasity et al., "Gossip-based peer sampling" (2007), in its push-pull form; van Renesse et al.,
//! "A gossip-style failure detection service" (1998), for the beats.

use oorandom::Rand32;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// One exchange a round.
pub const ROUND: Duration = Duration::from_millis(400);
/// Neighbours in the view.
const VIEW_SIZE: usize = 8;
/// A stranger is greeted this often at the most, until somebody names it again.
const MAX_CONTACT_ATTEMPTS: u8 = 5;
/// Sources in one letter, in whole: keeps it under a packet's size.
const MAX_DESCRIPTORS: usize = 80;
/// And in short, drawn from all that are known: news still reaches all well before a beat counts as still.
const MAX_HEARTBEATS: usize = 48;
/// Sources kept; a deployment has some tens to a thousand.
const MAX_KNOWN: usize = 4096;
/// A source that has gone is remembered so long, so that an old letter does not bring it back.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What one source says of itself; `place` is the zone's number in the sorted list that all know, `life` names the
/// process that serves there (0: none does).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Descriptor {
    pub ip: IpAddr,
    #[serde(rename = "place")]
    pub zone_index: u8,
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// When the page's process began (ms, its own clock): a later one holds.
    pub since: u64,
    #[serde(rename = "beat")]
    pub heartbeat: u32,
}

impl Descriptor {
    /// Of what stays the same in a process's life.
    fn check(&self) -> [u8; 2] {
        let incarnation = u64::from(self.incarnation) << 8 | u64::from(self.zone_index);
        let mixed = (incarnation ^ self.since.rotate_left(24)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        [(mixed >> 48) as u8, (mixed >> 56) as u8]
    }
}

/// The same in short, for who has heard the rest of it: half of all bytes between pages were lives and places that both
/// sides knew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub ip: IpAddr,
    #[serde(rename = "beat")]
    pub heartbeat: u32,
    pub check: [u8; 2],
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// An answer to this is wanted.
    #[serde(rename = "asks")]
    pub wants_reply: bool,
    /// How many sources the writer knows.
    pub known: u16,
    #[serde(rename = "heard")]
    pub descriptors: Vec<Descriptor>,
    #[serde(rename = "beats")]
    pub heartbeats: Vec<Heartbeat>,
    /// Sources of which a beat came that does not fit what is known: all of it is wanted.
    #[serde(rename = "wants")]
    pub requested: Vec<IpAddr>,
    /// Up to which number and version the writer knows who owns slots.
    pub owners: (u64, u64),
}

impl Message {
    /// None for what cannot be read.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        let (message, rest) = postcard::take_from_bytes::<Message>(bytes).ok()?;
        let fits = message.descriptors.len() <= MAX_DESCRIPTORS
            && message.heartbeats.len() <= MAX_DESCRIPTORS
            && message.requested.len() <= MAX_DESCRIPTORS;
        (rest.is_empty() && fits).then_some(message)
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct Known {
    descriptor: Descriptor,
    heartbeat_at: Duration, // when its heartbeat last increased, by the local clock
}

pub struct PeerSampler {
    local: Descriptor,
    known: BTreeMap<IpAddr, Known>,
    view: Vec<IpAddr>,
    contacts: Vec<(IpAddr, u8)>, // and the number of messages sent without a reply
    rng: Rand32,
    due: Duration,
    /// Who serves here has changed: all are told at once, not one at a time.
    broadcast_due: bool,
    /// Told in each letter.
    owners: (u64, u64),
}

impl PeerSampler {
    pub fn new(ip: IpAddr, zone_index: u8, since: u64, seed: u64, now: Duration) -> Self {
        let local = Descriptor { ip, zone_index, incarnation: 0, since, heartbeat: 0 };
        PeerSampler {
            local,
            known: BTreeMap::new(),
            view: Vec::new(),
            contacts: Vec::new(),
            rng: Rand32::new(seed),
            due: now,
            broadcast_due: false,
            owners: (0, 0),
        }
    }

    /// Up to which number and version this one knows who owns slots; told in each letter from now on.
    pub fn set_owners(&mut self, owners: (u64, u64)) {
        self.owners = owners;
    }

    /// The life of the process that serves here; 0 if none does.
    pub fn incarnation(&self) -> u32 {
        self.local.incarnation
    }

    /// The process that serves here; told on at the next exchange, which is due at once.
    pub fn set_serving(&mut self, now: Duration, incarnation: u32) {
        if self.local.incarnation != incarnation {
            self.local.incarnation = incarnation;
            self.local.heartbeat += 1;
            self.due = now;
            self.broadcast_due = true;
        }
    }

    /// Addresses that somebody knows: greeted if nothing is heard of them here. One that has gone by what is heard may only be
    /// cut off from all who speak here: so two islands join again.
    pub fn add_contacts(&mut self, now: Duration, ips: impl IntoIterator<Item = IpAddr>) {
        let limit = self.failure_timeout();
        for ip in ips {
            let reachable =
                ip == self.local.ip || self.known.get(&ip).is_some_and(|k| now < k.heartbeat_at + limit);
            if !reachable && self.contacts.iter().all(|(known, _)| *known != ip) && self.contacts.len() < 32 {
                self.contacts.push((ip, 0));
            }
        }
    }

    /// A beat stands still for longer than this many rounds only if its source has gone: news reaches all in about
    /// log2(n) rounds, and each round may fail.
    fn failure_timeout(&self) -> Duration {
        let rounds = 5.0 + 1.5 * (self.known.len() as f64 + 1.0).log2();
        ROUND.mul_f64(rounds)
    }

    /// Everyone who is there, this one among them, in the order of addresses.
    pub fn alive(&self, now: Duration) -> Vec<Descriptor> {
        let limit = self.failure_timeout();
        let known = self.known.values().filter(|k| now < k.heartbeat_at + limit).map(|k| k.descriptor);
        let mut all: Vec<Descriptor> = known.chain(std::iter::once(self.local)).collect();
        all.sort_by_key(|descriptor| descriptor.ip);
        all
    }

    /// Up to `most` of those that are there, drawn by chance.
    fn sample(&mut self, now: Duration, most: usize, which: impl Fn(&Descriptor) -> bool) -> Vec<Descriptor> {
        let limit = self.failure_timeout();
        let alive = self.known.values().filter(|k| now < k.heartbeat_at + limit).map(|k| k.descriptor);
        let mut sample: Vec<Descriptor> = alive.filter(which).collect();
        while sample.len() > most {
            let at = self.rng.rand_range(0..sample.len() as u32) as usize;
            sample.swap_remove(at);
        }
        sample
    }

    fn message(&self, wants_reply: bool, heartbeats_of: &[Descriptor]) -> Message {
        let heartbeats = heartbeats_of
            .iter()
            .map(|h| Heartbeat { ip: h.ip, heartbeat: h.heartbeat, check: h.check() })
            .collect();
        let known = self.known.len() as u16;
        Message {
            wants_reply,
            known,
            descriptors: vec![self.local],
            heartbeats,
            requested: Vec::new(),
            owners: self.owners,
        }
    }

    /// What the writer of a letter lacks, as far as it shows, and what this one lacks of its sources.
    fn reply(&mut self, now: Duration, message: &Message, requested: Vec<IpAddr>) -> Option<Message> {
        let answers: Vec<Descriptor> = message
            .requested
            .iter()
            .filter_map(|ip| {
                if *ip == self.local.ip {
                    Some(self.local)
                } else {
                    Some(self.known.get(ip)?.descriptor)
                }
            })
            .collect();
        if !message.wants_reply {
            let nothing = answers.is_empty() && requested.is_empty();
            let known = self.known.len() as u16;
            let owners = self.owners;
            return (!nothing).then_some(Message {
                known,
                descriptors: answers,
                requested,
                owners,
                ..Message::default()
            });
        }
        // Who knows few is told of all in whole: until then it lends what others lend.
        let newcomer = usize::from(message.known) * 2 < self.known.len();
        let listed_heartbeats: BTreeMap<IpAddr, &Heartbeat> =
            message.heartbeats.iter().map(|heartbeat| (heartbeat.ip, heartbeat)).collect();
        let newer = |h: &Descriptor| {
            message
                .descriptors
                .iter()
                .all(|l| l.ip != h.ip || (l.since, l.heartbeat) < (h.since, h.heartbeat))
                && listed_heartbeats
                    .get(&h.ip)
                    .is_none_or(|heartbeat| heartbeat.check != h.check() || heartbeat.heartbeat < h.heartbeat)
        };
        let mut reply = match newcomer {
            true => Message {
                descriptors: self.sample(now, MAX_DESCRIPTORS - 1, newer),
                ..self.message(false, &[])
            },
            false => {
                let sample = self.sample(now, MAX_HEARTBEATS, newer);
                self.message(false, &sample)
            }
        };
        if newcomer {
            reply.descriptors.push(self.local);
        }
        let mut descriptors = self.outdated(message);
        descriptors.append(&mut reply.descriptors);
        descriptors.extend(answers);
        descriptors.truncate(MAX_DESCRIPTORS);
        reply.descriptors = descriptors;
        reply.requested = requested;
        Some(reply)
    }

    /// Letters that are due now.
    pub fn tick(&mut self, now: Duration) -> Vec<(IpAddr, Message)> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + ROUND;
        self.local.heartbeat = self.local.heartbeat.wrapping_add(1);
        self.known.retain(|_, k| now < k.heartbeat_at + FORGET_AFTER);
        // A greeting may be lost, and a page that knows nobody would stay alone.
        let limit = self.failure_timeout();
        let known = &self.known;
        self.contacts.retain(|(ip, tries)| {
            *tries < MAX_CONTACT_ATTEMPTS && known.get(ip).is_none_or(|k| now >= k.heartbeat_at + limit)
        });
        let mut to: Vec<IpAddr> = Vec::new();
        for (ip, tries) in self.contacts.iter_mut().take(3) {
            *tries += 1;
            to.push(*ip);
        }
        self.shuffle(now);
        if !self.view.is_empty() {
            let at = self.rng.rand_range(0..self.view.len() as u32) as usize;
            to.push(self.view.swap_remove(at));
        }
        let sample = self.sample(now, MAX_HEARTBEATS, |_| true);
        let message = self.message(true, &sample);
        let mut messages: Vec<(IpAddr, Message)> = to.into_iter().map(|ip| (ip, message.clone())).collect();
        // Lenders change with who serves: two that each lend the same slots until a letter has gone round broke LIMIT.
        if std::mem::take(&mut self.broadcast_due) {
            let notice = Message { descriptors: vec![self.local], owners: self.owners, ..Message::default() };
            let others: Vec<IpAddr> = self.alive(now).iter().map(|descriptor| descriptor.ip).collect();
            for ip in others {
                if ip != self.local.ip && messages.iter().all(|(target, _)| *target != ip) {
                    messages.push((ip, notice.clone()));
                }
            }
        }
        messages
    }

    /// The view is filled up with a draw from all that are there.
    fn shuffle(&mut self, now: Duration) {
        let limit = self.failure_timeout();
        let alive: Vec<IpAddr> =
            self.known.iter().filter(|(_, k)| now < k.heartbeat_at + limit).map(|(ip, _)| *ip).collect();
        self.view.retain(|ip| alive.contains(ip));
        let mut others: Vec<IpAddr> = alive.into_iter().filter(|ip| !self.view.contains(ip)).collect();
        while self.view.len() < VIEW_SIZE && !others.is_empty() {
            let at = self.rng.rand_range(0..others.len() as u32) as usize;
            self.view.push(others.swap_remove(at));
        }
    }

    /// What another says; an answer, if it asks for one.
    pub fn receive(&mut self, now: Duration, message: &Message) -> Option<Message> {
        let alone = self.known.is_empty();
        for descriptor in &message.descriptors {
            if descriptor.ip == self.local.ip {
                self.advance_start(now, descriptor);
                continue;
            }
            let has_space = self.known.len() < MAX_KNOWN;
            match self.known.get_mut(&descriptor.ip) {
                Some(known)
                    if (known.descriptor.since, known.descriptor.heartbeat)
                        < (descriptor.since, descriptor.heartbeat) =>
                {
                    *known = Known { descriptor: *descriptor, heartbeat_at: now };
                }
                Some(_) => {}
                None if has_space => {
                    self.known.insert(descriptor.ip, Known { descriptor: *descriptor, heartbeat_at: now });
                }
                None => {}
            }
        }
        // A newcomer has now heard who is there: it tells all of them that it serves.
        if alone && !self.known.is_empty() && self.local.incarnation != 0 {
            (self.broadcast_due, self.due) = (true, now);
        }
        let requested = self.apply_heartbeats(now, &message.heartbeats);
        self.reply(now, message, requested)
    }

    /// What another process said from this address. One that began later by its clock was here before all the same, so
    /// the clock has been set back: this one goes on after it, or nobody would take its word for newer.
    fn advance_start(&mut self, now: Duration, before: &Descriptor) {
        let Some(since) = before.since.checked_add(1).filter(|_| before.since > self.local.since) else {
            return;
        };
        self.local.since = since;
        (self.broadcast_due, self.due) = (true, now);
    }

    /// Sources of a letter of which this one knows a later beginning: their word is not taken, and they are told so.
    fn outdated(&self, message: &Message) -> Vec<Descriptor> {
        let known = message.descriptors.iter().filter_map(|descriptor| {
            let known = self.known.get(&descriptor.ip)?.descriptor;
            (known.since > descriptor.since).then_some(known)
        });
        known.collect()
    }

    /// Beats of sources that are known; the others are wanted in whole.
    fn apply_heartbeats(&mut self, now: Duration, heartbeats: &[Heartbeat]) -> Vec<IpAddr> {
        let mut requested = Vec::new();
        for heartbeat in heartbeats.iter().filter(|heartbeat| heartbeat.ip != self.local.ip) {
            match self.known.get_mut(&heartbeat.ip) {
                Some(known) if known.descriptor.check() == heartbeat.check => {
                    if known.descriptor.heartbeat < heartbeat.heartbeat {
                        (known.descriptor.heartbeat, known.heartbeat_at) = (heartbeat.heartbeat, now);
                    }
                }
                _ => requested.push(heartbeat.ip),
            }
        }
        requested
    }

    pub fn next_due(&self) -> Duration {
        self.due
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ip(n: u8) -> IpAddr {
        IpAddr::from([10, 0, 0, n])
    }

    /// A fleet on virtual time: rounds of exchanges, some of them lost.
    struct Fleet {
        all: Vec<Option<PeerSampler>>,
        rng: Rand32,
        loss_percent: u32,
    }

    impl Fleet {
        fn new(n: u8, seed: u64) -> Self {
            let mut all: Vec<_> = (0..n)
                .map(|i| Some(PeerSampler::new(ip(i), i % 3, 1, seed + u64::from(i), Duration::ZERO)))
                .collect();
            // All know the first one alone.
            for sampler in all.iter_mut().flatten() {
                sampler.add_contacts(Duration::ZERO, [ip(0)]);
                sampler.set_serving(Duration::ZERO, 7);
            }
            Fleet { all, rng: Rand32::new(seed), loss_percent: 3 }
        }

        fn run(&mut self, from: Duration, to: Duration) {
            let mut now = from;
            while now < to {
                for i in 0..self.all.len() {
                    let messages = self.all[i].as_mut().map(|v| v.tick(now)).unwrap_or_default();
                    for (to, message) in messages {
                        let IpAddr::V4(v4) = to else { continue };
                        let j = usize::from(v4.octets()[3]);
                        let Some(message) = Message::decode(&message.encode()) else { panic!("unreadable") };
                        if self.rng.rand_range(0..100) < self.loss_percent {
                            continue;
                        }
                        let mut reply = self.all[j].as_mut().and_then(|v| v.receive(now, &message));
                        // To and fro until nobody lacks anything.
                        let (mut local, mut remote) = (i, j);
                        while let Some(sent) = reply {
                            assert!(sent.encode().len() < 1400, "{} bytes", sent.encode().len());
                            if self.rng.rand_range(0..100) < self.loss_percent {
                                break;
                            }
                            reply = self.all[local].as_mut().and_then(|v| v.receive(now, &sent));
                            (local, remote) = (remote, local);
                        }
                        let _ = remote;
                    }
                }
                now += Duration::from_millis(50);
            }
        }

        fn alive_counts(&self, now: Duration) -> Vec<usize> {
            self.all
                .iter()
                .flatten()
                .map(|v| v.alive(now).iter().filter(|h| h.incarnation != 0).count())
                .collect()
        }
    }

    #[test]
    fn all_members_are_known_soon_and_stay_known() {
        for seed in 0..20 {
            let mut fleet = Fleet::new(64, seed);
            fleet.run(Duration::ZERO, Duration::from_secs(5));
            for at in 5..25 {
                let now = Duration::from_secs(at);
                assert!(
                    fleet.alive_counts(now).iter().all(|n| *n == 64),
                    "seed {seed} at {at}: {:?}",
                    fleet.alive_counts(now)
                );
                fleet.run(now, now + Duration::from_secs(1));
            }
        }
    }

    #[test]
    fn ended_member_is_dropped_and_its_new_incarnation_added() {
        let mut fleet = Fleet::new(9, 3);
        fleet.run(Duration::ZERO, Duration::from_secs(4));
        fleet.all[4] = None;
        fleet.run(Duration::from_secs(4), Duration::from_secs(10));
        assert_eq!(fleet.alive_counts(Duration::from_secs(10)), vec![8; 8]);
        let mut restarted = PeerSampler::new(ip(4), 1, 2, 99, Duration::from_secs(10));
        restarted.set_serving(Duration::from_secs(10), 8);
        restarted.add_contacts(Duration::from_secs(10), [ip(2)]);
        fleet.all[4] = Some(restarted);
        fleet.run(Duration::from_secs(10), Duration::from_secs(13));
        assert_eq!(fleet.alive_counts(Duration::from_secs(13)), vec![9; 9]);
        let members = fleet.all[0].as_ref().map(|v| v.alive(Duration::from_secs(13))).unwrap_or_default();
        assert!(members.iter().any(|h| h.ip == ip(4) && h.incarnation == 8));
    }

    /// Guards against a life that is taken for the one before it: its beat comes in short to who knows only that one.
    #[test]
    fn heartbeat_of_unknown_incarnation_is_queried() {
        let mut fleet = Fleet::new(3, 5);
        fleet.loss_percent = 0;
        fleet.run(Duration::ZERO, Duration::from_secs(3));
        let now = Duration::from_secs(3);
        let restarted = Descriptor { ip: ip(2), zone_index: 2, incarnation: 9, since: 2, heartbeat: 1 };
        let heartbeats = vec![Heartbeat { ip: ip(2), heartbeat: 400, check: restarted.check() }];
        let update = Message { heartbeats, ..Message::default() };
        let Some(sampler) = &mut fleet.all[0] else { panic!("gone") };
        let reply = sampler.receive(now, &update).unwrap_or_default();
        assert_eq!(reply.requested, vec![ip(2)]);
        assert!(sampler.alive(now).iter().all(|h| h.incarnation == 7));
        sampler.receive(now, &Message { descriptors: vec![restarted], ..Message::default() });
        assert!(sampler.alive(now).iter().any(|h| h.ip == ip(2) && h.incarnation == 9));
    }

    /// Guards against the growth of what pages say at rest: at 65 of them it was a quarter of all bytes between zones.
    #[test]
    fn messages_stay_short_without_changes() {
        let mut fleet = Fleet::new(64, 1);
        fleet.run(Duration::ZERO, Duration::from_secs(5));
        let now = Duration::from_secs(5);
        let sizes = fleet.all.iter_mut().flatten().flat_map(|v| v.tick(now + ROUND));
        let sizes: Vec<usize> = sizes.map(|(_, message)| message.encode().len()).collect();
        assert!(sizes.iter().all(|n| *n < 520), "{sizes:?}");
    }

    /// Guards against what broke LIMIT on calm days: pages that had asked two archives knew two halves of each other, each
    /// half with lenders of its own.
    #[test]
    fn two_separate_groups_join_after_one_contact() {
        let mut fleet = Fleet::new(8, 11);
        for (i, sampler) in fleet.all.iter_mut().enumerate() {
            let Some(sampler) = sampler else { continue };
            *sampler = PeerSampler::new(ip(i as u8), 0, 1, i as u64, Duration::ZERO);
            sampler.set_serving(Duration::ZERO, 7);
            sampler.add_contacts(Duration::ZERO, [ip(if i < 4 { 0 } else { 4 })]);
        }
        let at = Duration::from_secs(6);
        fleet.run(Duration::ZERO, at);
        assert_eq!(fleet.alive_counts(at), vec![4; 8]);
        if let Some(sampler) = &mut fleet.all[6] {
            sampler.add_contacts(at, [ip(1)]);
        }
        fleet.run(at, at + Duration::from_secs(4));
        assert_eq!(fleet.alive_counts(at + Duration::from_secs(4)), vec![8; 8]);
    }

    #[test]
    fn truncated_message_is_dropped() {
        let descriptor = Descriptor { ip: ip(1), zone_index: 0, incarnation: 1, since: 5, heartbeat: 9 };
        let heartbeats = vec![Heartbeat { ip: ip(2), heartbeat: 7, check: descriptor.check() }];
        let message = Message {
            wants_reply: true,
            known: 3,
            descriptors: vec![descriptor],
            heartbeats,
            requested: vec![ip(3)],
            owners: (2, 9),
        };
        let bytes = message.encode();
        for end in 0..bytes.len() {
            assert!(Message::decode(&bytes[..end]).is_none(), "cut at {end}");
        }
        assert_eq!(Message::decode(&bytes), Some(message));
    }
}
