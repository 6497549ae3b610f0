//! The server side: accepts connections of clients and workers, and answers what they ask.

use crate::answering::{self, Reply};
use crate::berth::Words;
use crate::exchange::{Answer, Exchange};
use crate::reading::{self, Bad, Message};
use crate::stopping::Stopping;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{debug, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A peer that sends no whole head for this long loses its connection: it would hold a descriptor for ever.
const SILENCE: Duration = Duration::from_secs(60);
/// The same while stopping, which would otherwise wait for it.
const LAST_SILENCE: Duration = Duration::from_secs(1);
/// The same for a body that has begun.
const BODY_SILENCE: Duration = Duration::from_secs(10);
/// When no descriptor is left, some connection ends within this time.
const SHORT_OF_DESCRIPTORS: Duration = Duration::from_millis(20);
/// Room for a head and a part of a body in reading.
const READ_BUFFER: usize = 16 * 1024;

/// One connection, as the door sees it.
#[derive(Default)]
struct Guest {
    /// Busy with a message since it was read until it was answered.
    busy: Cell<bool>,
    used: Cell<Option<Instant>>,
    /// Has sent no message yet.
    mute: Cell<bool>,
    /// Told news last: a worker, without whose words tasks in hand do not end.
    worker: Cell<bool>,
    leave: Notify,
    leaving: Cell<bool>,
}

impl Guest {
    fn ask_to_leave(&self) {
        self.leaving.set(true);
        self.leave.notify_one();
    }
}

pub struct Door {
    exchange: Rc<Exchange>,
    words: Rc<Words>,
    stopping: Rc<Stopping>,
    most: usize,
    guests: RefCell<BTreeMap<u64, Rc<Guest>>>,
    next: Cell<u64>,
    gone: Notify,
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
        words: Rc<Words>,
        stopping: Rc<Stopping>,
        most: usize,
        log: Logger,
    ) -> Rc<Self> {
        let (guests, next, gone) = (RefCell::default(), Cell::new(0), Notify::new());
        Rc::new(Door { exchange, words, stopping, most, guests, next, gone, log })
    }

    /// Accepts until the process ends.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut short = false;
        loop {
            self.make_room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    short = false;
                    self.stopping.newcomer();
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
        while self.guests.borrow().len() >= self.most {
            self.dismiss_idle();
            let gone = tokio::time::timeout(SHORT_OF_DESCRIPTORS, self.gone.notified());
            let _ = gone.await;
        }
    }

    fn dismiss_idle(&self) {
        let guests = self.guests.borrow();
        let idle = guests.values().filter(|g| !g.busy.get() && !g.leaving.get());
        if let Some(guest) = idle.min_by_key(|g| (g.worker.get(), g.used.get())) {
            guest.ask_to_leave();
        }
    }

    /// Every connection ends after the message in hand, idle ones now.
    pub fn dismiss_all(&self) {
        self.guests.borrow().values().for_each(|guest| guest.ask_to_leave());
    }

    /// Nobody is here but some that have not said anything.
    pub fn is_quiet(&self) -> bool {
        self.guests.borrow().values().all(|guest| guest.mute.get())
    }

    fn enter(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        let guest = Guest::default();
        guest.used.set(Some(Instant::now()));
        guest.mute.set(true);
        self.guests.borrow_mut().insert(number, Rc::new(guest));
        number
    }

    async fn attend(self: Rc<Self>, stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let Some(guest) = self.guests.borrow().get(&number).cloned() else { return };
        let service = service_fn(|call: Request<Incoming>| {
            let (door, guest) = (self.clone(), guest.clone());
            async move {
                guest.busy.set(true);
                guest.mute.set(false);
                let reply = door.reply(call, &guest.worker).await;
                guest.busy.set(false);
                guest.used.set(Some(Instant::now()));
                Ok::<Reply, Infallible>(reply)
            }
        });
        let silence = if self.stopping.is_closing() { LAST_SILENCE } else { SILENCE };
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(silence)
            .max_buf_size(READ_BUFFER)
            .keep_alive(!self.stopping.is_closing());
        let mut connection = pin!(http.serve_connection(TokioIo::new(stream), service));
        loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    if let Err(e) = ended {
                        debug!(self.log, "a client's connection ended: {e}");
                    }
                    break;
                }
                // Guards against peers that connect and say nothing: hyper would wait for their first message.
                () = guest.leave.notified() => match guest.mute.get() && !self.stopping.is_closing() {
                    true => break,
                    false => connection.as_mut().graceful_shutdown(),
                },
            }
        }
        self.guests.borrow_mut().remove(&number);
        self.gone.notify_one();
    }

    async fn reply(&self, call: Request<Incoming>, worker: &Cell<bool>) -> Reply {
        let read = tokio::time::timeout(BODY_SILENCE, reading::read(call, &self.words));
        let late = || Bad(hyper::StatusCode::BAD_REQUEST, "the body came too slowly".into());
        match read.await.unwrap_or_else(|_| Err(late())) {
            Ok(Message::Health) => answering::health(self.exchange.can_decide()),
            Ok(Message::News(news)) => {
                worker.set(true);
                self.exchange.news(news);
                answering::heard()
            }
            Ok(Message::Task(call)) => {
                let Some(hold) = self.exchange.arrived(call) else {
                    return self.turn_down(&Bad(hyper::StatusCode::BAD_REQUEST, "id in hand already".into()));
                };
                let waiting = Waiting { exchange: &self.exchange, place: hold.place, life: hold.life };
                let answer = hold.answer.await.unwrap_or(Answer::BrokenOff);
                drop(waiting);
                answering::answer(answer)
            }
            Err(bad) => self.turn_down(&bad),
        }
    }

    fn turn_down(&self, bad: &Bad) -> Reply {
        warn!(self.log, "turned down with {}: {}", bad.0.as_u16(), bad.1);
        answering::turned_down(bad)
    }
}
