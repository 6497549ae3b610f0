//! The controller's carrying, as in `house::controller`: the control store's actions, news to agents, and the autoscaler while
//! it holds the lease. What is decided there beside the control store is `tindock_controller`'s, here and there.

use crate::notes::{hash, InstanceUpdate, Note, PEER_PORT};
use crate::planted::Planted;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tindock_catalogue::Catalogue;
use tindock_circulation::{Applied, Relay};
use tindock_control_store::{Action, ControlStore, DiskState, MemberSettings, Outcome, Stored};
use tindock_controller::{
    list_interval, platform_instances, services, Agents, Contact, LeaseDuties, LeaseSettings,
};
use tindock_stacks as stacks;

const FIRST: Duration = Duration::from_millis(400);
const FOLLOW: Duration = Duration::from_millis(1000);
const STAYS: Duration = Duration::from_millis(150);
const STAYS_MOST: Duration = Duration::from_secs(1);
/// After SIGTERM it hands its place as a voter over for so long at most: SIGKILL comes after `grace_s`.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
const GOES_OUT: Duration = Duration::from_millis(30);

/// A call to the platform.
#[derive(Clone, Debug)]
pub enum Call {
    List,
    /// The list, while nobody holds the duty.
    First,
    Hosts,
    Begin {
        token: u64,
        service: String,
        host: String,
        nonce: String,
    },
    Stop {
        token: u64,
        instance: String,
    },
}

/// How it was answered; `Unclear` also for lists that did not come.
#[derive(Clone, Debug)]
pub enum Answer {
    List(Vec<stacks::Listed>),
    Hosts(Vec<stacks::Host>),
    Begun(stacks::Begun),
    Stopped(bool),
    Unclear,
}

/// What the operator hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Taken,
    /// Another text holds under this revision.
    Conflict,
    Later,
    Nothing,
    Word(Vec<u8>),
    Elsewhere(IpAddr),
    Invalid,
}

pub enum Out {
    Note { to: SocketAddr, note: Note },
    Store { token: u64, what: Stored },
    Platform { number: u64, call: Call },
    Reply { call: u64, reply: Reply },
}

pub struct Terms {
    pub name: String,
    pub setup: MemberSettings,
    pub stacks: stacks::Terms,
    pub list_rate: f64,
    pub rebinding: stacks::Rebinding,
    pub planted: Option<Planted>,
}

pub struct Controller {
    terms: Terms,
    pub control_store: ControlStore,
    catalogue: Option<Rc<Catalogue>>,
    agents: Agents,
    contact: Contact,
    lease: Option<LeaseDuties>,
    holder: Option<(SocketAddr, u64)>,
    relay: Relay,
    followed: Duration,
    reading_first: bool,
    first_due: Duration,
    /// Operators' calls in hand, and when one was last answered.
    calls: BTreeSet<u64>,
    replied: Duration,
    pub out: Vec<Out>,
}

impl Controller {
    pub fn new(terms: Terms, kept: DiskState) -> Controller {
        let control_store = ControlStore::new(terms.setup.clone(), kept, Duration::ZERO);
        Controller {
            terms,
            control_store,
            catalogue: None,
            agents: Agents::new(Ipv4Addr::UNSPECIFIED.into()),
            contact: Contact::default(),
            lease: None,
            holder: None,
            relay: Relay::default(),
            followed: Duration::ZERO,
            reading_first: false,
            first_due: Duration::ZERO,
            calls: BTreeSet::new(),
            replied: Duration::ZERO,
            out: Vec::new(),
        }
    }

    pub fn lease_number(&self) -> Option<u64> {
        self.lease.as_ref().map(|lease| lease.number)
    }

    pub fn next_due(&self) -> Duration {
        let due = self.control_store.next_due();
        self.lease.as_ref().map_or(due, |lease| due.min(lease.next_due()))
    }

    fn send(&mut self, to: SocketAddr, note: Note) {
        self.out.push(Out::Note { to, note });
    }

    pub fn replace(&mut self, now: Duration, call: u64, text: &[u8]) {
        self.contact.turn(now);
        match Catalogue::read(text) {
            Ok(catalogue) => {
                if self.terms.planted == Some(Planted::AckBeforeMajority) {
                    self.out.push(Out::Reply { call, reply: Reply::Taken });
                }
                if !self.open_call(now, call) {
                    return;
                }
                if let Some(lease) = &mut self.lease {
                    lease.scaler.configuring(now);
                }
                self.control_store.replace(now, call, catalogue.revision, text.to_vec());
            }
            Err(_) => self.out.push(Out::Reply { call, reply: Reply::Invalid }),
        }
    }

    pub fn show(&mut self, now: Duration, call: u64) {
        self.contact.turn(now);
        if self.open_call(now, call) {
            self.control_store.show(now, call);
        }
    }

    /// Whether a majority was heard since the start, and none lately.
    fn is_cut_off(&self, now: Duration) -> bool {
        self.control_store.ready() && !self.is_in_touch(now)
    }

    /// Whether a majority was heard since the start, and lately.
    fn is_in_touch(&self, now: Duration) -> bool {
        self.control_store.ready() && self.contact.is_fresh(now) && self.control_store.in_touch(now)
    }

    /// Whether a call is for the control store; else it was answered at once.
    fn open_call(&mut self, now: Duration, call: u64) -> bool {
        if self.is_cut_off(now) {
            self.reply(now, call, Reply::Later);
            return false;
        }
        self.calls.insert(call)
    }

    /// Calls in hand when contact is lost are answered at once.
    fn release_calls(&mut self, now: Duration) {
        if self.is_cut_off(now) {
            for call in std::mem::take(&mut self.calls) {
                self.reply(now, call, Reply::Later);
            }
        }
    }

    fn reply(&mut self, now: Duration, call: u64, reply: Reply) {
        self.replied = now;
        self.out.push(Out::Reply { call, reply });
    }

    /// The platform's answer to a call made under this number.
    pub fn answered(&mut self, now: Duration, number: u64, call: &Call, answer: Answer) {
        self.contact.turn(now);
        if matches!(call, Call::First) {
            self.reading_first = false;
            if let (Answer::List(listed), None) = (answer, self.holder) {
                self.show_first(now, listed);
            }
            return;
        }
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.number == number) else { return };
        let drain_ignored = self.terms.planted == Some(Planted::DrainIgnored);
        match call {
            Call::First => {}
            Call::List => {
                let mut listed = if let Answer::List(listed) = answer { Some(listed) } else { None };
                if drain_ignored {
                    listed.iter_mut().flatten().for_each(|listed| listed.draining = false);
                }
                lease.instances_read(now, listed.as_deref());
            }
            Call::Hosts => {
                let mut hosts = if let Answer::Hosts(hosts) = answer { Some(hosts) } else { None };
                if drain_ignored {
                    hosts.iter_mut().flatten().for_each(|host| host.up = true);
                }
                lease.hosts_read(now, hosts.as_deref());
            }
            Call::Begin { token, .. } => {
                let begun = if let Answer::Begun(begun) = answer { begun } else { stacks::Begun::Unclear };
                lease.scaler.begun(now, *token, begun);
            }
            Call::Stop { token, .. } => {
                lease.scaler.stopped(now, *token, matches!(answer, Answer::Stopped(true)));
            }
        }
    }

    pub fn note(&mut self, now: Duration, from: SocketAddr, note: Note) {
        self.contact.turn(now);
        match note {
            Note::ControlStore(envelope) => self.control_store.receive(now, from, envelope),
            Note::Pull { ip, revision, mark } => {
                self.agents.pulled(now, ip, revision, true);
                let news = self.news(now, ip);
                self.send(from, news);
                self.send_word(now, Some(ip));
                self.relay.handle_pull(now, ip, mark);
                self.hand_on();
                self.read_first(now);
            }
            Note::Follow { mark, greets, proxy } => {
                let relays = self.control_store.members().contains(&from);
                if !relays {
                    self.agents.followed(now, from.ip());
                }
                if greets {
                    let news = self.news(now, from.ip());
                    self.send(from, news);
                }
                if let Some(lease) = &mut self.lease {
                    if let Some(proxy) = proxy {
                        lease.proxy_follows(now, proxy);
                    }
                    lease.source.follow(now, lease.scaler.version(), from.ip(), mark, relays);
                }
                self.tell_instances(now);
            }
            Note::Stacks(news) => self.take_stacks(now, from, (*news).clone()),
            Note::Demand(demands) => {
                let Some(lease) = self.lease.as_mut() else { return };
                for demand in demands {
                    lease.scaler.demand(now, demand);
                }
            }
            Note::Gone(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.scaler.gone(now, &instance);
                }
            }
            Note::Ready(instance) => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.scaler.ready(now, &instance);
                }
            }
            Note::Inherit { entries, tag, numbers } => {
                if let Some(lease) = self.lease.as_mut() {
                    lease.inherit(now, entries, &numbers, tag);
                }
            }
            Note::News { .. } | Note::Word(_) | Note::Owners(_) => {}
        }
    }

    fn news(&mut self, now: Duration, to: IpAddr) -> Note {
        let pages = self.agents.sample(now, to);
        Note::News {
            holder: self.holder,
            revision: self.control_store.committed().map_or(0, |word| word.revision),
            touch: self.is_in_touch(now),
            archives: self.control_store.members(),
            pages,
        }
    }

    fn send_word(&mut self, now: Duration, to: Option<IpAddr>) {
        if self.is_cut_off(now) {
            return;
        }
        let Some(catalogue) = self.catalogue.clone() else { return };
        for (ip, _) in self.agents.behind(now, catalogue.revision, to) {
            self.agents.sent(now, ip, catalogue.revision, true);
            self.send(SocketAddr::new(ip, PEER_PORT), Note::Word(catalogue.clone()));
        }
    }

    /// While nobody holds the duty a page that asks is shown what the platform lists.
    fn read_first(&mut self, now: Duration) {
        if self.holder.is_some() || self.reading_first || now < self.first_due {
            return;
        }
        (self.reading_first, self.first_due) = (true, now + FIRST);
        self.out.push(Out::Platform { number: 0, call: Call::First });
    }

    fn show_first(&mut self, now: Duration, list: Vec<stacks::Listed>) {
        let stacks = Rc::new(platform_instances(list));
        for ip in self.relay.agents_without_state(now) {
            self.send(SocketAddr::new(ip, PEER_PORT), Note::Stacks(stacks.clone()));
        }
    }

    /// Whether a process that was told to end at `began` may do so now.
    pub fn may_end(&self, now: Duration, began: Duration) -> bool {
        let answered = self.calls.is_empty() && now >= self.replied + GOES_OUT;
        let handed_over = self.control_store.may_end(now) || now >= began + HANDOVER_TIMEOUT;
        handed_over && now >= began + if answered { STAYS } else { STAYS_MOST }
    }

    fn follow(&mut self, now: Duration) {
        let Some((holder, _)) = self.holder else { return };
        self.followed = now;
        let mark = self.relay.replica().mark();
        if holder != self.terms.setup.me {
            return self.send(holder, Note::Follow { mark, greets: false, proxy: None });
        }
        if let Some(lease) = &mut self.lease {
            lease.source.follow(now, lease.scaler.version(), holder.ip(), mark, true);
        }
    }

    fn take_stacks(&mut self, now: Duration, from: SocketAddr, news: InstanceUpdate) {
        if self.relay.apply(now, news) == Applied::Gap {
            let mark = self.relay.replica().mark();
            self.send(from, Note::Follow { mark, greets: false, proxy: None });
        }
        self.hand_on();
    }

    fn hand_on(&mut self) {
        while let Some(copies) = self.relay.pull() {
            for ip in copies.to {
                self.send(SocketAddr::new(ip, PEER_PORT), Note::Stacks(copies.update.clone()));
            }
        }
    }

    fn tell_instances(&mut self, now: Duration) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.is_informed()) else { return };
        lease.look_at_proxies(now);
        lease.source.tick(now, lease.scaler.version());
        let me = self.terms.setup.me;
        let mut sends = Vec::new();
        while let Some((ip, from)) = lease.source.pull() {
            sends.push((ip, lease.changes_since(now, from)));
        }
        for (ip, news) in sends {
            match ip == me.ip() {
                true => self.take_stacks(now, me, news),
                false => self.send(SocketAddr::new(ip, PEER_PORT), Note::Stacks(Rc::new(news))),
            }
        }
    }

    /// Everything the deciders want done.
    pub fn carry(&mut self, now: Duration) {
        self.contact.turn(now);
        while let Some(order) = self.control_store.next() {
            match order {
                Action::Send { to, envelope } => {
                    self.out.push(Out::Note { to, note: Note::ControlStore(envelope) })
                }
                Action::Store { token, what } => self.out.push(Out::Store { token, what }),
                Action::Answer { call, outcome } => {
                    let reply = match outcome {
                        Outcome::Acknowledged | Outcome::Superseded(_) => Reply::Taken,
                        Outcome::Conflict(_) => Reply::Conflict,
                        Outcome::Unavailable { .. } => Reply::Later,
                        Outcome::Empty => Reply::Nothing,
                        Outcome::Found(word) => Reply::Word(word.text.to_vec()),
                        Outcome::Redirect(at) => Reply::Elsewhere(at.ip()),
                    };
                    if self.calls.remove(&call) {
                        self.reply(now, call, reply);
                    }
                }
            }
        }
        self.release_calls(now);
        let revision = self.catalogue.as_ref().map_or(0, |c| c.revision);
        let word =
            self.control_store.committed().filter(|w| w.revision > revision || self.catalogue.is_none());
        if let Some(catalogue) = word.and_then(|word| Catalogue::read(&word.text).ok()) {
            if let Some(lease) = &mut self.lease {
                lease.scaler.services(now, &services(&catalogue));
            }
            self.catalogue = Some(Rc::new(catalogue));
            self.send_word(now, None);
        }
        self.carry_lease(now);
        let holder = self.control_store.holder();
        if holder != self.holder {
            self.holder = holder;
            for ip in self.agents.recent(now) {
                let news = self.news(now, ip);
                self.send(SocketAddr::new(ip, PEER_PORT), news);
            }
            self.follow(now);
        }
        if now >= self.followed + FOLLOW {
            self.follow(now);
        }
    }

    fn carry_lease(&mut self, now: Duration) {
        let held = self.control_store.lease_number(now);
        let clings = self.terms.planted == Some(Planted::DutyPastTerm) && held.is_none();
        if !clings && self.lease.as_ref().map(|lease| lease.number) != held {
            self.lease = held.map(|number| self.take_up_lease(now, number));
        }
        let Some(lease) = self.lease.as_mut() else { return };
        let number = lease.number;
        if lease.begin_reading_instances(now) {
            self.out.push(Out::Platform { number, call: Call::List });
        }
        if lease.begin_reading_hosts(now) {
            self.out.push(Out::Platform { number, call: Call::Hosts });
        }
        lease.end_inheritance(now);
        while let Some(order) = lease.next_order(now) {
            let call = match order {
                stacks::Order::Begin { token, service, host, nonce } => {
                    Call::Begin { token, service, host, nonce }
                }
                stacks::Order::Stop { token, instance } => Call::Stop { token, instance },
            };
            self.out.push(Out::Platform { number, call });
        }
        self.tell_instances(now);
    }

    fn take_up_lease(&self, now: Duration, number: u64) -> LeaseDuties {
        let settings = LeaseSettings {
            terms: self.terms.stacks.clone(),
            seed: number ^ hash(&self.terms.name),
            rebinding: self.terms.rebinding,
            list_interval: list_interval(self.terms.list_rate),
        };
        LeaseDuties::take_up(now, number, settings, self.catalogue.as_deref(), self.relay.replica())
    }
}
