//! Operators: send configurations to core machines until one is acknowledged, and request the newest at the
//! end.

use super::{secs, Event, MachineState, World};
use crate::controller::Reply;
use crate::net::Node;
use crate::scenario::{Change, Outage};
use std::time::Duration;

pub(crate) struct OperatorCall {
    /// Version to send; None requests the newest configuration.
    version: Option<usize>,
    first: Option<String>,
    wipe_for: Option<f64>,
    /// Counts sends. Replies and timeouts of earlier sends are ignored.
    sending: u64,
    attempts: u32,
    hops: u32,
    to: Option<usize>,
    /// Machine called last; a retry goes to another one.
    last_target: Option<usize>,
    finished: bool,
}

impl World {
    pub(super) fn begin_operators(&mut self) {
        let step = 1 + self.rng.below(3) as u64;
        let version = self.plan.change(&Change::Touch, step);
        self.checker.versions.push(version);
        self.call(Some(0), None, None, Duration::from_millis(1500));
    }

    pub(super) fn configure(&mut self, change: &Change, first: Option<String>, wipe_for: Option<f64>) {
        let step = 1 + self.rng.below(4) as u64;
        let version = self.plan.change(change, step);
        self.checker.versions.push(version);
        let version = self.checker.versions.len() - 1;
        self.call(Some(version), first, wipe_for, Duration::ZERO);
        match change {
            Change::Add { route, .. } => {
                let added = self.plan.routes.iter().find(|r| r.name == *route).map(|r| r.line.clone());
                if let Some(line) = added {
                    self.add_streams(&line, vec![(route.clone(), 1.0)], self.now);
                }
            }
            Change::Drop { route } => self.end_streams(route),
            _ => {}
        }
    }

    fn call(
        &mut self,
        version: Option<usize>,
        first: Option<String>,
        wipe_for: Option<f64>,
        after: Duration,
    ) {
        self.calls.push(OperatorCall {
            version,
            first,
            wipe_for,
            sending: 0,
            attempts: 0,
            hops: 0,
            to: None,
            last_target: None,
            finished: false,
        });
        self.schedule_in(after, Event::OperatorCall { call: self.calls.len() - 1, sending: 0 });
    }

    pub(super) fn request_shown_configuration(&mut self) {
        self.call(None, None, None, Duration::ZERO);
    }

    /// Core machines on the operator's list, which lags behind changes.
    fn listed(&self) -> Vec<usize> {
        let lag = secs(self.scenario.timers.seed_lag);
        let is_listed = |n: &usize| {
            let core = &self.cores[*n];
            core.listed <= self.now && core.gone.is_none_or(|gone| gone + lag > self.now)
        };
        (0..self.cores.len()).filter(is_listed).collect()
    }

    pub(super) fn operator_call(&mut self, n: usize, sending: u64) {
        let mut listed = self.listed();
        let last_target = self.calls.get(n).and_then(|call| call.last_target);
        if listed.len() > 1 {
            listed.retain(|core| Some(*core) != last_target);
        }
        let sample = self.rng.below(listed.len());
        let now = self.now;
        let Some(call) = self.calls.get_mut(n).filter(|call| !call.finished && call.sending == sending)
        else {
            return;
        };
        let named = call.first.take().and_then(|name| self.cores.iter().position(|core| core.name == name));
        let Some(to) = call.to.take().or(named).or(listed.get(sample).copied()) else {
            return self.schedule_in(Duration::from_millis(300), Event::OperatorCall { call: n, sending });
        };
        call.last_target = Some(to);
        call.sending += 1;
        call.attempts += 1;
        let sending = call.sending;
        if let Some(version) = call.version {
            self.checker.versions[version].sent.get_or_insert(now);
        }
        self.schedule_in(Duration::from_millis(1050), Event::OperatorTimeout { call: n, sending });
        let Some(takes) = self.net.stream(&mut self.rng, Node::Operator, Node::Core(to)) else { return };
        match self.cores[to].up {
            MachineState::On => {
                let incarnation = self.cores[to].incarnation;
                self.schedule_in(takes, Event::CallAtController { core: to, incarnation, call: n, sending });
            }
            MachineState::Refuses => self.schedule_in(takes * 2, Event::OperatorTimeout { call: n, sending }),
            MachineState::Silent => {}
        }
    }

    pub(super) fn at_core(&mut self, core: usize, incarnation: u64, n: usize, sending: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(n) else { return };
        let text = call.version.map(|version| self.checker.versions[version].text.clone());
        let Some(core) = self.cores.get_mut(core).filter(|core| core.incarnation == incarnation) else {
            return;
        };
        let local = now - core.started_at;
        let Some(controller) = core.controller.as_mut() else { return };
        // The call number comes back with the reply.
        let number = (n as u64) << 32 | sending;
        match text {
            Some(text) => controller.replace(local, number, &text),
            None => controller.show(local, number),
        }
    }

    pub(super) fn send_operator_reply(&mut self, core: usize, number: u64, reply: Reply) {
        let (call, sending) = ((number >> 32) as usize, number & 0xffff_ffff);
        if let Some(takes) = self.net.stream(&mut self.rng, Node::Core(core), Node::Operator) {
            self.schedule_in(takes, Event::OperatorReply { call, sending, reply, core });
        }
    }

    pub(super) fn operator_reply(&mut self, n: usize, sending: u64, reply: Reply, core: usize) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(n).filter(|call| !call.finished && call.sending == sending)
        else {
            return;
        };
        match reply {
            Reply::Acknowledged => {
                call.finished = true;
                let wipe = call.wipe_for.take();
                if let Some(version) = call.version {
                    let version = &mut self.checker.versions[version];
                    if version.valid {
                        version.acked = Some(now);
                        let text = format!("{} acknowledged by {}", version.revision, self.cores[core].name);
                        self.last_acker = Some(core);
                        self.record_event(text);
                    } else {
                        let text = format!("{} is invalid and was acknowledged", version.revision);
                        self.checker.report(crate::checker::Rule::Config, now, text);
                    }
                }
                if let Some(duration) = wipe {
                    self.kill(Node::Core(core), Outage::DiskLost, Some(duration));
                }
            }
            Reply::Invalid => call.finished = true,
            Reply::Conflict => {
                call.finished = true;
                if let Some(version) = call.version {
                    let revision = self.checker.versions[version].revision;
                    let text =
                        format!("{revision} was rejected as a conflict, but no other text was sent under it");
                    self.checker.report(crate::checker::Rule::Config, now, text);
                }
            }
            Reply::Configuration(text) => {
                call.finished = true;
                if call.version.is_none() {
                    self.checker.shown = Some(text);
                }
            }
            Reply::Redirect(ip) if call.hops < 2 => {
                call.hops += 1;
                call.to = self.cores.iter().position(|core| core.ip == ip);
                self.schedule_in(Duration::from_millis(1), Event::OperatorCall { call: n, sending });
            }
            Reply::Redirect(_) | Reply::Unavailable | Reply::Empty => self.retry(n),
        }
    }

    fn retry(&mut self, n: usize) {
        let Some(call) = self.calls.get_mut(n) else { return };
        call.hops = 0;
        let pause = Duration::from_millis(100 << call.attempts.min(4)).min(Duration::from_millis(800));
        let sending = call.sending;
        self.schedule_in(pause, Event::OperatorCall { call: n, sending });
    }

    pub(super) fn operator_timeout(&mut self, n: usize, sending: u64) {
        // If a reply has already scheduled the next send, this timeout belongs to an older one.
        let Some(call) = self.calls.get(n).filter(|call| !call.finished && call.sending == sending) else {
            return;
        };
        let _ = call;
        self.retry(n);
    }
}
