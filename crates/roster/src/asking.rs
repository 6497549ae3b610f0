//! The list client as a decider: what to ask, on which connection, when again, when a call counts as lost, when a
//! whole list is wanted, and which answers are too old to be taken in.
//!
//! The host pulls `step` until it gives none, carries out what it gave, and tells what comes of it by `dialled`,
//! `answered` and `failed`. It pulls again after each input and when `due` has come. Connections have numbers, and
//! are known by them until a step closes them or the host has told that they failed.

use oorandom::Rand64;
use std::time::Duration;

/// How the list is to be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// An agent on the own machine: one call follows the other, and each may wait for news for as long as `watch`.
    Agent { watch: Duration },
    /// A service that all schedulers share and pay for: one call subscribes until that breaks, and is asked for again
    /// with growing pauses, half of `within` at the most: after silence for so long all counts as having been told.
    Shared { within: Duration },
}

/// What the host is to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Open a connection of this number.
    Dial { line: u64 },
    /// Ask on it for what is newer than `after`, and let the answer wait for something new for as long as `wait`;
    /// without `after`, for the whole list.
    Ask { line: u64, after: Option<u64>, wait: Duration },
    /// End it, whatever is under way on it.
    Close { line: u64 },
}

/// What an answer is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Take it in.
    Take,
    /// It is older than what is held, or changes to something else: not to be taken in.
    Stale,
}

/// The watch where an agent is as near as it should be: so short that one that swallowed a call, or lost its answer,
/// is asked again within `HEDGE`. Five calls a second cost some 0.05 % of a core.
pub const SHORT_WATCH: Duration = Duration::from_millis(200);
/// The watch where each answer may be lost on its way, or costs the agent something: fewer answers, fewer breaks.
pub const LONG_WATCH: Duration = Duration::from_millis(1000);
/// A call without a whole answer for so long, beyond its wait, gets another beside it, on a connection of its own. An
/// agent that must ask further for the first answer on a connection was seen to take 0.26 to 0.28 s for it.
const HEDGE: Duration = Duration::from_millis(290);
/// The same for a call on a connection that has answered before, beyond its wait: only the way there and back.
const HEDGE_WATCH: Duration = Duration::from_millis(90);
/// A call without a whole answer for so long, beyond its wait, is lost. The slowest good ones took 0.57 s.
const LOST: Duration = Duration::from_millis(700);
/// Calls beside each other at the most: as many as begin until the first one is lost.
const MOST_LINES: usize = 4;
/// Pauses between failures on end at an agent: the first try is at once, since an answer that broke off says nothing
/// about the next; then they grow to a bound below what a drain may take.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
const LONGEST_PAUSE: Duration = Duration::from_millis(240);
/// An agent that answers older versions than are held for as long has begun to count anew; until then it is one that
/// was started again and has not caught up, and what it names ready may drain.
const BEHIND: Duration = Duration::from_secs(2);
/// Pause between whole lists that are older than what is held.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// First pause at a shared service; it doubles three times at the most.
const SHARED_PAUSE: f64 = 0.5;
const MOST_DOUBLINGS: u32 = 3;

/// A connection with something under way.
#[derive(Clone, Copy, Debug)]
struct Line {
    number: u64,
    up: bool,
    /// Its call has gone out.
    asked: bool,
    /// From when on another one is tried beside it, and when it is lost.
    hedge: Duration,
    lost: Duration,
}

pub struct Asking {
    service: Service,
    chance: Rand64,
    lines: Vec<Line>,
    /// The connection that answered last, with nothing under way.
    ready: Option<u64>,
    /// At a shared service: changes come unasked.
    subscribed: bool,
    /// Connections that are of no use any more.
    useless: Vec<u64>,
    next: u64,
    /// The version held, and whether the whole list is wanted all the same.
    held: Option<u64>,
    whole: bool,
    /// No new call before then.
    not_before: Duration,
    /// Failures on end.
    failures: u32,
    /// Since when answers are older than what is held.
    behind: Option<Duration>,
}

impl Asking {
    /// `held` is the version of the list that is known at the start; `seed` spreads the pauses of schedulers that
    /// failed together at a shared service.
    pub fn new(service: Service, held: Option<u64>, seed: u64) -> Self {
        Asking {
            service,
            chance: Rand64::new(u128::from(seed)),
            lines: Vec::new(),
            ready: None,
            subscribed: false,
            useless: Vec::new(),
            next: 0,
            held,
            whole: held.is_none(),
            not_before: Duration::ZERO,
            failures: 0,
            behind: None,
        }
    }

    // ---- inputs ----

    /// The connection is up.
    pub fn dialled(&mut self, line: u64) {
        self.lines.iter_mut().filter(|l| l.number == line).for_each(|l| l.up = true);
    }

    /// A whole answer came on this connection; `whole` where it holds the whole list, not changes. At a shared
    /// service changes that come unasked are told the same way, and may still be on their way when it has failed.
    pub fn answered(&mut self, now: Duration, line: u64, index: u64, whole: bool) -> Verdict {
        let asked = self.lines.iter().any(|l| l.number == line && l.asked);
        if asked {
            let others = self.lines.drain(..).map(|l| l.number).filter(|&number| number != line);
            self.useless.extend(others);
            self.failures = 0;
            match self.service {
                Service::Agent { .. } => self.useless.extend(self.ready.replace(line)),
                Service::Shared { .. } => self.subscribed = true,
            }
        }
        let older = self.held.is_some_and(|held| index < held);
        let now_behind = older.then(|| *self.behind.get_or_insert(now));
        let anew = now_behind.is_some_and(|since| whole && now.saturating_sub(since) >= BEHIND);
        if anew || !older && (whole || !self.whole) {
            (self.held, self.whole, self.behind) = (Some(index), false, None);
            return Verdict::Take;
        }
        // Guards against a worker that was told to drain and is sent to again: an older list may name it ready.
        if whole {
            self.not_before = now + LOOK_AGAIN;
        }
        self.whole = true;
        Verdict::Stale
    }

    /// What was under way on this connection came to nothing, or at a shared service the subscription broke.
    pub fn failed(&mut self, now: Duration, line: u64) {
        let before = self.lines.len();
        self.lines.retain(|l| l.number != line);
        let was_ready = self.ready == Some(line);
        if self.lines.len() == before && !was_ready && !self.subscribed {
            return;
        }
        self.subscribed = false;
        self.ready = self.ready.filter(|&ready| ready != line);
        self.failures += 1;
        let doublings = self.failures - 1;
        let pause = match self.service {
            Service::Agent { .. } if doublings == 0 => Duration::ZERO,
            Service::Agent { .. } => (FIRST_PAUSE * (1 << (doublings - 1).min(8))).min(LONGEST_PAUSE),
            Service::Shared { within } => {
                let jitter = 0.75 + 0.5 * self.chance.rand_float();
                let pause = SHARED_PAUSE * f64::from(1 << doublings.min(MOST_DOUBLINGS)) * jitter;
                Duration::from_secs_f64(pause).min(within / 2)
            }
        };
        self.not_before = now + pause;
    }

    /// The service is at another place now: what the old one counted means nothing there, so the whole list is asked
    /// for, at once, whatever was waited for.
    pub fn moved(&mut self) {
        self.useless.extend(self.lines.drain(..).map(|l| l.number));
        self.useless.extend(self.ready.take());
        (self.subscribed, self.held, self.whole, self.behind) = (false, None, true, None);
        (self.failures, self.not_before) = (0, Duration::ZERO);
    }

    // ---- what to do ----

    /// The next step; none until an input comes or `due` has come.
    pub fn step(&mut self, now: Duration) -> Option<Step> {
        if let Some(at) = self.lines.iter().position(|l| l.lost <= now) {
            // No pause: what comes of silence is already spaced by its own time.
            self.useless.push(self.lines.remove(at).number);
            self.failures += 1;
        }
        if let Some(line) = self.useless.pop() {
            return Some(Step::Close { line });
        }
        if let Some(at) = self.lines.iter().position(|l| l.up && !l.asked) {
            let (line, after) = (self.lines[at].number, self.held.filter(|_| !self.whole));
            self.lines[at].asked = true;
            // On a new connection nothing is waited for: it shows at once whether the agent is well.
            return Some(Step::Ask { line, after, wait: Duration::ZERO });
        }
        if self.subscribed || now < self.opens_at()? {
            return None;
        }
        if let Some(line) = self.ready.take() {
            let (after, wait) = match self.service {
                Service::Agent { watch } if !self.whole => (self.held, watch),
                _ => (None, Duration::ZERO),
            };
            let (hedge, lost) = (now + wait + HEDGE_WATCH, now + wait + LOST);
            self.lines.push(Line { number: line, up: true, asked: true, hedge, lost });
            return Some(Step::Ask { line, after, wait });
        }
        let (hedge, lost) = match self.service {
            Service::Agent { .. } => (now + HEDGE, now + LOST),
            // It always answers, or its failure is told.
            Service::Shared { .. } => (Duration::MAX, Duration::MAX),
        };
        let number = self.next;
        self.next += 1;
        self.lines.push(Line { number, up: false, asked: false, hedge, lost });
        Some(Step::Dial { line: number })
    }

    /// When another call may be begun: at once if none is under way, beside others when those are late.
    fn opens_at(&self) -> Option<Duration> {
        let late = self.lines.iter().map(|l| l.hedge).max().unwrap_or(Duration::ZERO);
        (self.lines.len() < MOST_LINES).then_some(late.max(self.not_before))
    }

    /// When `step` is to be pulled again, if no input comes before.
    pub fn due(&self) -> Duration {
        let lost = self.lines.iter().map(|l| l.lost);
        let opens = self.opens_at().filter(|_| !self.subscribed);
        lost.chain(opens).min().unwrap_or(Duration::MAX)
    }

    /// Failures on end.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
