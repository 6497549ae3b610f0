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
/// Sources in one letter, in whole: keeps it under a packet's size.
const LINES: usize = 80;
/// And in short, drawn from all that are known: news still reaches all well before a beat counts as still.
const SHORT: usize = 48;
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

impl Heard {
    /// Of what stays the same in a process's life.
    fn check(&self) -> [u8; 2] {
        let life = u64::from(self.life) << 8 | u64::from(self.place);
        let mixed = (life ^ self.since.rotate_left(24)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        [(mixed >> 48) as u8, (mixed >> 56) as u8]
    }
}

/// The same in short, for who has heard the rest of it: half of all bytes between pages were lives and places that both
/// sides knew.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    pub ip: IpAddr,
    pub beat: u32,
    pub check: [u8; 2],
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Letter {
    /// An answer to this is wanted.
    pub asks: bool,
    /// How many sources the writer knows.
    pub known: u16,
    pub heard: Vec<Heard>,
    pub beats: Vec<Beat>,
    /// Sources of which a beat came that does not fit what is known: all of it is wanted.
    pub wants: Vec<IpAddr>,
    /// Up to which number and version the writer knows who owns slots.
    pub owners: (u64, u64),
}

impl Letter {
    /// None for what cannot be read.
    pub fn read(bytes: &[u8]) -> Option<Letter> {
        let (letter, rest) = postcard::take_from_bytes::<Letter>(bytes).ok()?;
        let fits = letter.heard.len() <= LINES && letter.beats.len() <= LINES && letter.wants.len() <= LINES;
        (rest.is_empty() && fits).then_some(letter)
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
    /// Told in each letter.
    owners: (u64, u64),
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
            owners: (0, 0),
        }
    }

    /// Up to which number and version this one knows who owns slots; told in each letter from now on.
    pub fn know_owners(&mut self, owners: (u64, u64)) {
        self.owners = owners;
    }

    /// The life of the process that serves here; 0 if none does.
    pub fn life(&self) -> u32 {
        self.own.life
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

    /// Up to `most` of those that are there, drawn by chance.
    fn some(&mut self, now: Duration, most: usize, which: impl Fn(&Heard) -> bool) -> Vec<Heard> {
        let limit = self.gone_after();
        let there = self.known.values().filter(|k| now < k.moved + limit).map(|k| k.heard);
        let mut some: Vec<Heard> = there.filter(which).collect();
        while some.len() > most {
            let at = self.chance.rand_range(0..some.len() as u32) as usize;
            some.swap_remove(at);
        }
        some
    }

    fn letter(&self, asks: bool, short: &[Heard]) -> Letter {
        let beats = short.iter().map(|h| Beat { ip: h.ip, beat: h.beat, check: h.check() }).collect();
        let known = self.known.len() as u16;
        Letter { asks, known, heard: vec![self.own], beats, wants: Vec::new(), owners: self.owners }
    }

    /// What the writer of a letter lacks, as far as it shows, and what this one lacks of its sources.
    fn answer(&mut self, now: Duration, letter: &Letter, wants: Vec<IpAddr>) -> Option<Letter> {
        let asked: Vec<Heard> = letter
            .wants
            .iter()
            .filter_map(
                |ip| if *ip == self.own.ip { Some(self.own) } else { Some(self.known.get(ip)?.heard) },
            )
            .collect();
        if !letter.asks {
            let nothing = asked.is_empty() && wants.is_empty();
            let known = self.known.len() as u16;
            let owners = self.owners;
            return (!nothing).then_some(Letter { known, heard: asked, wants, owners, ..Letter::default() });
        }
        // Who knows few is told of all in whole: until then it lends what others lend.
        let newcomer = usize::from(letter.known) * 2 < self.known.len();
        let says: BTreeMap<IpAddr, &Beat> = letter.beats.iter().map(|beat| (beat.ip, beat)).collect();
        let newer = |h: &Heard| {
            letter.heard.iter().all(|l| l.ip != h.ip || (l.since, l.beat) < (h.since, h.beat))
                && says.get(&h.ip).is_none_or(|beat| beat.check != h.check() || beat.beat < h.beat)
        };
        let mut back = match newcomer {
            true => Letter { heard: self.some(now, LINES - 1, newer), ..self.letter(false, &[]) },
            false => {
                let some = self.some(now, SHORT, newer);
                self.letter(false, &some)
            }
        };
        if newcomer {
            back.heard.push(self.own);
        }
        let mut heard = self.outdated(letter);
        heard.append(&mut back.heard);
        heard.extend(asked);
        heard.truncate(LINES);
        back.heard = heard;
        back.wants = wants;
        Some(back)
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
        let some = self.some(now, SHORT, |_| true);
        let letter = self.letter(true, &some);
        let mut letters: Vec<(IpAddr, Letter)> = to.into_iter().map(|ip| (ip, letter.clone())).collect();
        // Lenders change with who serves: two that each lend the same slots until a letter has gone round broke LIMIT.
        if std::mem::take(&mut self.urgent) {
            let word = Letter { heard: vec![self.own], owners: self.owners, ..Letter::default() };
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
                self.follow(now, heard);
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
        let wants = self.beats(now, &letter.beats);
        self.answer(now, letter, wants)
    }

    /// What another process said from this address. One that began later by its clock was here before all the same, so
    /// the clock has been set back: this one goes on after it, or nobody would take its word for newer.
    fn follow(&mut self, now: Duration, before: &Heard) {
        let Some(since) = before.since.checked_add(1).filter(|_| before.since > self.own.since) else {
            return;
        };
        self.own.since = since;
        (self.urgent, self.due) = (true, now);
    }

    /// Sources of a letter of which this one knows a later beginning: their word is not taken, and they are told so.
    fn outdated(&self, letter: &Letter) -> Vec<Heard> {
        let known = letter.heard.iter().filter_map(|heard| {
            let known = self.known.get(&heard.ip)?.heard;
            (known.since > heard.since).then_some(known)
        });
        known.collect()
    }

    /// Beats of sources that are known; the others are wanted in whole.
    fn beats(&mut self, now: Duration, beats: &[Beat]) -> Vec<IpAddr> {
        let mut wants = Vec::new();
        for beat in beats.iter().filter(|beat| beat.ip != self.own.ip) {
            match self.known.get_mut(&beat.ip) {
                Some(known) if known.heard.check() == beat.check => {
                    if known.heard.beat < beat.beat {
                        (known.heard.beat, known.moved) = (beat.beat, now);
                    }
                }
                _ => wants.push(beat.ip),
            }
        }
        wants
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
                        let mut answer = self.all[j].as_mut().and_then(|v| v.hear(now, &letter));
                        // To and fro until nobody lacks anything.
                        let (mut here, mut there) = (i, j);
                        while let Some(said) = answer {
                            assert!(said.write().len() < 1400, "{} bytes", said.write().len());
                            if self.chance.rand_range(0..100) < self.lost {
                                break;
                            }
                            answer = self.all[here].as_mut().and_then(|v| v.hear(now, &said));
                            (here, there) = (there, here);
                        }
                        let _ = there;
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

    /// Guards against a life that is taken for the one before it: its beat comes in short to who knows only that one.
    #[test]
    fn a_beat_of_another_life_is_asked_after() {
        let mut fleet = Fleet::new(3, 5);
        fleet.lost = 0;
        fleet.run(Duration::ZERO, Duration::from_secs(3));
        let now = Duration::from_secs(3);
        let anew = Heard { ip: ip(2), place: 2, life: 9, since: 2, beat: 1 };
        let beats = vec![Beat { ip: ip(2), beat: 400, check: anew.check() }];
        let short = Letter { beats, ..Letter::default() };
        let Some(views) = &mut fleet.all[0] else { panic!("gone") };
        let answer = views.hear(now, &short).unwrap_or_default();
        assert_eq!(answer.wants, vec![ip(2)]);
        assert!(views.there(now).iter().all(|h| h.life == 7));
        views.hear(now, &Letter { heard: vec![anew], ..Letter::default() });
        assert!(views.there(now).iter().any(|h| h.ip == ip(2) && h.life == 9));
    }

    /// Guards against the growth of what pages say at rest: at 65 of them it was a quarter of all bytes between zones.
    #[test]
    fn letters_stay_short_at_rest() {
        let mut fleet = Fleet::new(64, 1);
        fleet.run(Duration::ZERO, Duration::from_secs(5));
        let now = Duration::from_secs(5);
        let sizes = fleet.all.iter_mut().flatten().flat_map(|v| v.tick(now + ROUND));
        let sizes: Vec<usize> = sizes.map(|(_, letter)| letter.write().len()).collect();
        assert!(sizes.iter().all(|n| *n < 520), "{sizes:?}");
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
        let heard = Heard { ip: ip(1), place: 0, life: 1, since: 5, beat: 9 };
        let beats = vec![Beat { ip: ip(2), beat: 7, check: heard.check() }];
        let letter =
            Letter { asks: true, known: 3, heard: vec![heard], beats, wants: vec![ip(3)], owners: (2, 9) };
        let bytes = letter.write();
        for end in 0..bytes.len() {
            assert!(Letter::read(&bytes[..end]).is_none(), "cut at {end}");
        }
        assert_eq!(Letter::read(&bytes), Some(letter));
    }
}
