//! The page's carrying, as in `house::page`: what it pulls, follows, hears and tells the desk beside it.

use crate::notes::{Listed, Mark, Note, Proxy, PEER_PORT};
use crate::planted::Planted;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tindock_catalogue::Catalogue;
use tindock_circulation::{Applied, Replica};
use tindock_gazette::{Message, PeerSampler};

const PULL: Duration = Duration::from_millis(700);
const SILENT: Duration = Duration::from_millis(1500);
/// The same for a page that knows nothing yet.
const EAGER: Duration = Duration::from_millis(80);
const FOLLOW: Duration = Duration::from_millis(1000);
/// Who has another word of the owners after this is told by those it meets.
const OWNERS_SPREAD: Duration = Duration::from_millis(1000);
/// One follow in so many asks for other pages.
const GREETS: u32 = 4;
const FRESH: f64 = 0.5;
const IN_TOUCH: Duration = Duration::from_millis(1200);

/// To the desk beside it.
pub enum Told {
    Word(Rc<Catalogue>),
    Desks(Vec<(IpAddr, String, u32)>),
    Owners(Vec<(IpAddr, String, u32)>),
    Stacks { entries: Vec<Listed>, ended: Vec<String> },
    Fresh(bool),
    InTouch(bool),
}

pub enum Out {
    Note { to: SocketAddr, note: Note },
    Letter { to: IpAddr, letter: Message },
    Told(Told),
}

pub struct Page {
    ip: IpAddr,
    place: u8,
    places: Vec<(String, String)>,
    seeds: Vec<SocketAddr>,
    convergence: Duration,
    pub views: PeerSampler,
    catalogue: Option<Rc<Catalogue>>,
    archives: Vec<SocketAddr>,
    archive: usize,
    heard: Duration,
    pulled: Duration,
    followed: Duration,
    follows: u32,
    confirmed: Option<Duration>,
    fresh: bool,
    in_touch: bool,
    holder: Option<(SocketAddr, u64)>,
    stacks: Replica,
    /// The mark of the owners that are known, and since when.
    owners: (Mark, Duration),
    desks: Vec<(IpAddr, String, u32)>,
    planted: Option<Planted>,
    pub out: Vec<Out>,
}

pub struct Terms {
    pub ip: IpAddr,
    pub zone: String,
    pub places: Vec<(String, String)>,
    pub seeds: Vec<SocketAddr>,
    pub convergence: Duration,
    /// When the process began, ms by the machine's own date.
    pub since: u64,
    pub seed: u64,
    pub planted: Option<Planted>,
}

impl Page {
    pub fn new(terms: Terms) -> Page {
        let place = terms.places.iter().position(|(zone, _)| *zone == terms.zone).unwrap_or(0) as u8;
        let mut page = Page {
            views: PeerSampler::new(terms.ip, place, terms.since, terms.seed, Duration::ZERO),
            ip: terms.ip,
            place,
            places: terms.places,
            archives: terms.seeds.clone(),
            seeds: terms.seeds,
            convergence: terms.convergence,
            catalogue: None,
            archive: terms.seed as usize,
            heard: Duration::ZERO,
            pulled: Duration::ZERO,
            followed: Duration::ZERO,
            follows: 0,
            confirmed: None,
            fresh: false,
            in_touch: false,
            holder: None,
            stacks: Replica::default(),
            owners: (Mark::default(), Duration::ZERO),
            desks: Vec::new(),
            planted: terms.planted,
            out: Vec::new(),
        };
        page.pull(Duration::ZERO);
        page
    }

    fn send(&mut self, to: SocketAddr, note: Note) {
        self.out.push(Out::Note { to, note });
    }

    fn tell(&mut self, told: Told) {
        self.out.push(Out::Told(told));
    }

    fn pull(&mut self, now: Duration) {
        self.pulled = now;
        if self.archives.is_empty() {
            self.archives = self.seeds.clone();
        }
        if self.archives.is_empty() {
            return;
        }
        let to = self.archives[self.archive % self.archives.len()];
        let revision = self.catalogue.as_ref().map_or(0, |c| c.revision);
        let mark = self.stacks.mark();
        self.send(to, Note::Pull { ip: self.ip, revision, mark });
    }

    fn follow(&mut self, holder: SocketAddr) {
        self.follows = self.follows.wrapping_add(1);
        let greets = self.follows % GREETS == 1;
        let proxy = Proxy { ip: self.ip, zone_index: self.place, incarnation: self.views.incarnation() };
        self.send(holder, Note::Follow { mark: self.stacks.mark(), greets, proxy: Some(proxy) });
    }

    pub fn next_due(&self) -> Duration {
        self.views.next_due().min(self.pulled + PULL)
    }

    pub fn tick(&mut self, now: Duration) {
        for (to, letter) in self.views.tick(now) {
            self.out.push(Out::Letter { to, letter });
        }
        let new = self.heard == Duration::ZERO || !self.stacks.is_known();
        let silent = if new { EAGER } else { SILENT };
        if now >= self.heard + silent && now >= self.pulled + silent.min(Duration::from_millis(300)) {
            self.archive = self.archive.wrapping_add(1);
            if self.archive.is_multiple_of(8) {
                for seed in self.seeds.clone() {
                    if !self.archives.contains(&seed) {
                        self.archives.push(seed);
                    }
                }
            }
            self.pull(now);
        } else if now >= self.pulled + PULL {
            self.pull(now);
        }
        if let Some((holder, _)) = self.holder {
            if now >= self.followed + FOLLOW {
                self.followed = now;
                self.follow(holder);
            }
        }
        let newest = self.convergence.mul_f64(FRESH);
        let fresh = self.confirmed.is_some_and(|at| now < at + newest);
        if fresh != self.fresh {
            self.fresh = fresh;
            self.tell(Told::Fresh(fresh));
        }
        let in_touch = self.heard > Duration::ZERO && now < self.heard + IN_TOUCH;
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            self.tell(Told::InTouch(in_touch));
        }
        let desks: Vec<(IpAddr, String, u32)> = self
            .views
            .alive(now)
            .into_iter()
            .filter(|heard| heard.incarnation != 0)
            .filter_map(|heard| {
                let zone = self.places.get(usize::from(heard.zone_index))?.0.clone();
                Some((heard.ip, zone, heard.incarnation))
            })
            .collect();
        if desks != self.desks {
            self.desks = desks.clone();
            self.tell(Told::Desks(desks));
        }
    }

    /// A letter of another page; the answer, if it wants one.
    pub fn letter(&mut self, now: Duration, from: IpAddr, letter: &Message) {
        self.pass_owners_on(now, from, letter.owners);
        if let Some(answer) = self.views.receive(now, letter) {
            self.out.push(Out::Letter { to: from, letter: answer });
        }
    }

    /// Who serves beside this page has changed.
    pub fn serves(&mut self, now: Duration, life: u32) {
        if self.views.incarnation() == life {
            return;
        }
        self.views.set_serving(now, life);
        if let Some((holder, _)) = self.holder {
            self.followed = now;
            self.follow(holder);
        }
    }

    fn tell_owners(&mut self, now: Duration) {
        let place = |proxy: &Proxy| {
            let zone = self.places.get(usize::from(proxy.zone_index))?.0.clone();
            Some((proxy.ip, zone, proxy.incarnation))
        };
        let Some(owners) = self.stacks.owners() else { return };
        let mark = owners.mark;
        let desks = owners.proxies.iter().filter_map(place).collect();
        self.tell(Told::Owners(desks));
        if mark != self.owners.0 {
            self.owners = (mark, now);
            self.views.set_owners((mark.number, mark.version));
        }
    }

    /// Another page knows older owners than this one has known for a while.
    fn pass_owners_on(&mut self, now: Duration, to: IpAddr, known: (u64, u64)) {
        let known = Mark { number: known.0, version: known.1 };
        let (mark, since) = self.owners;
        if known >= mark || now < since + OWNERS_SPREAD {
            return;
        }
        if let Some(owners) = self.stacks.owners().cloned() {
            self.send(SocketAddr::new(to, PEER_PORT), Note::Owners(owners));
        }
    }

    /// What the desk tells, carried to whoever holds the duty.
    pub fn carry(&mut self, note: Note) {
        let Some((holder, _)) = self.holder else { return };
        match &note {
            Note::Gone(instance) => self.stacks.remove(instance),
            Note::Ready(instance) => self.stacks.mark_ready(instance),
            _ => {}
        }
        self.send(holder, note);
    }

    pub fn note(&mut self, now: Duration, note: Note) {
        match note {
            Note::News { holder, revision, touch, archives, pages } => {
                if !archives.is_empty() && archives != self.archives {
                    let current = self.archives.get(self.archive % self.archives.len().max(1)).copied();
                    self.archives = archives;
                    self.archive =
                        self.archives.iter().position(|a| Some(*a) == current).unwrap_or(self.archive);
                }
                self.views.add_contacts(now, pages);
                let own = self.catalogue.as_ref().map_or(0, |c| c.revision);
                if touch {
                    self.heard = now;
                    if revision <= own && own > 0 {
                        self.confirmed = Some(now);
                    }
                }
                self.hear_holder(now, holder);
            }
            Note::Word(catalogue) => {
                let stays = self.planted == Some(Planted::OldWordStays) && self.catalogue.is_some();
                if !stays && self.catalogue.as_ref().is_none_or(|own| own.revision < catalogue.revision) {
                    self.tell(Told::Word(catalogue.clone()));
                    self.confirmed = Some(now);
                    self.catalogue = Some(catalogue);
                }
            }
            Note::Stacks(news) => match self.stacks.apply(now, &news) {
                Applied::Old => {}
                Applied::Gap => self.pull(now),
                Applied::New { ended } => {
                    let entries = news.entries.clone();
                    self.tell(Told::Stacks { entries, ended });
                    if news.owners.is_some() {
                        self.tell_owners(now);
                    }
                }
            },
            Note::Owners(owners) if self.stacks.apply_owners(&owners) => self.tell_owners(now),
            _ => {}
        }
    }

    /// The holder with the highest number is the one there is.
    fn hear_holder(&mut self, now: Duration, holder: Option<(SocketAddr, u64)>) {
        let Some((at, number)) = holder else { return };
        let newer = |(old, known): (SocketAddr, u64)| number > known || (number == known && at != old);
        if !self.holder.is_none_or(newer) {
            return;
        }
        self.holder = Some((at, number));
        self.followed = now;
        if number != self.stacks.mark().number {
            let numbers = self.stacks.numbers();
            let inherit =
                Note::Inherit { entries: self.stacks.entries(now), tag: self.stacks.tag(), numbers };
            self.send(at, inherit);
        }
        self.follow(at);
    }
}
