//! Scenarios drawn from a seed: planned work in series that overlap, hundreds of changes, and at times unplanned trouble.

use crate::scenario::{Action, ActionKind, Scenario, ZONES};
use oorandom::Rand64;

/// How large a soak is, where its scenario is drawn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    pub seconds: f64,
    pub proxies: usize,
    pub controllers: usize,
    pub clients: usize,
}

/// Requests a second of each client.
const RATE_PER_CLIENT: f64 = 4.0;
const GRACE_S: [f64; 2] = [2.5, 6.0];
/// A round of restarts follows the one before after so many seconds, its steps so many seconds apart.
const BETWEEN_ROUNDS_S: [f64; 2] = [4.0, 10.0];
const STEP_S: [f64; 2] = [0.2, 1.4];
/// Share of the proxies in a round.
const ROUND_SHARE: [f64; 2] = [0.4, 1.0];
/// How likely a leaving machine gets SIGTERM once more, and how much later.
const TWICE: f64 = 0.3;
const TWICE_AFTER_S: [f64; 2] = [0.1, 2.0];
/// Changes of the configuration come so many seconds apart.
const CHANGE_GAP_S: [f64; 2] = [0.08, 0.4];
/// Of all signals that settings have changed, a second.
const HANGUPS_PER_S: f64 = 0.1;
const CONTROLLER_RESTARTS_PER_S: f64 = 0.06;
const DRAINS_PER_S: f64 = 0.03;
const HOST_AWAY_S: [f64; 2] = [3.0, 6.0];
/// How likely a soak also holds unplanned trouble, and how many pieces of it.
const TROUBLED: f64 = 0.3;
const TROUBLES: [f64; 2] = [1.0, 4.0];
const FROZEN_S: [f64; 2] = [0.2, 2.0];
/// Nothing happens in the first second.
const FIRST_S: f64 = 1.0;

struct Draw {
    chance: Rand64,
    scenario: Scenario,
}

/// The scenario of a seed.
pub fn scenario(seed: u64, size: Size) -> Scenario {
    let mut chance = Rand64::new(u128::from(seed) ^ 0x50ac);
    let grace_s = between(&mut chance, GRACE_S);
    let scenario = Scenario {
        seed,
        seconds: size.seconds,
        grace_s,
        proxies: size.proxies.next_multiple_of(ZONES),
        controllers: size.controllers,
        hosts: ZONES * 2,
        clients: size.clients,
        rate: size.clients as f64 * RATE_PER_CLIENT,
        actions: Vec::new(),
    };
    let mut draw = Draw { chance, scenario };
    draw.rounds_of_restarts();
    draw.changes();
    draw.at_times(HANGUPS_PER_S, ActionKind::Hangup, "proxy", None);
    draw.at_times(CONTROLLER_RESTARTS_PER_S, ActionKind::Terminate, "controller", None);
    draw.at_times(DRAINS_PER_S, ActionKind::DrainHost, "host", Some(HOST_AWAY_S));
    draw.troubles();
    draw.scenario.actions.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    draw.scenario
}

fn between(chance: &mut Rand64, [least, most]: [f64; 2]) -> f64 {
    let drawn = least + (most - least) * chance.rand_float();
    (drawn * 100.0).round() / 100.0
}

impl Draw {
    fn between(&mut self, range: [f64; 2]) -> f64 {
        between(&mut self.chance, range)
    }

    fn moment(&mut self) -> f64 {
        let last = self.scenario.seconds;
        self.between([FIRST_S.min(last), last])
    }

    fn push(&mut self, at_s: f64, kind: ActionKind, on: String, for_s: Option<f64>) {
        if at_s <= self.scenario.seconds {
            self.scenario.actions.push(Action { at_s, kind, on, for_s });
        }
    }

    fn rounds_of_restarts(&mut self) {
        let mut at = self.between([FIRST_S, 2.0 * FIRST_S]);
        while at < self.scenario.seconds {
            let share = self.between(ROUND_SHARE);
            let count = (self.scenario.proxies as f64 * share).ceil() as usize;
            let first = self.chance.rand_range(0..self.scenario.proxies as u64) as usize;
            let step = self.between(STEP_S);
            for n in 0..count {
                let machine = format!("proxy-{}", (first + n) % self.scenario.proxies);
                let due = at + step * n as f64;
                self.push(due, ActionKind::Terminate, machine.clone(), None);
                if self.chance.rand_float() < TWICE {
                    let after = self.between(TWICE_AFTER_S);
                    self.push(due + after, ActionKind::Terminate, machine, None);
                }
            }
            at += self.between(BETWEEN_ROUNDS_S);
        }
    }

    fn changes(&mut self) {
        let gap = self.between(CHANGE_GAP_S);
        let mut at = FIRST_S;
        while at < self.scenario.seconds {
            self.push(at, ActionKind::Change, String::new(), None);
            at += gap;
        }
    }

    fn at_times(&mut self, per_second: f64, kind: ActionKind, what: &str, lasts: Option<[f64; 2]>) {
        let most = match what {
            "controller" => self.scenario.controllers,
            "host" => self.scenario.hosts,
            _ => self.scenario.proxies,
        };
        let count = (per_second * self.scenario.seconds * 2.0 * self.chance.rand_float()).round() as usize;
        for _ in 0..count {
            let at = self.moment();
            let number = self.chance.rand_range(0..most as u64);
            let for_s = lasts.map(|range| self.between(range));
            self.push(at, kind, format!("{what}-{number}"), for_s);
        }
    }

    fn troubles(&mut self) {
        if self.chance.rand_float() >= TROUBLED {
            return;
        }
        for _ in 0..self.between(TROUBLES) as usize {
            let at = self.moment();
            let proxy = format!("proxy-{}", self.chance.rand_range(0..self.scenario.proxies as u64));
            let controller =
                format!("controller-{}", self.chance.rand_range(0..self.scenario.controllers as u64));
            let frozen = Some(self.between(FROZEN_S));
            match self.chance.rand_range(0..4) {
                0 => self.push(at, ActionKind::Kill, proxy, None),
                1 => self.push(at, ActionKind::Kill, controller, None),
                2 => self.push(at, ActionKind::Freeze, proxy, frozen),
                _ => self.push(at, ActionKind::Freeze, controller, frozen),
            }
        }
    }
}
