//! The lender's books: slots of the instances in its care, who has them, who waits.

use crate::pick::{index, Boots, Score, Seen, Sight, RATE_FLOOR};
use crate::planted::{planted, Defect};
use crate::words::{kind as hash, Ended, Kind, LoanedSlot};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A loan outlives its call's end by this much: the answer's way, and a clock that runs slow.
const GRACE: Duration = Duration::from_millis(300);
/// An instance that was full though its books said otherwise lends nothing for so long.
const FULL_REST: Duration = Duration::from_millis(60);
/// One that a requester knows to leave: this lender's own word is older, and the newer one is on its way.
const LEAVING_REST: Duration = Duration::from_millis(500);
/// One that kept silent rests longer, doubling up to eight times this.
const SILENT_REST: Duration = Duration::from_millis(500);
/// Smooths run times: about twenty runs.
const RUN_STEP: f64 = 0.05;
/// Runs of a priority after which an instance's own are held against them.
const USUAL: u64 = 20;
/// Seconds a slot is held, before any was.
const FIRST_RUN: f64 = 0.1;
/// A call that ends after this share of its aim is not served well: another instance is wanted.
const SHORT: f64 = 0.6;
/// A call that is late anyway waits at most this share of the time it has left: its client can then still try again.
const LATE: f64 = 0.5;
/// A borrower is asked after a loan that is out so long, or so many times as long as usual, whichever is more.
const LONG: Duration = Duration::from_millis(1000);
const LONG_RUNS: f64 = 8.0;
/// Priorities up to this are urgent.
pub const URGENT: u8 = 1;
/// A call is handed on only if it gains so much.
const NEARER: Duration = Duration::from_millis(10);
/// Seconds over which it is told where calls come from, and the most zones that are told apart.
const ORIGIN: f64 = 4.0;
const ORIGINS: usize = 64;
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
    /// Of the borrower's process: one that begins anew has not got it, but its call may still run.
    pub life: u32,
    pub seq: u32,
    pub since: Duration,
    pub until: Duration,
    priority: u8,
    /// The borrower is asked then whether it has it still, and how often it has been.
    doubt: Duration,
    asked: u32,
}

impl Loan {
    fn is(&self, from: SocketAddr, life: u32, seq: u32) -> bool {
        self.to == from && self.seq == seq && self.life == life
    }
}

#[derive(Debug)]
pub struct Book {
    pub entry: Entry,
    pub loans: Vec<Loan>,
    rests: Duration,
    /// The former owner whose handover ends the rest.
    pub awaits: Option<SocketAddr>,
    /// When its first rest ends: what was out before is known from then on.
    pub settled: Duration,
    /// When it is next asked for.
    pub claim_due: Duration,
    silent: u32,
    pub dialled: Duration,
    /// It has been dialled in vain: the first connection it takes tells how long its start took.
    pub refused: bool,
    sight: Sight,
}

/// A call that waits for a slot.
#[derive(Debug, Clone)]
pub struct Wish {
    pub from: SocketAddr,
    pub life: u32,
    pub seq: u32,
    pub priority: u8,
    pub came: Duration,
    pub aim: Duration,
    pub end: Duration,
    pub avoid: u32,
    /// It cannot be in time for its full worth any more.
    pub late: bool,
    /// How often it has been sent on.
    pub hops: u8,
}

impl Wish {
    /// The order of service: those in time, then by rank, then by who must be served first.
    fn key(&self) -> (bool, u8, Duration) {
        (self.late, self.priority, self.aim)
    }
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
    /// Zones (their hashes) that the calls came from lately, with their shares.
    pub origins: Vec<(u32, f64)>,
}

/// Run times of one priority: seconds, and its share of the late runs.
#[derive(Debug, Default)]
struct Run {
    mean: f64,
    share: f64,
    count: u64,
}

/// One function at one lender.
#[derive(Debug)]
pub struct Shelf {
    pub function: Function,
    pub books: Vec<Book>,
    pub queue: Vec<Wish>,
    runs: BTreeMap<u8, Run>, // by priority: a function may serve short calls and long ones
    rate: f64,
    busy: f64,
    smoothed: Duration,
    came: usize,
    /// Calls by the zone of the desk that has them, fading over `ORIGIN`.
    origins: BTreeMap<u32, f64>,
    peak: usize,
    turned: usize, // away since the last telling
    last: Duration,
    told: Duration,
    quiet: Duration,
    news: bool,
    boots: Boots,
    score: Score,
}

/// Whether a call that would wait here for so long does better `far` away, where there is room: an urgent one if it is
/// quicker, another only if it is not in time here.
pub fn gains(now: Duration, wish: &Wish, wait: Duration, run: f64, far: Duration) -> bool {
    let late = now + wait + Duration::from_secs_f64(run) > wish.aim;
    wait > far + NEARER && (late || wish.priority <= URGENT)
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
            runs: BTreeMap::new(),
            rate: 0.0,
            busy: 0.0,
            smoothed: now,
            came: 0,
            origins: BTreeMap::new(),
            peak: 0,
            turned: 0,
            last: now,
            told: Duration::ZERO,
            quiet: Duration::ZERO,
            news: false,
            boots: Boots::default(),
            score: index,
        }
    }

    /// Another way to score instances, to be compared with the index.
    pub fn scored(mut self, score: Score) -> Self {
        self.score = score;
        self
    }

    /// A start was seen from its beginning to the first connection that was taken.
    pub fn started(&mut self, took: Duration) {
        self.boots.seen(took, self.function.boot);
    }

    /// The mean time a slot is held, over all calls.
    pub fn run(&self) -> Duration {
        let (sum, weight) =
            self.runs.values().fold((0.0, 0.0), |(s, w), run| (s + run.mean * run.share, w + run.share));
        Duration::from_secs_f64(if weight > 0.0 { sum / weight } else { FIRST_RUN })
    }

    /// The same for calls of one priority.
    fn run_of(&self, priority: u8) -> f64 {
        self.runs.get(&priority).map_or_else(|| self.run().as_secs_f64(), |run| run.mean)
    }

    fn ran(&mut self, priority: u8, held: f64) {
        for run in self.runs.values_mut() {
            run.share *= 1.0 - RUN_STEP;
        }
        if self.runs.len() >= 16 && !self.runs.contains_key(&priority) {
            return;
        }
        let run = self.runs.entry(priority).or_default();
        run.count += 1;
        run.share += RUN_STEP;
        run.mean += RUN_STEP.max(1.0 / run.count as f64) * (held.clamp(0.002, 60.0) - run.mean);
    }

    pub fn lent(&self) -> usize {
        self.books.iter().map(|book| book.loans.len()).sum()
    }

    /// Calls that one instance may have at once.
    pub fn slots(&self) -> usize {
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
        let kept = (-span / ORIGIN).exp();
        self.origins.retain(|_, calls| {
            *calls *= kept;
            *calls > 0.01
        });
    }

    /// Calls a second over about the last one, as it stands now.
    pub fn rate(&self, now: Duration) -> f64 {
        let span = now.saturating_sub(self.smoothed).as_secs_f64();
        if span < 0.05 {
            return self.rate;
        }
        let kept = (-span).exp();
        self.rate * kept + self.came as f64 / span * (1.0 - kept)
    }

    /// A call of a desk in this zone has come; it is counted once.
    pub fn counted(&mut self, now: Duration, origin: u32) {
        self.smooth(now);
        self.came += 1;
        if self.origins.len() < ORIGINS || self.origins.contains_key(&origin) {
            *self.origins.entry(origin).or_default() += 1.0;
        }
        self.last = now;
        self.news = true;
        self.peak = self.peak.max(self.lent() + self.queue.len() + 1);
    }

    /// What the index of an instance is made of.
    fn seen(&self, now: Duration, book: &Book, among: usize) -> Seen {
        let n = book.loans.len();
        Seen {
            n,
            energy: book.sight.energy(now, n),
            lambda: self.rate.max(RATE_FLOOR),
            mu: self.slots() as f64 / (self.run().as_secs_f64() * book.sight.ratio()).max(1e-3),
            delta: self.boots.delta(self.function.boot),
            among,
        }
    }

    /// The instance with the lowest index among those with a free slot, ties by `chance`. One that has completed nothing
    /// yet stands at the others' mean. What the call wants to avoid comes last.
    fn lowest(&self, now: Duration, avoid: u32, chance: &mut dyn FnMut(usize) -> usize) -> Option<usize> {
        let slots = self.slots() + usize::from(planted(Defect::OneTooMany));
        let started = || self.books.iter().filter(|book| book.entry.lends && book.entry.ready);
        let among = started().count();
        let own = |book: &Book| (self.score)(&self.seen(now, book, among));
        let mut mean = None; // found once it is wanted
        let (mut best, mut lowest, mut ties) = (None, (true, f64::INFINITY), 0);
        for (i, book) in self.books.iter().enumerate() {
            if !book.open(now) || book.loans.len() >= slots {
                continue;
            }
            let index = if book.sight.known() {
                own(book)
            } else {
                let mean = *mean.get_or_insert_with(|| {
                    let known = started().filter(|book| book.sight.known()).map(own);
                    let (sum, count) =
                        known.fold((0.0, 0.0), |(sum, count), index| (sum + index, count + 1.0));
                    (count > 0.0).then(|| sum / count)
                });
                mean.unwrap_or_else(|| own(book))
            };
            // A second try goes elsewhere where there is an elsewhere. No addend: the index grows as b^n, beyond any.
            let avoided = hash(&book.entry.instance) == avoid;
            let close = 1e-9 * (1.0 + lowest.1.abs());
            if (avoided, index) < lowest && !(avoided == lowest.0 && (lowest.1 - index) <= close) {
                (best, lowest, ties) = (Some(i), (avoided, index), 1);
            } else if avoided == lowest.0 && (index - lowest.1).abs() <= close {
                ties += 1;
                if chance(ties) == 0 {
                    best = Some(i);
                }
            }
        }
        best
    }

    /// When slots come free, soonest first: those of instances that start, and those lent, by what such calls take.
    fn slots_free(&self, now: Duration) -> Vec<f64> {
        let mut free = Vec::new();
        for book in self.books.iter().filter(|book| book.entry.lends) {
            let up = (book.entry.since + self.function.boot).saturating_sub(now).as_secs_f64();
            let from = match book.entry.ready {
                true => book.rests.saturating_sub(now).as_secs_f64(),
                false => up.max(0.05),
            };
            for loan in &book.loans {
                let run = self.run_of(loan.priority);
                let held = now.saturating_sub(loan.since).as_secs_f64();
                // One that runs longer than usual may go on as long again.
                free.push((run - held).max(0.3 * run).max(from));
            }
            free.extend(std::iter::repeat_n(from, self.slots().saturating_sub(book.loans.len()).min(64)));
        }
        if free.is_empty() {
            let boot = self.function.boot.as_secs_f64() + 0.06;
            free.extend(std::iter::repeat_n(boot, self.slots().min(64)));
        }
        free.sort_by(f64::total_cmp);
        free
    }

    /// The start of a call's run if it takes the soonest slot, which is then taken for `run` seconds.
    fn place(free: &mut [f64], run: f64) -> f64 {
        let Some(first) = free.first_mut() else { return f64::INFINITY };
        let start = *first;
        *first += run;
        let mut i = 0;
        while i + 1 < free.len() && free[i] > free[i + 1] {
            free.swap(i, i + 1);
            i += 1;
        }
        start
    }

    /// When this call's run would start, behind those that go before it.
    fn estimate(&self, now: Duration, wish: &Wish) -> Duration {
        let mut free = self.slots_free(now);
        for other in self.queue.iter().filter(|other| other.key() <= wish.key()) {
            Self::place(&mut free, self.run_of(other.priority));
        }
        Duration::try_from_secs_f64(Self::place(&mut free, 0.0)).unwrap_or(Duration::from_secs(60))
    }

    /// When a call that comes now would start, if not at once.
    pub fn wait(&self, now: Duration, wish: &Wish) -> Option<Duration> {
        let at_once = self.queue.is_empty() && self.free(now) > 0;
        (!at_once).then(|| self.estimate(now, wish))
    }

    /// Waiting calls that would gain by going where there is room, `far` away: those that are not in time here, and urgent
    /// ones that wait for longer than the way there takes. Urgent ones first, at most `most`.
    pub fn better_off(&mut self, now: Duration, far: Duration, most: usize, hops: u8) -> Vec<Wish> {
        let mut free = self.slots_free(now);
        let mut gain: Vec<(u8, usize)> = Vec::new();
        for (n, wish) in self.queue.iter().enumerate() {
            let run = self.run_of(wish.priority);
            let start = Self::place(&mut free, run);
            let there = now + far + Duration::from_secs_f64(run);
            let wait = Duration::try_from_secs_f64(start).unwrap_or(Duration::MAX / 4);
            if wish.hops < hops && there < wish.end && gains(now, wish, wait, run, far) {
                gain.push((wish.priority, n));
            }
        }
        gain.sort_unstable();
        gain.truncate(most);
        let mut places: Vec<usize> = gain.into_iter().map(|(_, n)| n).collect();
        places.sort_unstable_by(|a, b| b.cmp(a));
        let mut gone: Vec<Wish> = places.into_iter().map(|n| self.queue.remove(n)).collect();
        gone.reverse();
        gone
    }

    /// Mean time a slot is held, for calls of this rank.
    pub fn usual(&self, priority: u8) -> f64 {
        self.run_of(priority)
    }

    /// Waiting calls that the slots there are, and those that start, do not serve well before their aim.
    fn short(&self, now: Duration) -> usize {
        if self.queue.is_empty() {
            return 0;
        }
        if !self.lends() {
            return self.queue.len();
        }
        let mut free = self.slots_free(now);
        let late = |wish: &&Wish| {
            let run = self.run_of(wish.priority);
            let ends = Self::place(&mut free, run) + run;
            ends > wish.aim.saturating_sub(wish.came).as_secs_f64() * SHORT
                - now.saturating_sub(wish.came).as_secs_f64()
        };
        self.queue.iter().filter(late).count()
    }

    pub fn is_short(&self, now: Duration) -> bool {
        self.turned > 0 || self.short(now) > 0
    }

    /// An ask: a slot at once, a place in the queue, or no.
    pub fn ask(&mut self, now: Duration, mut wish: Wish, chance: &mut dyn FnMut(usize) -> usize) -> Verdict {
        if self.queue.is_empty() {
            if let Some(i) = self.lowest(now, wish.avoid, chance) {
                self.lend(now, i, &wish);
                return Verdict::Granted(i);
            }
        }
        let run = Duration::from_secs_f64(self.run_of(wish.priority));
        let left = wish.end.saturating_sub(now);
        let wait = self.estimate(now, &wish);
        // What cannot be in time waits behind all that can, as long as that leaves its client another try; else it is told
        // so at once.
        if now + wait + run > wish.aim {
            wish.late = true;
            let wait = self.estimate(now, &wish);
            if wait + run > left.mul_f64(LATE) || self.queue.len() >= WAITING {
                self.turned += 1;
                return Verdict::Later(wait);
            }
        } else if self.queue.len() >= WAITING {
            return Verdict::Later(wait);
        }
        let at = match planted(Defect::ByArrival) {
            true => self.queue.len(),
            false => self.queue.partition_point(|other| other.key() <= wish.key()),
        };
        self.queue.insert(at, wish);
        self.peak = self.peak.max(self.lent() + self.queue.len());
        Verdict::Waits
    }

    pub fn lend(&mut self, now: Duration, i: usize, wish: &Wish) {
        let usual = Duration::from_secs_f64(self.run_of(wish.priority) * LONG_RUNS);
        let loan = Loan {
            to: wish.from,
            life: wish.life,
            seq: wish.seq,
            since: now,
            until: wish.end + GRACE,
            priority: wish.priority,
            doubt: now + usual.max(LONG),
            asked: 0,
        };
        let book = &mut self.books[i];
        book.sight.lent(now, book.loans.len());
        book.loans.push(loan);
        self.peak = self.peak.max(self.lent() + self.queue.len());
    }

    /// The next waiting call that can have a slot, with the book it is lent from.
    pub fn serve(&mut self, now: Duration, chance: &mut dyn FnMut(usize) -> usize) -> Option<(usize, Wish)> {
        self.fall_behind(now);
        let avoid = self.queue.first()?.avoid;
        let i = self.lowest(now, avoid, chance)?;
        let wish = self.queue.remove(0);
        if !planted(Defect::GrantsUnwritten) {
            self.lend(now, i, &wish);
        }
        Some((i, wish))
    }

    /// Calls in front that have waited too long to be in time let the others go first: serving them all late would leave
    /// none in time.
    fn fall_behind(&mut self, now: Duration) {
        for _ in 0..self.queue.len() {
            let Some(first) = self.queue.first().filter(|w| !w.late) else { return };
            let run = Duration::from_secs_f64(self.run_of(first.priority));
            if now + run.mul_f64(0.7) <= first.aim {
                return;
            }
            let mut wish = self.queue.remove(0);
            wish.late = true;
            let at = self.queue.partition_point(|other| other.key() <= wish.key());
            self.queue.insert(at, wish);
        }
    }

    /// Calls that can no longer end in time: out of the queue.
    pub fn hopeless(&mut self, now: Duration) -> Vec<Wish> {
        let runs: Vec<f64> = self.queue.iter().map(|wish| self.run_of(wish.priority)).collect();
        let mut runs = runs.into_iter();
        let (gone, kept) = self
            .queue
            .drain(..)
            .partition(|wish| wish.end <= now + Duration::from_secs_f64(runs.next().unwrap_or_default()));
        self.queue = kept;
        gone
    }

    /// A slot comes back. The book of an instance that is to be told of as gone is closed.
    pub fn back(
        &mut self,
        now: Duration,
        from: SocketAddr,
        life: u32,
        seq: u32,
        ended: Ended,
    ) -> Option<Book> {
        self.queue.retain(|wish| (wish.from, wish.life, wish.seq) != (from, life, seq));
        let same = |loan: &Loan| loan.is(from, life, seq);
        let i = self.books.iter().position(|book| book.loans.iter().any(same))?;
        let book = &mut self.books[i];
        let loan = book.loans.iter().position(same).map(|at| book.loans.swap_remove(at))?;
        if planted(Defect::FreedTwice) {
            book.loans.pop();
        }
        let held = now.saturating_sub(loan.since).as_secs_f64();
        let usual = self.runs.get(&loan.priority).filter(|run| run.count >= USUAL).map(|run| held / run.mean);
        book.sight.back(now, ended, usual);
        match ended {
            Ended::Done => {
                book.silent = 0;
                self.ran(loan.priority, held);
            }
            Ended::Idle => {}
            Ended::Full => book.rests = now + FULL_REST,
            Ended::Leaving => book.rests = now + LEAVING_REST,
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

    fn drop_book(&mut self, i: usize) -> Book {
        self.news = true;
        self.books.swap_remove(i)
    }

    /// A loan that a former lender gave, or one asked after: counted as out until it comes back or its call must be over.
    /// False if the instance is not in this one's care.
    pub fn holds(&mut self, now: Duration, loan: Loan, instance: &str) -> bool {
        let Some(book) = self.books.iter_mut().find(|book| book.entry.instance == instance) else {
            return false;
        };
        let room = book.loans.len() < 4096;
        match book.loans.iter_mut().find(|old| old.is(loan.to, loan.life, loan.seq)) {
            Some(old) => old.doubted(now),
            None if room => book.loans.push(loan),
            None => return false,
        }
        true
    }

    /// A grant that nobody waits for any more, or (instance 0) a place in the queue.
    pub fn unwanted(&mut self, from: SocketAddr, life: u32, seq: u32, instance: u32) {
        if instance == 0 {
            self.queue.retain(|wish| (wish.from, wish.life, wish.seq) != (from, life, seq));
        }
        for book in self.books.iter_mut().filter(|book| hash(&book.entry.instance) == instance) {
            if let Some(at) = book.loans.iter().position(|loan| loan.is(from, life, seq)) {
                book.loans.swap_remove(at);
                self.news = true;
            }
        }
    }

    /// A grant that its requester won't use, since it knows the instance to leave.
    pub fn refused(&mut self, now: Duration, from: SocketAddr, life: u32, seq: u32, instance: u32) {
        for book in self.books.iter_mut().filter(|book| hash(&book.entry.instance) == instance) {
            if let Some(at) = book.loans.iter().position(|loan| loan.is(from, life, seq)) {
                book.loans.swap_remove(at);
                book.rests = now + LEAVING_REST;
                self.news = true;
            }
        }
    }

    /// A process that begins anew waits for nothing that the one before asked for.
    pub fn forget_asks(&mut self, from: SocketAddr, life: u32) {
        self.queue.retain(|wish| wish.from != from || wish.life == life);
    }

    /// Loans whose call must be over, and whose borrower never said so.
    pub fn expire(&mut self, now: Duration) {
        if planted(Defect::NoTerm) {
            return;
        }
        for book in &mut self.books {
            book.loans.retain(|loan| loan.until > now);
        }
    }

    /// This borrower is asked at once after all loans that it has been asked after before.
    pub fn doubt(&mut self, now: Duration, from: SocketAddr) {
        let of = self.books.iter_mut().flat_map(|book| &mut book.loans);
        for loan in of.filter(|loan| loan.to == from && now >= loan.since + LONG / 4) {
            (loan.doubt, loan.asked) = (now, 0);
        }
    }

    /// Loans to be asked after now: the borrower, its life, the call and the instance.
    pub fn doubts(&mut self, now: Duration) -> Vec<(SocketAddr, u32, u32, u32)> {
        let mut all = Vec::new();
        if planted(Defect::NeverAsked) {
            return all;
        }
        for book in &mut self.books {
            for loan in book.loans.iter_mut().filter(|loan| now >= loan.doubt) {
                loan.doubted(now);
                all.push((loan.to, loan.life, loan.seq, hash(&book.entry.instance)));
            }
        }
        all
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
            waiting: self.short(now) + std::mem::take(&mut self.turned),
            run: self.run(),
            idle: now.saturating_sub(self.last),
            origins: self.shares(),
        })
    }
}

impl Shelf {
    fn shares(&self) -> Vec<(u32, f64)> {
        let all: f64 = self.origins.values().sum();
        self.origins.iter().map(|(zone, calls)| (*zone, calls / all.max(1e-9))).collect()
    }
}

impl Loan {
    /// Told by a borrower that it has it.
    pub fn told(now: Duration, to: SocketAddr, life: u32, seq: u32, left: Duration) -> Loan {
        let (doubt, until) = (now + LONG, now + left + GRACE);
        Loan { to, life, seq, since: now, until, priority: 0, doubt, asked: 0 }
    }

    /// As a new owner is told of it.
    pub fn as_told(&self, now: Duration) -> LoanedSlot {
        let left = u32::try_from(self.until.saturating_sub(now).as_millis()).unwrap_or(u32::MAX);
        LoanedSlot { to: self.to, life: self.life, seq: self.seq, left }
    }

    /// The same, told by the former owner: it may have come back there meanwhile, so its borrower is asked soon.
    pub fn handed_over(now: Duration, to: SocketAddr, life: u32, seq: u32, left: Duration) -> Loan {
        Loan { doubt: now + LONG / 4, until: now + left, ..Loan::told(now, to, life, seq, left) }
    }

    /// It is asked after again in a while, each time later.
    fn doubted(&mut self, now: Duration) {
        self.doubt = now + LONG / 4 * (1 << self.asked.min(2));
        self.asked += 1;
    }
}

impl Book {
    pub fn new(entry: Entry, rests: Duration, loans: Vec<Loan>) -> Self {
        let mut book = Book {
            entry,
            loans,
            rests,
            awaits: None,
            settled: rests,
            claim_due: Duration::ZERO,
            silent: 0,
            dialled: Duration::ZERO,
            refused: false,
            sight: Sight::default(),
        };
        // What was kept from a time as lender may have come back to another since.
        for loan in &mut book.loans {
            loan.doubt = Duration::ZERO;
        }
        book
    }

    /// Nothing is waited for any more; it lends from then on.
    pub fn stop_waiting(&mut self, rests: Duration) {
        self.awaits = None;
        self.rests = self.rests.min(rests);
        self.settled = self.settled.min(rests);
    }

    /// Loans that a former owner gave, as far as they are not known.
    pub fn merge(&mut self, loans: Vec<Loan>) {
        for loan in loans {
            if !self.loans.iter().any(|old| old.is(loan.to, loan.life, loan.seq)) {
                self.loans.push(loan);
            }
        }
    }

    /// It lends nothing before then.
    pub fn rest_until(&mut self, then: Duration) {
        self.rests = self.rests.max(then);
    }

    pub fn rests_until(&self) -> Duration {
        self.rests
    }

    /// How much longer it lends nothing, though it may.
    pub fn rests(&self, now: Duration) -> Duration {
        self.rests.saturating_sub(now)
    }

    /// It lends now.
    pub fn open(&self, now: Duration) -> bool {
        (self.entry.lends || planted(Defect::DrainLent)) && self.entry.ready && now >= self.rests
    }
}
