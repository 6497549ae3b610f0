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
const VIEW: usize = 8;
/// A stranger is greeted this often at the most, until somebody names it again.
const GREETED: u8 = 5;
/// Sources in one letter: keeps it under a packet's size.
const LINES: usize = 80;
/// Sources kept; a deployment has some tens to a thousand.
const KEPT: usize = 4096;
/// A source that has gone is remembered so long, so that an old letter does not bring it back.
const REMEMBERED: Duration = Duration::from_secs(30);

/// What one source says of itself; `place` is the zone's number in the sorted list that all know, `life` names the
/// process that serves there (0: none does).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    pub ip: IpAddr,
    pub place: u8,
    pub life: u32,
    /// When the page's process began (ms, its own clock): a later one holds.
    pub since: u64,
    pub beat: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Letter {
    /// An answer to this is wanted.
    pub asks: bool,
    pub heard: Vec<Heard>,
}

impl Letter {
    /// None for what cannot be read.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        let (letter, rest) = postcard::take_from_bytes::<Letter>(bytes).ok()?;
        (rest.is_empty() && letter.heard.len() <= LINES).then_some(letter)
    }

    pub fn write(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct Known {
    heard: Heard,
    moved: Duration, // when its beat last grew, by our clock
}

pub struct Views {
    own: Heard,
    known: BTreeMap<IpAddr, Known>,
    view: Vec<IpAddr>,
    strangers: Vec<(IpAddr, u8)>, // and how often they were greeted without a word
    chance: Rand32,
    due: Duration,
    /// Who serves here has changed: all are told at once, not one at a time.
    urgent: bool,
}

impl Views {
    pub fn new(ip: IpAddr, place: u8, since: u64, seed: u64, now: Duration) -> Self {
        let own = Heard { ip, place, life: 0, since, beat: 0 };
        Views {
            own,
            known: BTreeMap::new(),
            view: Vec::new(),
            strangers: Vec::new(),
            chance: Rand32::new(seed),
            due: now,
            urgent: false,
        }
    }

    /// The process that serves here; told on at the next exchange, which is due at once.
    pub fn serves(&mut self, now: Duration, life: u32) {
        if self.own.life != life {
            self.own.life = life;
            self.own.beat += 1;
            self.due = now;
            self.urgent = true;
        }
    }

    /// Addresses that somebody knows: greeted if nothing is heard of them here. One that has gone by what is heard may only be
    /// cut off from all who speak here: so two islands join again.
    pub fn greet(&mut self, now: Duration, ips: impl IntoIterator<Item = IpAddr>) {
        let limit = self.gone_after();
        for ip in ips {
            let there = ip == self.own.ip || self.known.get(&ip).is_some_and(|k| now < k.moved + limit);
            if !there && self.strangers.iter().all(|(known, _)| *known != ip) && self.strangers.len() < 32 {
                self.strangers.push((ip, 0));
            }
        }
    }

    /// A beat stands still for longer than this many rounds only if its source has gone: news reaches all in about
    /// log2(n) rounds, and each round may fail.
    fn gone_after(&self) -> Duration {
        let rounds = 5.0 + 1.5 * (self.known.len() as f64 + 1.0).log2();
        ROUND.mul_f64(rounds)
    }

    /// Everyone who is there, this one among them, in the order of addresses.
    pub fn there(&self, now: Duration) -> Vec<Heard> {
        let limit = self.gone_after();
        let known = self.known.values().filter(|k| now < k.moved + limit).map(|k| k.heard);
        let mut all: Vec<Heard> = known.chain(std::iter::once(self.own)).collect();
        all.sort_by_key(|heard| heard.ip);
        all
    }

    fn letter(&mut self, now: Duration, asks: bool, leave_out: &[Heard]) -> Letter {
        let limit = self.gone_after();
        let newer = |heard: &Heard| {
            !leave_out
                .iter()
                .any(|other| other.ip == heard.ip && (other.since, other.beat) >= (heard.since, heard.beat))
        };
        let mut heard: Vec<Heard> = self
            .known
            .values()
            .filter(|k| now < k.moved + limit)
            .map(|k| k.heard)
            .filter(|h| newer(h))
            .collect();
        while heard.len() >= LINES {
            let at = self.chance.rand_range(0..heard.len() as u32) as usize;
            heard.swap_remove(at);
        }
        heard.push(self.own);
        Letter { asks, heard }
    }

    /// Letters that are due now.
    pub fn tick(&mut self, now: Duration) -> Vec<(IpAddr, Letter)> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + ROUND;
        self.own.beat = self.own.beat.wrapping_add(1);
        self.known.retain(|_, k| now < k.moved + REMEMBERED);
        // A greeting may be lost, and a page that knows nobody would stay alone.
        let limit = self.gone_after();
        let known = &self.known;
        self.strangers
            .retain(|(ip, tries)| *tries < GREETED && known.get(ip).is_none_or(|k| now >= k.moved + limit));
        let mut to: Vec<IpAddr> = Vec::new();
        for (ip, tries) in self.strangers.iter_mut().take(3) {
            *tries += 1;
            to.push(*ip);
        }
        self.shuffle(now);
        if !self.view.is_empty() {
            let at = self.chance.rand_range(0..self.view.len() as u32) as usize;
            to.push(self.view.swap_remove(at));
        }
        let letter = self.letter(now, true, &[]);
        let mut letters: Vec<(IpAddr, Letter)> = to.into_iter().map(|ip| (ip, letter.clone())).collect();
        // Lenders change with who serves: two that each lend the same slots until a letter has gone round broke LIMIT.
        if std::mem::take(&mut self.urgent) {
            let word = Letter { asks: false, heard: vec![self.own] };
            let others: Vec<IpAddr> = self.there(now).iter().map(|heard| heard.ip).collect();
            for ip in others {
                if ip != self.own.ip && letters.iter().all(|(told, _)| *told != ip) {
                    letters.push((ip, word.clone()));
                }
            }
        }
        letters
    }

    /// The view is filled up with a draw from all that are there.
    fn shuffle(&mut self, now: Duration) {
        let limit = self.gone_after();
        let there: Vec<IpAddr> =
            self.known.iter().filter(|(_, k)| now < k.moved + limit).map(|(ip, _)| *ip).collect();
        self.view.retain(|ip| there.contains(ip));
        let mut others: Vec<IpAddr> = there.into_iter().filter(|ip| !self.view.contains(ip)).collect();
        while self.view.len() < VIEW && !others.is_empty() {
            let at = self.chance.rand_range(0..others.len() as u32) as usize;
            self.view.push(others.swap_remove(at));
        }
    }

    /// What another says; an answer, if it asks for one.
    pub fn hear(&mut self, now: Duration, letter: &Letter) -> Option<Letter> {
        let alone = self.known.is_empty();
        for heard in &letter.heard {
            if heard.ip == self.own.ip {
                continue;
            }
            let room = self.known.len() < KEPT;
            match self.known.get_mut(&heard.ip) {
                Some(known) if (known.heard.since, known.heard.beat) < (heard.since, heard.beat) => {
                    *known = Known { heard: *heard, moved: now };
                }
                Some(_) => {}
                None if room => {
                    self.known.insert(heard.ip, Known { heard: *heard, moved: now });
                }
                None => {}
            }
        }
        // A newcomer has now heard who is there: it tells all of them that it serves.
        if alone && !self.known.is_empty() && self.own.life != 0 {
            (self.urgent, self.due) = (true, now);
        }
        letter.asks.then(|| self.letter(now, false, &letter.heard))
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
        all: Vec<Option<Views>>,
        chance: Rand32,
        lost: u32, // in a hundred
    }

    impl Fleet {
        fn new(n: u8, seed: u64) -> Self {
            let mut all: Vec<_> = (0..n)
                .map(|i| Some(Views::new(ip(i), i % 3, 1, seed + u64::from(i), Duration::ZERO)))
                .collect();
            // All know the first one alone.
            for views in all.iter_mut().flatten() {
                views.greet(Duration::ZERO, [ip(0)]);
                views.serves(Duration::ZERO, 7);
            }
            Fleet { all, chance: Rand32::new(seed), lost: 3 }
        }

        fn run(&mut self, from: Duration, to: Duration) {
            let mut now = from;
            while now < to {
                for i in 0..self.all.len() {
                    let letters = self.all[i].as_mut().map(|v| v.tick(now)).unwrap_or_default();
                    for (to, letter) in letters {
                        let IpAddr::V4(v4) = to else { continue };
                        let j = usize::from(v4.octets()[3]);
                        let Some(letter) = Letter::read(&letter.write()) else { panic!("unreadable") };
                        if self.chance.rand_range(0..100) < self.lost {
                            continue;
                        }
                        let answer = self.all[j].as_mut().and_then(|v| v.hear(now, &letter));
                        if let (Some(answer), Some(views)) = (answer, self.all[i].as_mut()) {
                            views.hear(now, &answer);
                        }
                    }
                }
                now += Duration::from_millis(50);
            }
        }

        fn seen(&self, now: Duration) -> Vec<usize> {
            self.all.iter().flatten().map(|v| v.there(now).iter().filter(|h| h.life != 0).count()).collect()
        }
    }

    #[test]
    fn all_know_all_soon_and_lose_nobody_at_rest() {
        for seed in 0..20 {
            let mut fleet = Fleet::new(64, seed);
            fleet.run(Duration::ZERO, Duration::from_secs(5));
            for at in 5..25 {
                let now = Duration::from_secs(at);
                assert!(
                    fleet.seen(now).iter().all(|n| *n == 64),
                    "seed {seed} at {at}: {:?}",
                    fleet.seen(now)
                );
                fleet.run(now, now + Duration::from_secs(1));
            }
        }
    }

    #[test]
    fn who_dies_ages_out_and_a_new_life_comes_in() {
        let mut fleet = Fleet::new(9, 3);
        fleet.run(Duration::ZERO, Duration::from_secs(4));
        fleet.all[4] = None;
        fleet.run(Duration::from_secs(4), Duration::from_secs(10));
        assert_eq!(fleet.seen(Duration::from_secs(10)), vec![8; 8]);
        let mut anew = Views::new(ip(4), 1, 2, 99, Duration::from_secs(10));
        anew.serves(Duration::from_secs(10), 8);
        anew.greet(Duration::from_secs(10), [ip(2)]);
        fleet.all[4] = Some(anew);
        fleet.run(Duration::from_secs(10), Duration::from_secs(13));
        assert_eq!(fleet.seen(Duration::from_secs(13)), vec![9; 9]);
        let lives = fleet.all[0].as_ref().map(|v| v.there(Duration::from_secs(13))).unwrap_or_default();
        assert!(lives.iter().any(|h| h.ip == ip(4) && h.life == 8));
    }

    /// Guards against what broke LIMIT on calm days: pages that had asked two archives knew two halves of each other, each
    /// half with lenders of its own.
    #[test]
    fn two_islands_join_once_one_page_hears_of_another() {
        let mut fleet = Fleet::new(8, 11);
        for (i, views) in fleet.all.iter_mut().enumerate() {
            let Some(views) = views else { continue };
            *views = Views::new(ip(i as u8), 0, 1, i as u64, Duration::ZERO);
            views.serves(Duration::ZERO, 7);
            views.greet(Duration::ZERO, [ip(if i < 4 { 0 } else { 4 })]);
        }
        let at = Duration::from_secs(6);
        fleet.run(Duration::ZERO, at);
        assert_eq!(fleet.seen(at), vec![4; 8]);
        if let Some(views) = &mut fleet.all[6] {
            views.greet(at, [ip(1)]);
        }
        fleet.run(at, at + Duration::from_secs(4));
        assert_eq!(fleet.seen(at + Duration::from_secs(4)), vec![8; 8]);
    }

    #[test]
    fn what_is_no_letter_is_dropped() {
        let letter =
            Letter { asks: true, heard: vec![Heard { ip: ip(1), place: 0, life: 1, since: 5, beat: 9 }] };
        let bytes = letter.write();
        for end in 0..bytes.len() {
            assert!(Letter::read(&bytes[..end]).is_none(), "cut at {end}");
        }
        assert_eq!(Letter::read(&bytes), Some(letter));
    }
}
