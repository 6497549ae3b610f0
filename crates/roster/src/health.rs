//! Who of the files' workers is alive: each is looked at now and then, and left out after several bad looks on end.
//!
//! States: unknown (not looked at yet), up, suspect (some bad looks, still used), down. Hysteresis on both sides; looks
//! are spread by a jitter, and their rate is bounded whatever the fleet's size. Once more than a stated share is not
//! up, nobody more is left out: then the looking itself, or something that all share, is in doubt, and sending to a
//! worker that may be dead costs less than sending to none.

use oorandom::Rand64;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Looks a second at the most, over the whole fleet: 10,000 workers are then seen every 20 s.
pub const MOST_A_SECOND: u32 = 500;
/// Looks under way at the most: each takes a descriptor.
pub const MOST_UNDER_WAY: usize = 32;
/// How far a pause may be off, so that schedulers which started together do not look together.
const JITTER: f64 = 0.2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub every: Duration,
    pub down_after: u32,
    pub up_after: u32,
    /// From 0 to 1.
    pub panic_share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Unknown,
    Up,
    Suspect,
    Down,
}

#[derive(Debug)]
struct Patient {
    number: u64,
    state: State,
    /// Looks on end that contradict the state.
    against: u32,
    under_way: bool,
    left_out: bool,
    /// As it was told last.
    told_out: bool,
}

pub struct Health {
    terms: Terms,
    chance: Rand64,
    patients: BTreeMap<String, Patient>,
    /// When each is to be looked at; entries of who was dropped are skipped by their number.
    turns: BinaryHeap<Reverse<(Duration, u64, String)>>,
    next_number: u64,
    /// No look before then.
    not_before: Duration,
    under_way: usize,
    down: usize,
    /// More than the stated share is not up.
    pub panics: bool,
    /// Whose being left out changed.
    changed: Vec<String>,
}

impl Health {
    pub fn new(terms: Terms, seed: u64) -> Self {
        Health {
            terms,
            chance: Rand64::new(u128::from(seed)),
            patients: BTreeMap::new(),
            turns: BinaryHeap::new(),
            next_number: 0,
            not_before: Duration::ZERO,
            under_way: 0,
            down: 0,
            panics: false,
            changed: Vec::new(),
        }
    }

    /// A worker is to be looked at from now on, or at another place: what was known of it counts for nothing.
    pub fn admit(&mut self, now: Duration, name: &str) {
        self.dismiss(name);
        let number = self.next_number;
        self.next_number += 1;
        let (state, against) = (State::Unknown, 0);
        let (under_way, left_out, told_out) = (false, false, false);
        self.patients.insert(name.into(), Patient { number, state, against, under_way, left_out, told_out });
        // A fleet that is read at once is looked at over one round.
        let at = now + self.terms.every.mul_f64(self.chance.rand_float() * JITTER);
        self.turns.push(Reverse((at, number, name.into())));
        self.judge_all();
    }

    pub fn dismiss(&mut self, name: &str) {
        if let Some(patient) = self.patients.remove(name) {
            self.under_way -= usize::from(patient.under_way);
            self.down -= usize::from(patient.state == State::Down);
            self.judge_all();
        }
    }

    /// Whom to look at now.
    pub fn look(&mut self, now: Duration) -> Option<(String, u64)> {
        while now >= self.not_before && self.under_way < MOST_UNDER_WAY {
            if self.turns.peek()?.0 .0 > now {
                return None;
            }
            let Reverse((_, number, name)) = self.turns.pop()?;
            let Some(patient) = self.patients.get_mut(&name).filter(|p| p.number == number) else { continue };
            patient.under_way = true;
            self.under_way += 1;
            self.not_before = self.not_before.max(now) + Duration::from_secs(1) / MOST_A_SECOND;
            return Some((name, number));
        }
        None
    }

    /// When there may be somebody to look at.
    pub fn due(&self) -> Duration {
        match self.turns.peek() {
            Some(Reverse((at, ..))) if self.under_way < MOST_UNDER_WAY => (*at).max(self.not_before),
            _ => Duration::MAX,
        }
    }

    /// It could not be looked at: that says nothing of it.
    pub fn passed_over(&mut self, now: Duration, name: &str, number: u64) {
        if let Some(patient) = self.patients.get_mut(name).filter(|p| p.number == number) {
            self.under_way -= usize::from(std::mem::take(&mut patient.under_way));
            self.turns.push(Reverse((now + self.terms.every, number, name.into())));
        }
    }

    /// What came of a look.
    pub fn looked(&mut self, now: Duration, name: &str, number: u64, well: bool) {
        let Some(patient) = self.patients.get_mut(name).filter(|p| p.number == number) else { return };
        self.under_way -= usize::from(std::mem::take(&mut patient.under_way));
        let was = patient.state;
        let agrees = matches!((was, well), (State::Up, true) | (State::Down, false));
        patient.against = if agrees { 0 } else { patient.against + 1 };
        patient.state = match (was, well) {
            (State::Unknown, true) | (State::Suspect, true) | (State::Up, true) => State::Up,
            (State::Down, true) if patient.against >= self.terms.up_after => State::Up,
            (State::Unknown | State::Up | State::Suspect, false) => {
                if patient.against >= self.terms.down_after {
                    State::Down
                } else if was == State::Unknown {
                    State::Unknown
                } else {
                    State::Suspect
                }
            }
            (State::Down, _) => State::Down,
        };
        if patient.state != was && !matches!((was, patient.state), (State::Up, State::Suspect)) {
            patient.against = 0;
        }
        match (was, patient.state) {
            (State::Down, State::Up) => self.down -= 1,
            (before, State::Down) if before != State::Down => self.down += 1,
            _ => {}
        }
        let pause = self.terms.every.mul_f64(1.0 + JITTER * (self.chance.rand_float() - 0.5));
        // Who changes is looked at again sooner: three bad looks should not take three whole rounds.
        let hurried = patient.against > 0;
        let at = now + if hurried { pause / 4 } else { pause };
        self.turns.push(Reverse((at, number, name.into())));
        self.judge(name);
        self.judge_all();
    }

    fn judge(&mut self, name: &str) {
        let panics = self.panics;
        if let Some(patient) = self.patients.get_mut(name) {
            let out = match patient.state {
                State::Down => patient.left_out || !panics,
                _ => false,
            };
            if out != patient.left_out {
                patient.left_out = out;
                self.changed.push(name.into());
            }
        }
    }

    /// The share of who is down decides whether anybody more is left out; once it has fallen, all who are down are.
    fn judge_all(&mut self) {
        let share = self.down as f64 / self.patients.len().max(1) as f64;
        let before = std::mem::replace(&mut self.panics, share > self.terms.panic_share);
        if before != self.panics {
            let down = self.patients.iter().filter(|(_, p)| p.state == State::Down);
            let names: Vec<String> = down.map(|(name, _)| name.clone()).collect();
            if self.panics {
                // In doubt about the looking, those left out already are let in again too.
                for name in names {
                    if let Some(patient) = self.patients.get_mut(&name).filter(|p| p.left_out) {
                        patient.left_out = false;
                        self.changed.push(name);
                    }
                }
            } else {
                names.iter().for_each(|name| self.judge(name));
            }
        }
    }

    /// The next worker whose being left out changed, and whether it is.
    pub fn change(&mut self) -> Option<(String, bool)> {
        loop {
            let name = self.changed.pop()?;
            if let Some(patient) = self.patients.get_mut(&name).filter(|p| p.left_out != p.told_out) {
                patient.told_out = patient.left_out;
                return Some((name, patient.left_out));
            }
        }
    }

    pub fn state(&self, name: &str) -> Option<State> {
        self.patients.get(name).map(|patient| patient.state)
    }
}
