//! Generates scenarios from a seed: overlapping rounds of planned restarts, hundreds of configuration
//! changes, and in some scenarios unplanned faults.

use crate::scenario::{Action, ActionKind, Scenario, ZONES};
use oorandom::Rand64;

/// The size of a generated scenario.
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
/// Range of the time between the starts of two rounds of restarts, and between the steps of a round.
const BETWEEN_ROUNDS_S: [f64; 2] = [4.0, 10.0];
const STEP_S: [f64; 2] = [0.2, 1.4];
/// Range of the share of the proxies that a round restarts.
const ROUND_SHARE: [f64; 2] = [0.4, 1.0];
/// Probability that a terminating machine gets a second SIGTERM, and range of the delay.
const SECOND_SIGTERM_PROBABILITY: f64 = 0.3;
const SECOND_SIGTERM_AFTER_S: [f64; 2] = [0.1, 2.0];
/// Range of the time between changes of the configuration.
const CHANGE_GAP_S: [f64; 2] = [0.08, 0.4];
/// Mean numbers of actions a second over all machines: SIGHUPs to proxies, restarts of controllers, drains of
/// hosts.
const HANGUPS_PER_S: f64 = 0.1;
const CONTROLLER_RESTARTS_PER_S: f64 = 0.06;
const DRAINS_PER_S: f64 = 0.03;
const HOST_DOWN_S: [f64; 2] = [3.0, 6.0];
/// Probability that a scenario has unplanned faults, and range of their number.
const UNPLANNED_PROBABILITY: f64 = 0.3;
const UNPLANNED_FAULTS: [f64; 2] = [1.0, 4.0];
const FREEZE_S: [f64; 2] = [0.2, 2.0];
/// There are no actions in the first second.
const QUIET_START_S: f64 = 1.0;

struct Generator {
    rng: Rand64,
    scenario: Scenario,
}

/// Generates the scenario of a seed.
pub fn scenario(seed: u64, size: Size) -> Scenario {
    let mut rng = Rand64::new(u128::from(seed) ^ 0x50ac);
    let grace_s = between(&mut rng, GRACE_S);
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
    let mut generator = Generator { rng, scenario };
    generator.rounds_of_restarts();
    generator.changes();
    generator.at_random_times(HANGUPS_PER_S, ActionKind::Hangup, "proxy", None);
    generator.at_random_times(CONTROLLER_RESTARTS_PER_S, ActionKind::Terminate, "controller", None);
    generator.at_random_times(DRAINS_PER_S, ActionKind::DrainHost, "host", Some(HOST_DOWN_S));
    generator.unplanned_faults();
    generator.scenario.actions.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    generator.scenario
}

fn between(rng: &mut Rand64, [min, max]: [f64; 2]) -> f64 {
    let sampled = min + (max - min) * rng.rand_float();
    (sampled * 100.0).round() / 100.0
}

impl Generator {
    fn between(&mut self, range: [f64; 2]) -> f64 {
        between(&mut self.rng, range)
    }

    fn random_time(&mut self) -> f64 {
        let last = self.scenario.seconds;
        self.between([QUIET_START_S.min(last), last])
    }

    fn push(&mut self, at_s: f64, kind: ActionKind, on: String, for_s: Option<f64>) {
        if at_s <= self.scenario.seconds {
            self.scenario.actions.push(Action { at_s, kind, on, for_s });
        }
    }

    fn rounds_of_restarts(&mut self) {
        let mut at = self.between([QUIET_START_S, 2.0 * QUIET_START_S]);
        while at < self.scenario.seconds {
            let share = self.between(ROUND_SHARE);
            let count = (self.scenario.proxies as f64 * share).ceil() as usize;
            let first = self.rng.rand_range(0..self.scenario.proxies as u64) as usize;
            let step = self.between(STEP_S);
            for n in 0..count {
                let machine = format!("proxy-{}", (first + n) % self.scenario.proxies);
                let due = at + step * n as f64;
                self.push(due, ActionKind::Terminate, machine.clone(), None);
                if self.rng.rand_float() < SECOND_SIGTERM_PROBABILITY {
                    let after = self.between(SECOND_SIGTERM_AFTER_S);
                    self.push(due + after, ActionKind::Terminate, machine, None);
                }
            }
            at += self.between(BETWEEN_ROUNDS_S);
        }
    }

    fn changes(&mut self) {
        let gap = self.between(CHANGE_GAP_S);
        let mut at = QUIET_START_S;
        while at < self.scenario.seconds {
            self.push(at, ActionKind::Change, String::new(), None);
            at += gap;
        }
    }

    fn at_random_times(
        &mut self,
        per_second: f64,
        kind: ActionKind,
        what: &str,
        durations: Option<[f64; 2]>,
    ) {
        let max = match what {
            "controller" => self.scenario.controllers,
            "host" => self.scenario.hosts,
            _ => self.scenario.proxies,
        };
        let count = (per_second * self.scenario.seconds * 2.0 * self.rng.rand_float()).round() as usize;
        for _ in 0..count {
            let at = self.random_time();
            let number = self.rng.rand_range(0..max as u64);
            let for_s = durations.map(|range| self.between(range));
            self.push(at, kind, format!("{what}-{number}"), for_s);
        }
    }

    fn unplanned_faults(&mut self) {
        if self.rng.rand_float() >= UNPLANNED_PROBABILITY {
            return;
        }
        for _ in 0..self.between(UNPLANNED_FAULTS) as usize {
            let at = self.random_time();
            let proxy = format!("proxy-{}", self.rng.rand_range(0..self.scenario.proxies as u64));
            let controller =
                format!("controller-{}", self.rng.rand_range(0..self.scenario.controllers as u64));
            let frozen = Some(self.between(FREEZE_S));
            match self.rng.rand_range(0..4) {
                0 => self.push(at, ActionKind::Kill, proxy, None),
                1 => self.push(at, ActionKind::Kill, controller, None),
                2 => self.push(at, ActionKind::Freeze, proxy, frozen),
                _ => self.push(at, ActionKind::Freeze, controller, frozen),
            }
        }
    }
}
