//! The server side: accepts connections of clients and workers, and answers what they ask.

use crate::accord::GroupMember;
use crate::clients::answering::{self, Reply};
use crate::clients::guest::{Guest, Standing, Watched};
use crate::clients::heads::Ends;
use crate::clients::reading::{self, Bad, Message, Rooms};
use crate::exchange::{Answer, Exchange};
use crate::operators::telemetry::{Outcome, Telemetry};
use crate::rows::Titles;
use crate::succession::link::Link;
use crate::succession::shutdown::Shutdown;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{warn, Logger};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tindock_lifecycle::RunTimes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// A peer that sends nothing for this long loses its connection: it would hold a descriptor for ever.
const SILENCE: Duration = Duration::from_secs(60);
/// The same while stopping, which would otherwise wait for it.
const LAST_SILENCE: Duration = Duration::from_secs(1);
/// What was turned down or closed is told in sums, this often: a line each would cost more than the answer.
const SUMS: Duration = Duration::from_secs(10);
/// When no descriptor is left, some connection ends within this time.
pub const SHORT_OF_DESCRIPTORS: Duration = Duration::from_millis(20);
/// Without the word of its group a scheduler asks clients to come back after this, where it may say so.
const AGAIN: Duration = Duration::from_secs(1);
/// A process that ends asks clients to come back after this: others serve, or its successor does.
const AFTER_THE_END: Duration = Duration::from_millis(500);
/// Room for a head in reading: the least that hyper takes.
const READ_BUFFER: usize = 8 * 1024;

pub struct Door {
    exchange: Rc<Exchange>,
    names: RefCell<Titles>,
    stopping: Rc<Shutdown>,
    most: Cell<usize>,
    paused: watch::Sender<bool>,
    line: Rc<Link>,
    guests: RefCell<BTreeMap<u64, Rc<Guest>>>,
    next: Cell<u64>,
    gone: Notify,
    rooms: Rooms,
    /// The group whose word it takes to serve, where there is one.
    group: OnceCell<Rc<GroupMember>>,
    telemetry: Rc<Telemetry>,
    /// How long tasks of each workload are in hand until they are finished.
    in_hand: RefCell<RunTimes<Rc<str>>>,
    sums: RefCell<BTreeMap<&'static str, u64>>,
    log: Logger,
}

/// Tells the exchange that the client went away, unless it was answered: hyper drops what a closed
/// connection still worked on.
struct Waiting<'a> {
    exchange: &'a Exchange,
    place: usize,
    life: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.exchange.left(self.place, self.life);
    }
}

impl Door {
    pub fn new(
        exchange: Rc<Exchange>,
        stopping: Rc<Shutdown>,
        most: usize,
        line: Rc<Link>,
        rooms: Rooms,
        telemetry: Rc<Telemetry>,
        log: Logger,
    ) -> Rc<Self> {
        let (guests, next, gone, sums, in_hand) = Default::default();
        let names = RefCell::new(exchange.names());
        Rc::new(Door {
            exchange,
            names,
            stopping,
            most: Cell::new(most),
            paused: watch::Sender::new(false),
            line,
            guests,
            next,
            gone,
            rooms,
            group: OnceCell::new(),
            telemetry,
            in_hand,
            sums,
            log,
        })
    }

    /// From now on tasks are taken on this group's word only.
    pub fn under(&self, group: Rc<GroupMember>) {
        let _ = self.group.set(group);
    }

    /// Whether tasks may be taken now.
    fn may_serve(&self) -> bool {
        self.group.get().is_none_or(|group| group.serves().is_ok())
    }

    /// Accepts until the process ends.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let (mut short, mut paused) = (false, self.paused.subscribe());
        loop {
            // It lives for as long as the door.
            let _ = paused.wait_for(|paused| !paused).await;
            self.make_room().await;
            let came = tokio::select! {
                biased;
                _ = paused.wait_for(|paused| *paused) => continue,
                came = listener.accept() => came,
            };
            match came {
                Ok((stream, _)) => {
                    short = false;
                    // Guards against a burst that passes the limit: who is accepted counts from here on.
                    let number = self.enter();
                    tokio::task::spawn_local(self.clone().attend(stream, number));
                }
                Err(e) => {
                    // Guards against a loop without pause, and an end, when descriptors have run out.
                    if !short {
                        warn!(self.log, "cannot accept: {e}");
                    }
                    short = true;
                    self.dismiss_idle();
                    tokio::time::sleep(SHORT_OF_DESCRIPTORS).await;
                }
            }
        }
    }

    /// At the most guests, the one that stood idle for longest leaves before another is let in.
    async fn make_room(&self) {
        while self.guests.borrow().len() >= self.most.get() {
            self.dismiss_idle();
            let gone = tokio::time::timeout(SHORT_OF_DESCRIPTORS, self.gone.notified());
            let _ = gone.await;
        }
    }

    /// Guards against peers that crowd out clients and workers.
    fn dismiss_idle(&self) {
        let guests = self.guests.borrow();
        let idle = guests.values().filter(|g| !g.busy.get() && !g.leaving.get());
        let now = Instant::now();
        if let Some(guest) = idle.min_by_key(|g| g.rank(now)) {
            self.count("closed to make room");
            guest.make_room();
        }
    }

    fn count(&self, what: &'static str) {
        *self.sums.borrow_mut().entry(what).or_default() += 1;
    }

    /// Tells what was turned down or closed, in sums.
    pub async fn tell_sums(&self) {
        loop {
            tokio::time::sleep(SUMS).await;
            let sums = std::mem::take(&mut *self.sums.borrow_mut());
            if !sums.is_empty() {
                let sums: Vec<String> = sums.iter().map(|(what, n)| format!("{n} {what}")).collect();
                warn!(self.log, "turned down or closed in {} s: {}", SUMS.as_secs(), sums.join(", "));
            }
        }
    }

    /// Lets nobody in any more, or again.
    pub fn pause(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Keeps to half of the connections while another process lives beside this one; how many it leaves.
    pub fn half(&self) -> usize {
        let left = self.most.get() / 2;
        self.most.set(self.most.get() - left);
        left
    }

    pub fn widen(&self, by: usize) {
        self.most.set(self.most.get() + by);
    }

    /// Takes tasks by what is in force now.
    pub fn rename(&self) {
        let names = self.exchange.names();
        names.workloads.iter().flatten().for_each(|name| self.telemetry.open(name));
        self.names.replace(names);
    }

    /// Every connection ends after the message in hand, idle ones now.
    pub fn dismiss_all(&self) {
        self.guests.borrow().values().for_each(|guest| guest.ask_to_leave());
    }

    /// Nobody is here but some that have not said anything, and some that came later than clients do and were given
    /// nothing. Guards against a message that is under way, and against crowds for which the end would wait.
    pub fn is_quiet(&self, last_clients: Instant) -> bool {
        let guests = self.guests.borrow();
        guests.values().all(|guest| {
            let mute = guest.mute.get() && !guest.coming();
            mute || guest.came > last_clients && !guest.busy.get()
        })
    }

    fn enter(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.guests.borrow_mut().insert(number, Rc::new(Guest::new(Instant::now())));
        number
    }

    async fn attend(self: Rc<Self>, stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let Some(guest) = self.guests.borrow().get(&number).cloned() else { return };
        let service = service_fn(|call: Request<Incoming>| {
            let (door, guest) = (self.clone(), guest.clone());
            async move {
                guest.headed();
                let ends = guest.heads.borrow_mut().take();
                let mut reply = door.reply(call, ends, &guest).await;
                guest.answered();
                if ends != Ends::Known {
                    answering::close(&mut reply);
                }
                Ok::<Reply, Infallible>(reply)
            }
        });
        let silence = if self.stopping.is_closing() { LAST_SILENCE } else { SILENCE };
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(silence)
            .max_buf_size(READ_BUFFER)
            .keep_alive(!self.stopping.is_closing());
        let watched = Watched { stream, guest: guest.clone() };
        let mut connection = pin!(http.serve_connection(TokioIo::new(watched), service));
        let mut overdue = pin!(guest.overdue());
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    if ended.is_err_and(|e| e.is_parse()) {
                        self.count("not to be read");
                    }
                    break;
                }
                () = overdue.as_mut() => {
                    self.count("too slow");
                    break;
                }
                // Guards against peers that connect and say nothing: hyper would wait for their first message.
                () = guest.leave.notified() => match guest.is_stranger() && (guest.at_once.get() || !self.stopping.is_closing()) {
                    true => break,
                    false => connection.as_mut().graceful_shutdown(),
                },
            }
        }
        self.guests.borrow_mut().remove(&number);
        self.gone.notify_one();
    }

    async fn reply(&self, call: Request<Incoming>, ends: Ends, guest: &Guest) -> Reply {
        if ends == Ends::Unclear {
            return self.turn_down(Bad(StatusCode::BAD_REQUEST, "with unclear lengths"));
        }
        let read = reading::read(call, &self.names, &self.rooms).await;
        guest.read();
        match read {
            Ok(Message::Health) => answering::health(self.exchange.can_decide() && self.may_serve()),
            Ok(Message::News(news, words)) => {
                guest.standing.set(Standing::Worker);
                // Guards against news lost between two processes at one address.
                if self.exchange.is_strange(&news.id) {
                    self.line.forward_event(&words).await;
                }
                self.exchange.news(news);
                answering::heard()
            }
            Ok(Message::Task(call, _room)) => {
                let workload = self.names.borrow().workloads[call.workload].clone();
                if !self.may_serve() {
                    // It never came in, so that it can be shed whatever its effect is.
                    self.telemetry.ended(workload.as_deref().unwrap_or_default(), Outcome::Shed);
                    return answering::answer(Answer::Shed { come_back: self.exchange.come_back(AGAIN) });
                }
                if !self.fits(workload.as_ref(), call.left) {
                    self.telemetry.ended(workload.as_deref().unwrap_or_default(), Outcome::Shed);
                    let come_back = self.exchange.come_back(AFTER_THE_END);
                    return answering::answer(Answer::Shed { come_back });
                }
                let came = Instant::now();
                let Some(hold) = self.exchange.arrived(call) else {
                    return self.turn_down(Bad(StatusCode::BAD_REQUEST, "with an id in hand already"));
                };
                if guest.standing.replace(Standing::Client) != Standing::Client {
                    self.stopping.record_task();
                }
                let waiting = Waiting { exchange: &self.exchange, place: hold.place, life: hold.life };
                let answer = hold.answer.await.unwrap_or(Answer::BrokenOff);
                drop(waiting);
                let outcome = match answer {
                    Answer::Finished(_) => {
                        self.measure(workload.as_ref(), came.elapsed());
                        Outcome::Finished
                    }
                    Answer::Shed { .. } => Outcome::Shed,
                    Answer::BrokenOff | Answer::TurnedDown(_) => Outcome::BrokenOff,
                };
                self.telemetry.ended(workload.as_deref().unwrap_or_default(), outcome);
                answering::answer(answer)
            }
            Err(bad) => self.turn_down(bad),
        }
    }

    /// Whether a task that has just come is finished before this process ends, as far as its workload's times tell. One
    /// that is given up sooner by its client is answered in time, too.
    fn fits(&self, workload: Option<&Rc<str>>, patience: Option<Duration>) -> bool {
        let (Some(time_left), Some(workload)) = (self.stopping.time_left(), workload) else { return true };
        let longest = self.in_hand.borrow().longest(workload, Duration::ZERO);
        longest.min(patience.unwrap_or(Duration::MAX)) <= time_left
    }

    fn measure(&self, workload: Option<&Rc<str>>, took: Duration) {
        if let Some(workload) = workload {
            let now = self.exchange.now();
            self.in_hand.borrow_mut().measure(now, workload.clone(), took);
        }
    }

    fn turn_down(&self, bad: Bad) -> Reply {
        self.count(bad.1);
        answering::turned_down(bad)
    }
}
