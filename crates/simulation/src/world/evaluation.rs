//! Evaluation of a run: the table, the rules, and the scenario's expectations.

use super::{secs, World};
use crate::checker::{ClientRequest, Rule};
use crate::report::{Report, RouteFigures};
use crate::scenario::Expectation;
use std::time::Duration;

impl World {
    pub(super) fn report(mut self, seed: u64) -> Report {
        let must_be_served: Vec<bool> = self
            .checker
            .client_requests
            .iter()
            .map(|client_request| self.checker.must_be_served(client_request))
            .collect();
        self.checker.check_at_end(&must_be_served);
        self.fill(&must_be_served);
        let all = |_: &ClientRequest| true;
        let (served, aim) = (self.share(&must_be_served, all, false), self.share(&must_be_served, all, true));
        let limit = self.checker.worst_full_window(false);
        let anywhere = self.checker.worst_full_window(true);
        let (gap, gap_at) = self.checker.longest_gap(self.warm_up + self.length);
        let slowest = self.slowest_ack();
        self.fill_allocation_figures(&must_be_served);
        let route_figures = self.route_figures(&must_be_served);
        self.checker.check_recovery(self.warm_up + self.length, &must_be_served);
        self.check_expectations(&must_be_served, (gap, gap_at));
        let mut findings = std::mem::take(&mut self.checker.findings);
        findings.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.rule.cmp(&b.rule)));
        let second = (self.length.as_secs_f64() + 6.0) as i64;
        self.rows.retain(|row| row.second >= -2 && row.second <= second || !row.happened.is_empty());
        Report {
            title: self.scenario.title,
            seed,
            length: self.length.as_secs_f64(),
            rows: self.rows,
            spans: self.spans,
            lease_periods: self.lease_periods,
            route_figures,
            findings,
            served,
            aim,
            starts: self.platform.starts,
            memory_gb_s: self.platform.memory_gb_s(self.now),
            stops: self.platform.stops,
            moves: self.platform.moves,
            limit: (limit.0, anywhere.0),
            brief_hold_rejections: self.checker.brief_hold_rejections,
            reused: self.platform.reused,
            gap: gap.as_secs_f64(),
            slowest_ack: slowest.as_secs_f64(),
            last_while_draining: self.checker.last_while_draining.as_secs_f64(),
            events: self.events,
            allocation: self.allocation,
        }
    }

    fn fill_allocation_figures(&mut self, must_be_served: &[bool]) {
        let waits = &mut self.slot_waits;
        waits.sort_by(f64::total_cmp);
        let at = |share: f64| waits.get((waits.len() as f64 * share) as usize).copied().unwrap_or(0.0);
        self.allocation.waits = (at(0.5), at(0.99));
        let urgent: Vec<&str> = self
            .scenario
            .routes
            .iter()
            .filter(|route| route.priority <= 1)
            .map(|route| route.name.as_str())
            .collect();
        let is_urgent = |client_request: &ClientRequest| urgent.contains(&client_request.route.as_str());
        self.allocation.urgent = self.share(must_be_served, is_urgent, true);
        self.allocation.others =
            self.share(must_be_served, |client_request| !is_urgent(client_request), true);
        self.allocation.refusals =
            self.checker.attempts.iter().filter(|record| record.refused_at.is_some()).count();
        self.allocation.full = self.checker.full_rejections.len();
        let mut runs = vec![0usize; self.checker.client_requests.len()];
        for record in &self.checker.attempts {
            runs[record.request] += record.runs;
        }
        let once =
            self.checker.client_requests.iter().zip(&runs).filter(|(client_request, _)| client_request.once);
        self.allocation.doubled = once.map(|(_, runs)| runs.saturating_sub(1)).sum();
        let failed = self.checker.client_requests.iter().zip(must_be_served);
        self.allocation.requests = must_be_served.iter().filter(|must_be_served| **must_be_served).count();
        self.allocation.dropped =
            failed.filter(|(a, must_be_served)| **must_be_served && a.served.is_none() && !a.refused).count();
    }

    fn route_figures(&self, must_be_served: &[bool]) -> Vec<RouteFigures> {
        let mut route_figures: Vec<(RouteFigures, Vec<f64>)> = Vec::new();
        for (client_request, _) in self
            .checker
            .client_requests
            .iter()
            .zip(must_be_served)
            .filter(|(_, must_be_served)| **must_be_served)
        {
            let at = route_figures
                .iter()
                .position(|(class, _)| class.name == client_request.route)
                .unwrap_or_else(|| {
                    route_figures.push((
                        RouteFigures { name: client_request.route.clone(), ..RouteFigures::default() },
                        Vec::new(),
                    ));
                    route_figures.len() - 1
                });
            let (class, latency_ms) = &mut route_figures[at];
            class.sent += 1;
            match client_request.served {
                Some(at) => {
                    class.served += 1;
                    class.aim += usize::from(at <= client_request.aim);
                    latency_ms.push((at - client_request.sent).as_secs_f64() * 1e3);
                }
                None if client_request.refused => class.refused += 1,
                None => class.failed += 1,
            }
        }
        let with_percentiles = |(mut class, mut latency_ms): (RouteFigures, Vec<f64>)| {
            latency_ms.sort_by(f64::total_cmp);
            let at = |share: f64| {
                latency_ms.get((latency_ms.len() as f64 * share) as usize).copied().unwrap_or(0.0)
            };
            class.latency_ms = (at(0.5), at(0.99));
            class
        };
        route_figures.into_iter().map(with_percentiles).collect()
    }

    fn fill(&mut self, must_be_served: &[bool]) {
        for (n, _) in must_be_served.iter().enumerate().filter(|(_, must_be_served)| **must_be_served) {
            let client_request = &self.checker.client_requests[n];
            let (sent, served, refused) =
                (client_request.sent, client_request.served, client_request.refused);
            let in_aim = served.is_some_and(|at| at <= client_request.aim);
            let second = self.checker.seconds(sent).floor() as i64;
            let row = self.row(second);
            row.sent += 1;
            row.served += usize::from(served.is_some());
            row.aim += usize::from(in_aim);
            row.refused += usize::from(served.is_none() && refused);
            row.failed += usize::from(served.is_none() && !refused);
        }
    }

    fn share(&self, must_be_served: &[bool], which: impl Fn(&ClientRequest) -> bool, in_aim: bool) -> f64 {
        let (mut sent, mut counted) = (0, 0);
        for (client_request, must_be_served) in self.checker.client_requests.iter().zip(must_be_served) {
            if *must_be_served && which(client_request) {
                sent += 1;
                counted +=
                    usize::from(client_request.served.is_some_and(|at| !in_aim || at <= client_request.aim));
            }
        }
        if sent == 0 {
            0.0
        } else {
            f64::from(counted as u32) / f64::from(sent)
        }
    }

    /// A superseded change need not be acknowledged itself.
    fn slowest_ack(&self) -> Duration {
        let mut worst = Duration::ZERO;
        for version in self.checker.versions.iter().filter(|version| version.valid) {
            let Some(sent) = version.sent.filter(|sent| *sent > self.warm_up) else { continue };
            let superseding = self.checker.versions.iter().filter(|other| other.revision >= version.revision);
            let acked = superseding.filter_map(|other| other.acked).min().unwrap_or(self.end);
            worst = worst.max(acked.saturating_sub(sent));
        }
        worst
    }

    fn check_expectations(&mut self, must_be_served: &[bool], (gap, gap_at): (Duration, Duration)) {
        let length = self.length;
        let end = self.warm_up + length;
        // At most ten rejections in 5 s are allowed, even if the scenario states no limit.
        let mut limit = 10;
        for (line, expectation) in self.scenario.expectations.clone() {
            let (rule, what) = match expectation {
                Expectation::Served { least, route, from, to }
                | Expectation::Aim { least, route, from, to } => {
                    let in_aim = matches!(
                        expect_kind(&self.scenario.expectations, line),
                        Some(Expectation::Aim { .. })
                    );
                    let (from, to) = (self.warm_up + secs(from), self.warm_up + secs(to));
                    let which = |client_request: &ClientRequest| {
                        client_request.sent >= from
                            && client_request.sent < to
                            && route.as_ref().is_none_or(|route| *route == client_request.route)
                    };
                    let share = self.share(must_be_served, which, in_aim);
                    if share >= least {
                        continue;
                    }
                    let rule = if in_aim { Rule::Aim } else { Rule::Served };
                    (rule, format!("{share:.4} instead of {least}"))
                }
                Expectation::Limit { most, anytime: false } => {
                    limit = most.min(limit);
                    continue;
                }
                Expectation::Limit { most, anytime: true } => {
                    let (worst, at, service) = self.checker.worst_full_window(true);
                    if worst <= most {
                        continue;
                    }
                    let at = self.checker.seconds(at);
                    (
                        Rule::Limit,
                        format!("{worst} turned away as full at {service} in 5 s to {at:.2}, anywhere"),
                    )
                }
                Expectation::Holder { within } if gap > secs(within) => {
                    let at = self.checker.seconds(gap_at);
                    (Rule::Holder, format!("none for {:.2} s from {at:.2}", gap.as_secs_f64()))
                }
                Expectation::Acked { within } => {
                    let slowest = self.slowest_ack();
                    if slowest <= secs(within) {
                        continue;
                    }
                    (Rule::Acked, format!("{:.2} s", slowest.as_secs_f64()))
                }
                Expectation::Recovered { within } => {
                    let from = self.checker.last_disturbance_end().unwrap_or(self.warm_up) + secs(within);
                    let share =
                        self.share(must_be_served, |client_request| client_request.sent >= from, false);
                    if share >= 0.95 || from >= end {
                        continue;
                    }
                    let at = self.checker.seconds(from);
                    (Rule::Recover, format!("{share:.4} served from {at:.2}"))
                }
                Expectation::Starts { most } if self.platform.starts > most => {
                    (Rule::Starts, format!("{} instead of {most}", self.platform.starts))
                }
                Expectation::Left { most } if self.platform.present() > most => (
                    Rule::Left,
                    format!("{} instances at the end instead of {most}", self.platform.present()),
                ),
                Expectation::Reused { least } if self.platform.reused < least => (
                    Rule::Scenario,
                    format!("only {} addresses went to another service", self.platform.reused),
                ),
                // These are checked for every scenario.
                _ => continue,
            };
            self.checker.report(rule, end, format!("line {line}: {what}"));
        }
        let (worst, at, service) = self.checker.worst_full_window(false);
        if worst > limit {
            self.checker.report(Rule::Limit, at, format!("{worst} turned away as full at {service} in 5 s"));
        }
    }
}

fn expect_kind(expectations: &[(usize, Expectation)], line: usize) -> Option<&Expectation> {
    expectations.iter().find(|(at, _)| *at == line).map(|(_, check_expectations)| check_expectations)
}
