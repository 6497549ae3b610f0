//! The lender's books: slots of the instances in its care, who has them, who waits.

use crate::words::{Ended, Kind};
use std::net::SocketAddr;
use std::time::Duration;
use tindock::rules::whittle;
use tindock::terms::Energy;

/// A loan outlives its call's end by this much: the answer's way, and a clock that runs slow.
const GRACE: Duration = Duration::from_millis(300);
/// An instance that was full though its books said otherwise lends nothing for so long.
const FULL_REST: Duration = Duration::from_millis(60);
/// One that kept silent rests longer, doubling up to eight times this.
const SILENT_REST: Duration = Duration::from_millis(500);
/// Smooths run times: about twenty runs.
const RUN_STEP: f64 = 0.05;
/// The source has no index where delta < mu: there delta counts as this many times mu, the limit from its valid side.
const VALID: f64 = 1.05;
/// Calls that may wait for one function; more are turned away at once.
const WAITING: usize = 512;

/// Terms of a function.
#[derive(Debug, Clone, PartialEq)]
pub struct Function {
    pub kind: Kind,
    pub name: String,
    pub slots: usize,
    pub boot: Duration,
}

/// An instance as the stacks tell it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub instance: String,
    pub kind: Kind,
    pub at: SocketAddr,
    pub zone: String,
    /// It has started: the list shows it, or somebody has reached it.
    pub ready: bool,
    /// It may take calls: neither draining nor about to be stopped.
    pub lends: bool,
    /// When it was begun, by the reader's clock.
    pub since: Duration,
}

#[derive(Debug, Clone)]
pub struct Loan {
    pub to: SocketAddr,
    pub seq: u32,
    since: Duration,
    until: Duration,
}

#[derive(Debug)]
pub struct Book {
    pub entry: Entry,
    pub loans: Vec<Loan>,
    rests: Duration,
    silent: u32,
    pub dialled: Duration,
}

/// A call that waits for a slot.
#[derive(Debug, Clone)]
pub struct Wish {
    pub from: SocketAddr,
    pub seq: u32,
    pub priority: u8,
    pub came: Duration,
    pub aim: Duration,
    pub end: Duration,
    pub avoid: u32,
}

/// What a lender tells the scaler of a function.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    pub kind: Kind,
    pub rate: f64,
    pub busy: f64,
    pub peak: usize,
    pub waiting: usize,
    pub run: Duration,
    pub idle: Duration,
}

/// One function at one lender.
#[derive(Debug)]
pub struct Shelf {
    pub function: Function,
    pub books: Vec<Book>,
    pub queue: Vec<Wish>,
    run: f64, // seconds a slot is held
    runs: usize,
    rate: f64,
    busy: f64,
    smoothed: Duration,
    came: usize,
    peak: usize,
    last: Duration,
    told: Duration,
    quiet: Duration,
    news: bool,
}

/// What an ask comes to.
pub enum Verdict {
    Granted(usize),
    Waits,
    Later(Duration),
}

impl Shelf {
    pub fn new(function: Function, now: Duration) -> Self {
        Shelf {
            function,
            books: Vec::new(),
            queue: Vec::new(),
            run: 0.1,
            runs: 0,
            rate: 0.0,
            busy: 0.0,
            smoothed: now,
            came: 0,
            peak: 0,
            last: now,
            told: Duration::ZERO,
            quiet: Duration::ZERO,
            news: false,
        }
    }

    pub fn run(&self) -> Duration {
        Duration::from_secs_f64(self.run)
    }

    pub fn lent(&self) -> usize {
        self.books.iter().map(|book| book.loans.len()).sum()
    }

    fn slots(&self) -> usize {
        self.function.slots.max(1)
    }

    /// Free slots now, over all that lends.
    pub fn free(&self, now: Duration) -> usize {
        let open = self.books.iter().filter(|book| book.open(now));
        open.map(|book| self.slots().saturating_sub(book.loans.len())).sum()
    }

    pub fn lends(&self) -> bool {
        self.books.iter().any(|book| book.entry.lends)
    }

    /// Rates by time: the mean busy slots over half a second, arrivals over one.
    fn smooth(&mut self, now: Duration) {
        let span = now.saturating_sub(self.smoothed).as_secs_f64();
        if span < 0.05 {
            return;
        }
        self.smoothed = now;
        let (kept_rate, kept_busy) = ((-span).exp(), (-span / 0.5).exp());
        self.rate = self.rate * kept_rate + self.came as f64 / span * (1.0 - kept_rate);
        self.busy = self.busy * kept_busy + self.lent() as f64 * (1.0 - kept_busy);
        self.came = 0;
    }

    /// A call has come that is to be counted once.
    pub fn counted(&mut self, now: Duration) {
        self.smooth(now);
        self.came += 1;
        self.last = now;
        self.news = true;
        self.peak = self.peak.max(self.lent() + self.queue.len() + 1);
    }

    /// The instance with the lowest index among those with a free slot, ties by `chance`.
    /// All of a function's instances share mu; `far` is the addend of an instance the call wants to avoid.
    fn lowest(&self, now: Duration, avoid: u32, chance: &mut dyn FnMut(usize) -> usize) -> Option<usize> {
        let slots = self.slots();
        let mu = slots as f64 / self.run.max(1e-3);
        let delta = (1.0 / self.function.boot.as_secs_f64().max(1e-3)).max(VALID * mu);
        let lambda = self.rate.max(0.05);
        let (mut best, mut lowest, mut ties) = (None, f64::INFINITY, 0);
        for (i, book) in self.books.iter().enumerate() {
            if !book.open(now) || book.loans.len() >= slots {
                continue;
            }
            let mut index = whittle(book.loans.len() as f64, Energy::Busy, lambda, mu, delta);
            // A second try goes elsewhere where there is an elsewhere.
            if crate::words::kind(&book.entry.instance) == avoid {
                index += 1e6;
            }
            if index < lowest - 1e-9 {
                (best, lowest, ties) = (Some(i), index, 1);
            } else if index <= lowest + 1e-9 {
                ties += 1;
                if chance(ties) == 0 {
                    best = Some(i);
                }
            }
        }
        best
    }

    /// When the next slot can be had by a call that would be the `place`-th to wait (0 first).
    pub fn estimate(&self, now: Duration, place: usize) -> Duration {
        let ready =
            self.books.iter().filter(|book| book.entry.lends && book.entry.ready).count() * self.slots();
        let soonest = self.books.iter().filter(|book| book.entry.lends && !book.entry.ready);
        let boot = self.function.boot;
        let started = soonest.map(|book| (book.entry.since + boot).saturating_sub(now)).min();
        if ready > 0 {
            let wait = (place + 1) as f64 * self.run / ready as f64;
            return Duration::from_secs_f64(wait);
        }
        let boot =
            started.map_or(boot + Duration::from_millis(60), |left| left.max(Duration::from_millis(30)));
        boot + Duration::from_secs_f64(place as f64 * self.run / self.slots() as f64)
    }

    /// An ask: a slot at once, a place in the queue, or no.
    pub fn ask(&mut self, now: Duration, wish: Wish, chance: &mut dyn FnMut(usize) -> usize) -> Verdict {
        if self.queue.is_empty() {
            if let Some(i) = self.lowest(now, wish.avoid, chance) {
                self.lend(now, i, &wish);
                return Verdict::Granted(i);
            }
        }
        let place = self.queue.iter().filter(|other| other.priority <= wish.priority).count();
        let wait = self.estimate(now, place);
        let (aim, left) = (wish.aim.saturating_sub(now), wish.end.saturating_sub(now));
        // What cannot be in time is told so at once, while its client can still try again elsewhere.
        let allowed = aim.mul_f64(0.9).max(left.mul_f64(0.45)).saturating_sub(self.run());
        if wait > allowed || self.queue.len() >= WAITING {
            return Verdict::Later(wait);
        }
        let at = self.queue.partition_point(|other| (other.priority, other.aim) <= (wish.priority, wish.aim));
        self.queue.insert(at, wish);
        self.peak = self.peak.max(self.lent() + self.queue.len());
        Verdict::Waits
    }

    pub fn lend(&mut self, now: Duration, i: usize, wish: &Wish) {
        let loan = Loan { to: wish.from, seq: wish.seq, since: now, until: wish.end + GRACE };
        self.books[i].loans.push(loan);
        self.peak = self.peak.max(self.lent() + self.queue.len());
    }

    /// The next waiting call that can have a slot, with the book it is lent from.
    pub fn serve(&mut self, now: Duration, chance: &mut dyn FnMut(usize) -> usize) -> Option<(usize, Wish)> {
        let avoid = self.queue.first()?.avoid;
        let i = self.lowest(now, avoid, chance)?;
        let wish = self.queue.remove(0);
        self.lend(now, i, &wish);
        Some((i, wish))
    }

    /// Calls that can no longer end in time: out of the queue.
    pub fn hopeless(&mut self, now: Duration) -> Vec<Wish> {
        let run = self.run();
        let (gone, kept) = self.queue.drain(..).partition(|wish| wish.end <= now + run);
        self.queue = kept;
        gone
    }

    /// A slot comes back. True if the instance is to be told of as gone.
    pub fn back(&mut self, now: Duration, from: SocketAddr, seq: u32, ended: Ended) -> Option<String> {
        self.queue.retain(|wish| (wish.from, wish.seq) != (from, seq));
        let same = |loan: &Loan| loan.to == from && loan.seq == seq;
        let i = self.books.iter().position(|book| book.loans.iter().any(same))?;
        let book = &mut self.books[i];
        let loan = book.loans.iter().position(same).map(|at| book.loans.swap_remove(at))?;
        let held = now.saturating_sub(loan.since).as_secs_f64();
        match ended {
            Ended::Done => {
                self.runs += 1;
                let step = RUN_STEP.max(1.0 / self.runs as f64);
                self.run += step * (held.clamp(0.002, 60.0) - self.run);
                book.silent = 0;
            }
            Ended::Idle => {}
            Ended::Full => book.rests = now + FULL_REST,
            Ended::Silent => {
                book.rests = now + SILENT_REST * (1 << book.silent.min(3));
                book.silent += 1;
                if book.silent >= 4 {
                    return Some(self.drop_book(i));
                }
            }
            Ended::Gone => return Some(self.drop_book(i)),
        }
        self.news = true;
        None
    }

    fn drop_book(&mut self, i: usize) -> String {
        self.news = true;
        self.books.swap_remove(i).entry.instance
    }

    /// A loan that a former lender gave: counted as out until it comes back or its call must be over.
    pub fn holds(&mut self, now: Duration, from: SocketAddr, seq: u32, instance: &str, left: Duration) {
        let Some(book) = self.books.iter_mut().find(|book| book.entry.instance == instance) else { return };
        if !book.loans.iter().any(|loan| loan.to == from && loan.seq == seq) && book.loans.len() < 4096 {
            book.loans.push(Loan { to: from, seq, since: now, until: now + left + GRACE });
        }
    }

    /// Loans whose call must be over, and whose borrower never said so.
    pub fn expire(&mut self, now: Duration) {
        for book in &mut self.books {
            book.loans.retain(|loan| loan.until > now);
        }
    }

    /// What the scaler is to hear, if anything; said again at growing pauses once nothing happens.
    pub fn tell(&mut self, now: Duration, at_least: Duration) -> Option<Told> {
        self.smooth(now);
        if !self.queue.is_empty() || self.lent() > 0 {
            self.news = true;
        }
        let pause = if self.news { at_least } else { self.quiet };
        if self.last == Duration::ZERO
            || now < self.told + pause
            || (!self.news && self.quiet > Duration::from_secs(20))
        {
            return None;
        }
        self.quiet = if self.news { at_least * 2 } else { self.quiet * 2 };
        (self.told, self.news) = (now, false);
        let peak = std::mem::take(&mut self.peak).max(self.lent() + self.queue.len());
        Some(Told {
            kind: self.function.kind,
            rate: self.rate,
            busy: self.busy,
            peak,
            waiting: self.queue.len(),
            run: self.run(),
            idle: now.saturating_sub(self.last),
        })
    }
}

impl Book {
    pub fn new(entry: Entry, rests: Duration) -> Self {
        Book { entry, loans: Vec::new(), rests, silent: 0, dialled: Duration::ZERO }
    }

    /// It lends now.
    pub fn open(&self, now: Duration) -> bool {
        self.entry.lends && self.entry.ready && now >= self.rests
    }
}
