//! The page, an agent beside the desk on an edge machine: knows the other pages, pulls the operator's word and the stacks,
//! feeds the desk over loopback and carries what the desk has to tell to whoever holds the duty.

use crate::controller::{FOLLOW, UNLISTED};
use crate::messages::{AgentMessage, PeerMessage, ProxyInfo, ProxyMessage};
use crate::settings::Settings;
use crate::transport::{frame, listen, read_frame, PeerSender};
use spdlog::{info, warn};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tindock_catalogue::Catalogue;
use tindock_circulation::{Mark, Proxy, Replica, Stacks, Taken};
use tindock_gazette::{Message, PeerSampler};
use tindock_lifecycle::GracePeriod;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;

/// An archive is asked for news this often, and at once after a change of mind.
const PULL: Duration = Duration::from_millis(700);
/// One that has said nothing for so long is left for another.
const SILENT: Duration = Duration::from_millis(1500);
/// Controllers that were heard so lately are in reach: longer than a pull and its answer take.
const IN_TOUCH: Duration = Duration::from_millis(1200);
/// The same for a page that knows nothing yet: after a loss of everything each tenth of a second counts.
const EAGER: Duration = Duration::from_millis(80);
/// The same while the archive answers, but is not in touch with the others yet.
const FOUNDING: Duration = Duration::from_millis(2500);
const ANSWERS: Duration = Duration::from_millis(400);
/// Pages that tell a new holder what it may not find on the list: young instances, and numbers.
const TELLERS: usize = 6;
/// So long after its start a page that has found no archive of its own zone takes another.
const NEAR: Duration = Duration::from_millis(300);
/// The holder's word reaches all within this; who has another one by then is told by those it meets.
const OWNERS_SPREAD: Duration = Duration::from_millis(1000);
/// One pull in so many asks who else is there.
const PULL_GREETS: u32 = 6;
/// One follow in so many asks for other pages.
const GREETS: u32 = 4;
/// What was confirmed so lately counts as the newest.
const FRESH: f64 = 0.5; // of convergence_ms
/// Without a desk, or without an archive in touch, for so long: that is said in the log.
const ALONE: Duration = Duration::from_secs(3);
/// And the latter again this often.
const ALONE_AGAIN: Duration = Duration::from_secs(60);

enum Event {
    PeerMessage(SocketAddr, PeerMessage),
    Datagram(IpAddr, Message),
    ProxyConnected(mpsc::Sender<Vec<u8>>),
    ProxyMessage(ProxyMessage),
    ProxyDisconnected,
    /// The settings file has changed.
    Settings,
    Leave,
}

struct Agent {
    settings: Settings,
    me: SocketAddr,
    views: PeerSampler,
    peers: PeerSender,
    desk: Option<mpsc::Sender<Vec<u8>>>,
    catalogue: Option<Catalogue>,
    /// A change did not fit: the whole word is wanted.
    whole: bool,
    archives: Vec<SocketAddr>,
    archive: usize,
    heard: Duration,
    /// When the archive that is asked last said anything, in touch with the others or not.
    answered: Duration,
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
    /// Zones of archives, as they told them; one that did not answer counts as far.
    zones_of: BTreeMap<SocketAddr, u8>,
    place: u8,
    pulls: u32,
    desks: Vec<ProxyInfo>,
    start: Instant,
    said: Said,
}

/// What the log was told last.
struct Said {
    desk: bool,
    desk_due: Duration,
    /// That an archive was left, in this silence.
    left: bool,
    alone_due: Duration,
    alone: bool,
}

pub async fn run(settings: Settings) -> Result<(), String> {
    let start = Instant::now();
    let me = settings.peer_address();
    let listener = TcpListener::bind(me).await.map_err(|e| format!("{me}: {e}"))?;
    let datagrams = std::rc::Rc::new(UdpSocket::bind(me).await.map_err(|e| format!("{me}: {e}"))?);
    let beside = TcpListener::bind(settings.agent_address())
        .await
        .map_err(|e| format!("{}: {e}", settings.agent_address()))?;
    let (events, mut inbox) = mpsc::channel(1024);

    let (notes, mut heard) = mpsc::channel(256);
    tokio::task::spawn_local(listen::<PeerMessage>(listener, notes, 512));
    let into = events.clone();
    tokio::task::spawn_local(async move {
        while let Some((from, note)) = heard.recv().await {
            if into.send(Event::PeerMessage(from, note)).await.is_err() {
                return;
            }
        }
    });
    let (into, socket) = (events.clone(), datagrams.clone());
    tokio::task::spawn_local(async move {
        let mut buf = vec![0; 2048];
        loop {
            match socket.recv_from(&mut buf).await {
                Ok((n, from)) => {
                    if let Some(letter) = Message::decode(&buf[..n]) {
                        if into.send(Event::Datagram(from.ip(), letter)).await.is_err() {
                            return;
                        }
                    }
                }
                // A dead port at the other end: no reason to stop hearing.
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    });
    let into = events.clone();
    tokio::task::spawn_local(async move {
        loop {
            if let Ok((stream, _)) = beside.accept().await {
                desk_link(stream, &into).await;
                if into.send(Event::ProxyDisconnected).await.is_err() {
                    return;
                }
            }
        }
    });
    let into = events.clone();
    tokio::task::spawn_local(async move {
        if let Ok(mut term) = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()) {
            term.recv().await;
            let _ = into.send(Event::Leave).await;
        }
    });
    let into = events.clone();
    tokio::task::spawn_local(async move {
        let Ok(mut hangup) = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup()) else {
            return;
        };
        while hangup.recv().await.is_some() {
            if into.send(Event::Settings).await.is_err() {
                return;
            }
        }
    });

    let life = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let seed = life.as_nanos() as u64 ^ crate::controller::hash(&settings.node_name);
    let place = settings.zone_index();
    let mut page = Agent {
        me,
        views: PeerSampler::new(settings.ip_address, place, life.as_millis() as u64, seed, Duration::ZERO),
        peers: PeerSender::new(me),
        desk: None,
        catalogue: None,
        whole: false,
        archives: settings.seed_peers(),
        archive: seed as usize,
        heard: Duration::ZERO,
        answered: Duration::ZERO,
        pulled: Duration::ZERO,
        followed: Duration::ZERO,
        follows: 0,
        confirmed: None,
        fresh: false,
        in_touch: false,
        holder: None,
        stacks: Replica::default(),
        owners: (Mark::default(), Duration::ZERO),
        zones_of: BTreeMap::new(),
        place,
        pulls: 0,
        desks: Vec::new(),
        start,
        settings,
        said: Said { desk: false, desk_due: ALONE, left: true, alone_due: ALONE, alone: false },
    };
    info!("up: page at {me}, for the desk at {}", page.settings.agent_address());
    page.pull();
    let mut leaving: Option<Duration> = None;
    loop {
        let now = page.start.elapsed();
        if leaving.is_some_and(|at| now >= at) {
            return Ok(());
        }
        for (ip, letter) in page.views.tick(now) {
            let _ = datagrams.try_send_to(&letter.encode(), SocketAddr::new(ip, me.port()));
        }
        page.tick(now);
        let due = page.views.next_due().min(page.pulled + PULL).min(leaving.unwrap_or(Duration::MAX));
        let wait = due.saturating_sub(now).max(Duration::from_millis(2));
        match tokio::time::timeout(wait, inbox.recv()).await {
            Ok(Some(Event::Datagram(from, letter))) => {
                page.pass_owners_on(page.start.elapsed(), from, letter.owners);
                if let Some(answer) = page.views.receive(page.start.elapsed(), &letter) {
                    let _ = datagrams.try_send_to(&answer.encode(), SocketAddr::new(from, me.port()));
                }
            }
            Ok(Some(Event::Leave)) => {
                // The desk beside it ends what it holds; the page stays for that.
                let now = page.start.elapsed();
                info!("SIGTERM: leaving, with the desk");
                page.serves(now, 0);
                let grace = GracePeriod::new(crate::settings::seconds(page.settings.timers.grace_s));
                leaving = Some(now + grace.end());
            }
            Ok(Some(event)) => {
                let gone = matches!(event, Event::ProxyDisconnected);
                page.take(event, leaving.is_some());
                if gone && leaving.is_some() {
                    return Ok(());
                }
            }
            Ok(None) => return Ok(()),
            Err(_) => {}
        }
    }
}

/// One desk at a time: what it says comes in as events, what it is told goes out.
async fn desk_link(stream: TcpStream, events: &mpsc::Sender<Event>) {
    let _ = stream.set_nodelay(true);
    let (mut from, mut to) = stream.into_split();
    let (out, mut frames) = mpsc::channel::<Vec<u8>>(1024);
    let writer = tokio::task::spawn_local(async move {
        while let Some(bytes) = frames.recv().await {
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    if events.send(Event::ProxyConnected(out)).await.is_ok() {
        while let Some(tells) = read_frame::<ProxyMessage>(&mut from).await {
            if events.send(Event::ProxyMessage(tells)).await.is_err() {
                break;
            }
        }
    }
    writer.abort();
}

impl Agent {
    /// The seeds of the settings file as it is now; one that cannot be read changes nothing. Only seeds change in a
    /// process's life: its addresses and bounds are those it started with.
    fn reread(&mut self) {
        match Settings::from_environment() {
            Ok(settings) => {
                if settings.seed_peers != self.settings.seed_peers {
                    info!("seeds changed: {:?}", settings.seed_peers);
                    self.settings.seed_peers = settings.seed_peers;
                }
            }
            Err(fault) => warn!("settings not read again: {fault}"),
        }
    }

    /// Who serves beside this page has changed: the others and the holder are told at once.
    fn serves(&mut self, now: Duration, life: u32) {
        if self.views.incarnation() == life {
            return;
        }
        self.views.set_serving(now, life);
        if let Some((holder, _)) = self.holder {
            self.followed = now;
            let follow = self.follow();
            self.peers.send(holder, &follow);
        }
    }

    /// The proxies among which owners are chosen, as the desk takes them.
    fn tell_owners(&mut self) {
        let places = self.settings.zones_with_regions();
        let desk = |proxy: &Proxy| {
            let zone = places.get(usize::from(proxy.place))?.0.clone();
            Some(ProxyInfo { ip: proxy.ip, zone, incarnation: proxy.life })
        };
        let Some(owners) = self.stacks.owners() else { return };
        let mark = owners.mark;
        let desks = owners.proxies.iter().filter_map(desk).collect();
        self.tell(&AgentMessage::Owners(desks));
        if mark != self.owners.0 {
            self.owners = (mark, self.start.elapsed());
            self.views.set_owners((mark.number, mark.version));
        }
    }

    /// Another page knows older owners than this one has known for a while: whatever keeps the holder's word from it, it
    /// must not go on with those.
    fn pass_owners_on(&mut self, now: Duration, to: IpAddr, known: (u64, u64)) {
        let known = Mark { number: known.0, version: known.1 };
        let (mark, since) = self.owners;
        if known >= mark || now < since + OWNERS_SPREAD {
            return;
        }
        if let Some(owners) = self.stacks.owners() {
            self.peers.send(SocketAddr::new(to, self.me.port()), &PeerMessage::Owners(owners.clone()));
        }
    }

    fn tell(&mut self, told: &AgentMessage) {
        if let Some(desk) = &self.desk {
            // A desk that does not read is told everything again when it comes back.
            if desk.try_send(frame(told)).is_err() {
                self.desk = None;
            }
        }
    }

    fn pull(&mut self) {
        let now = self.start.elapsed();
        self.pulled = now;
        if self.archives.is_empty() {
            self.archives = self.settings.seed_peers();
        }
        if self.archives.is_empty() {
            return;
        }
        let to = self.archives[self.archive % self.archives.len()];
        let with_peers = self.heard == Duration::ZERO || self.pulls.is_multiple_of(PULL_GREETS);
        self.pulls = self.pulls.wrapping_add(1);
        let revision = self.catalogue.as_ref().filter(|_| !self.whole).map_or(0, |c| c.revision);
        let (ip, mark) = (self.me.ip(), self.stacks.mark());
        let with_data = self.wants_data(now, &to);
        self.peers.send(to, &PeerMessage::Pull { ip, revision, mark, with_peers, with_data });
        // All at once: the one of the own zone answers as soon as any. One that was left as silent may be that one, and back:
        // without a look now and then all pages of a zone would stay with a far one for good.
        let near = self.zones_of.get(&to) == Some(&self.place);
        for other in self.archives.clone() {
            let look = match self.zones_of.get(&other) {
                None => !with_data,
                Some(zone) => *zone == u8::MAX && with_peers && !near,
            };
            if other != to && look {
                self.peers.send(
                    other,
                    &PeerMessage::Pull { ip, revision, mark, with_peers: false, with_data: false },
                );
            }
        }
    }

    /// Whether this archive is to send the word and the stacks: one of the own zone, or any where there is none. The word was sent
    /// five times to each page when each archive that was asked on the way sent it.
    fn wants_data(&self, now: Duration, archive: &SocketAddr) -> bool {
        let near = self.zones_of.get(archive) == Some(&self.place);
        near || now >= NEAR || self.archives.iter().all(|at| self.zones_of.contains_key(at))
    }

    /// Whether this page is among the few that tell a new holder what all of them know; chosen by the number, so that no
    /// word is needed.
    fn one_of_few(&self, now: Duration, number: u64) -> bool {
        let weight = |ip: IpAddr| crate::controller::hash(&format!("{ip} {number}"));
        let own = weight(self.me.ip());
        self.views.alive(now).iter().filter(|heard| weight(heard.ip) < own).count() < TELLERS
    }

    /// What the holder is asked; once in some follows also for other pages, or two halves of them that began at two archives
    /// would never hear of each other.
    fn follow(&mut self) -> PeerMessage {
        self.follows = self.follows.wrapping_add(1);
        let proxy = Proxy { ip: self.me.ip(), place: self.place, life: self.views.incarnation() };
        PeerMessage::Follow {
            mark: self.stacks.mark(),
            with_peers: self.follows % GREETS == 1,
            proxy: Some(proxy),
        }
    }

    fn tick(&mut self, now: Duration) {
        // A page that has just started knows nothing: it asks one after the other until one answers.
        let new = self.heard == Duration::ZERO || !self.stacks.is_known();
        // One that answers is given the time that a core takes to found itself.
        let answers = self.answered > Duration::ZERO && now < self.answered + ANSWERS;
        let silent = match new {
            true if answers => FOUNDING,
            true => EAGER,
            false => SILENT,
        };
        if now >= self.heard + silent && now >= self.pulled + silent.min(Duration::from_millis(300)) {
            // Silent, or not in touch with the others: the next one, and the seeds again once in a while.
            let left = self.archive_now();
            if let Some(left) = left {
                self.zones_of.insert(left, u8::MAX);
            }
            self.archive = self.archive.wrapping_add(1);
            if self.archive.is_multiple_of(8) {
                // The file may have changed without a signal.
                self.reread();
                for seed in self.settings.seed_peers() {
                    if !self.archives.contains(&seed) {
                        self.archives.push(seed);
                    }
                }
            }
            if let (false, Some(left), Some(to)) = (self.said.left, left, self.archive_now()) {
                // Once a silence: the next ones may be as silent.
                self.said.left = true;
                let silent = now.saturating_sub(self.heard).as_millis();
                info!("archive {} left for {}: silent for {silent} ms", left.ip(), to.ip());
            }
            self.pull();
        } else if now >= self.pulled + if new { 2 * EAGER } else { PULL } {
            self.pull();
        }
        if let Some((holder, _)) = self.holder {
            if now >= self.followed + FOLLOW {
                self.followed = now;
                let follow = self.follow();
                self.peers.send(holder, &follow);
            }
        }
        self.say(now);
        let newest = crate::settings::seconds(self.settings.timers.convergence_ms / 1000.0 * FRESH);
        let fresh = self.confirmed.is_some_and(|at| now < at + newest);
        if fresh != self.fresh {
            self.fresh = fresh;
            self.tell(&AgentMessage::ConfigurationIsNewest(fresh));
        }
        let in_touch = self.heard > Duration::ZERO && now < self.heard + IN_TOUCH;
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            self.tell(&AgentMessage::ControllersReachable(in_touch));
        }
        let places = self.settings.zones_with_regions();
        let desks: Vec<ProxyInfo> = self
            .views
            .alive(now)
            .into_iter()
            .filter(|heard| heard.incarnation != 0)
            .filter_map(|heard| {
                let zone = places.get(usize::from(heard.zone_index))?.0.clone();
                Some(ProxyInfo { ip: heard.ip, zone, incarnation: heard.incarnation })
            })
            .collect();
        if desks != self.desks {
            self.desks = desks.clone();
            self.tell(&AgentMessage::Proxies(desks));
        }
    }

    fn archive_now(&self) -> Option<SocketAddr> {
        self.archives.get(self.archive % self.archives.len().max(1)).copied()
    }

    /// What has lasted long enough for the log.
    fn say(&mut self, now: Duration) {
        let there = self.desk.is_some();
        if there != self.said.desk || (!there && now >= self.said.desk_due) {
            (self.said.desk, self.said.desk_due) = (there, Duration::MAX);
            match there {
                true => info!("desk is there"),
                false => warn!("no desk beside this page"),
            }
        }
        if now >= self.said.alone_due && now >= self.heard + ALONE {
            (self.said.alone_due, self.said.alone) = (now + ALONE_AGAIN, true);
            warn!("no archive in touch for {} s", now.saturating_sub(self.heard).as_secs());
        }
    }

    fn take(&mut self, event: Event, leaving: bool) {
        let now = self.start.elapsed();
        match event {
            Event::PeerMessage(from, note) => self.note(now, from, note),
            Event::ProxyConnected(out) => {
                self.desk = Some(out);
                if let Some(catalogue) = self.catalogue.clone() {
                    self.tell(&AgentMessage::Configuration(catalogue));
                }
                self.tell(&AgentMessage::Proxies(self.desks.clone()));
                self.tell_owners();
                let entries = self.stacks.entries(now);
                if self.stacks.is_known() {
                    self.tell(&AgentMessage::Instances { entries, ended: Vec::new(), complete: true });
                }
                self.tell(&AgentMessage::ConfigurationIsNewest(self.fresh));
                self.tell(&AgentMessage::ControllersReachable(self.in_touch));
            }
            Event::ProxyMessage(ProxyMessage::Incarnation(life)) if !leaving => self.serves(now, life),
            Event::ProxyMessage(ProxyMessage::Incarnation(_)) => {}
            Event::ProxyMessage(ProxyMessage::Leaving) | Event::ProxyDisconnected => {
                self.serves(now, 0);
                if matches!(event, Event::ProxyDisconnected) {
                    self.desk = None;
                }
            }
            Event::ProxyMessage(tells) => {
                let Some((holder, _)) = self.holder else { return };
                let note = match tells {
                    ProxyMessage::Demand(demand) => PeerMessage::Demand(demand),
                    ProxyMessage::InstanceGone(instance) => {
                        self.stacks.gone(&instance);
                        PeerMessage::InstanceGone(instance)
                    }
                    ProxyMessage::InstanceReady(instance) => {
                        self.stacks.ready(&instance);
                        PeerMessage::InstanceReady(instance)
                    }
                    ProxyMessage::Incarnation(_) | ProxyMessage::Leaving => return,
                };
                self.peers.send(holder, &note);
            }
            Event::Settings => self.reread(),
            Event::Datagram(..) | Event::Leave => {}
        }
    }

    /// An archive of the own zone is asked, if there is one: news costs least there. One whose zone is unknown is asked once.
    fn settle_near(&mut self) {
        let rank = |at: &SocketAddr| match self.zones_of.get(at) {
            Some(place) if *place == self.place => 0,
            None => 1,
            Some(_) => 2,
        };
        let Some(current) = self.archive_now() else { return };
        if let Some(best) = (0..self.archives.len()).min_by_key(|i| rank(&self.archives[*i])) {
            if rank(&self.archives[best]) < rank(&current) {
                self.archive = best;
                let leaves = PeerMessage::Pull {
                    ip: self.me.ip(),
                    revision: 0,
                    mark: self.stacks.mark(),
                    with_peers: false,
                    with_data: false,
                };
                self.peers.send(current, &leaves);
                if self.catalogue.is_none() || !self.stacks.is_known() {
                    self.pull();
                }
            }
        }
    }

    fn note(&mut self, now: Duration, from: SocketAddr, note: PeerMessage) {
        match note {
            PeerMessage::ClusterStatus { holder, revision, in_touch, zone_index, controllers, agents } => {
                self.zones_of.insert(from, zone_index);
                if self.archive_now() == Some(from) {
                    self.answered = now;
                }
                if !controllers.is_empty() && controllers != self.archives {
                    let current = self.archives.get(self.archive % self.archives.len().max(1)).copied();
                    self.archives = controllers;
                    self.archive =
                        self.archives.iter().position(|a| Some(*a) == current).unwrap_or(self.archive);
                }
                self.views.add_contacts(now, agents);
                let own = self.catalogue.as_ref().map_or(0, |c| c.revision);
                // Who knows nothing does not wait for the archives' vote: the one of its zone can show the platform's list.
                if in_touch || !self.stacks.is_known() {
                    self.settle_near();
                }
                if in_touch {
                    if self.said.alone {
                        let silent = now.saturating_sub(self.heard).as_secs();
                        warn!("archive {} in touch again after {silent} s", from.ip());
                    }
                    (self.said.left, self.said.alone, self.said.alone_due) = (false, false, now + ALONE);
                    self.heard = now;
                    if revision <= own && own > 0 {
                        self.confirmed = Some(now);
                    }
                }
                // The holder with the highest number is the one there is.
                if let Some((at, number)) = holder {
                    if self.holder.is_none_or(|(old, known)| number > known || (number == known && at != old))
                    {
                        info!("holder is {} under {number}", at.ip());
                        self.holder = Some((at, number));
                        self.followed = now;
                        let (known, tag) = (self.stacks.mark().number, self.stacks.tag());
                        if number != known && tag != 0 && self.one_of_few(now, number) {
                            let numbers = self.stacks.numbers();
                            // What has been there for longer is on the platform's list, which the holder reads.
                            let mut entries = self.stacks.entries(now);
                            entries.retain(|entry| !entry.ready || entry.age < UNLISTED);
                            self.peers.send(at, &PeerMessage::Handover { entries, tag, numbers });
                        }
                        let follow = self.follow();
                        self.peers.send(at, &follow);
                    }
                }
            }
            PeerMessage::Configuration(catalogue) => {
                self.whole = false;
                // A process never goes back within its life.
                if self.catalogue.as_ref().is_none_or(|own| own.revision < catalogue.revision) {
                    info!("revision {} in force", catalogue.revision);
                    self.tell(&AgentMessage::Configuration(catalogue.clone()));
                    self.confirmed = Some(now);
                    self.catalogue = Some(catalogue);
                }
            }
            PeerMessage::Change(change) => {
                let Some(own) = self.catalogue.as_ref().filter(|own| own.revision < change.revision) else {
                    return;
                };
                match own.changed(&change) {
                    Some(catalogue) => {
                        info!("revision {} in force", catalogue.revision);
                        self.tell(&AgentMessage::Change(change));
                        self.confirmed = Some(now);
                        self.catalogue = Some(catalogue);
                    }
                    // One of another revision than this page has by now: the whole one is asked for.
                    None => {
                        self.whole = true;
                        self.pull();
                    }
                }
            }
            PeerMessage::Instances(news) => match self.stacks.take(now, &news) {
                Taken::Old => {}
                Taken::Gap => {
                    // What was missed is asked for again, of the one that is asked for all else.
                    self.pull();
                }
                Taken::New { ended } => {
                    let Stacks { entries, whole, owners, .. } = news;
                    self.tell(&AgentMessage::Instances { entries, ended, complete: whole });
                    if owners.is_some() {
                        self.tell_owners();
                    }
                }
            },
            PeerMessage::Owners(owners) => {
                if self.stacks.take_owners(&owners) {
                    self.tell_owners();
                }
            }
            PeerMessage::ControlStore(_)
            | PeerMessage::Pull { .. }
            | PeerMessage::Follow { .. }
            | PeerMessage::Demand(_)
            | PeerMessage::InstanceGone(_)
            | PeerMessage::InstanceReady(_)
            | PeerMessage::Handover { .. }
            | PeerMessage::Leaving { .. } => {}
        }
    }
}
