//! What a run came to: the table, the rules, and what the scenario expects.

use super::{secs, World};
use crate::judge::{Asked, Rule};
use crate::report::{Class, Report};
use crate::scenario::Expect;
use std::time::Duration;

impl World {
    pub(super) fn report(mut self, seed: u64) -> Report {
        let owed: Vec<bool> = self.judge.asked.iter().map(|asked| self.judge.owed(asked)).collect();
        self.judge.close(&owed);
        self.fill(&owed);
        let all = |_: &Asked| true;
        let (served, aim) = (self.share(&owed, all, false), self.share(&owed, all, true));
        let limit = self.judge.worst_limit(false);
        let anywhere = self.judge.worst_limit(true);
        let (gap, gap_at) = self.judge.longest_gap(self.lead + self.length);
        let slowest = self.slowest_ack();
        self.weigh_loans(&owed);
        let classes = self.classes(&owed);
        self.judge.judge_recovery(self.lead + self.length, &owed);
        self.expect(&owed, (gap, gap_at));
        let mut findings = std::mem::take(&mut self.judge.findings);
        findings.sort_by(|a, b| a.at.total_cmp(&b.at).then(a.rule.cmp(&b.rule)));
        let second = (self.length.as_secs_f64() + 6.0) as i64;
        self.rows.retain(|row| row.second >= -2 && row.second <= second || !row.happened.is_empty());
        Report {
            title: self.scenario.title,
            seed,
            length: self.length.as_secs_f64(),
            rows: self.rows,
            spans: self.spans,
            duties: self.duties,
            classes,
            findings,
            served,
            aim,
            starts: self.platform.starts,
            held: self.platform.held(self.now),
            stops: self.platform.stops,
            moves: self.platform.moves,
            limit: (limit.0, anywhere.0),
            brushed: self.judge.brushed,
            reused: self.platform.reused,
            gap: gap.as_secs_f64(),
            slowest_ack: slowest.as_secs_f64(),
            last_while_draining: self.judge.last_while_draining.as_secs_f64(),
            events: self.events,
            loans: self.loans,
        }
    }

    fn weigh_loans(&mut self, owed: &[bool]) {
        let waits = &mut self.slot_waits;
        waits.sort_by(f64::total_cmp);
        let at = |share: f64| waits.get((waits.len() as f64 * share) as usize).copied().unwrap_or(0.0);
        self.loans.waits = (at(0.5), at(0.99));
        let urgent: Vec<&str> = self
            .scenario
            .routes
            .iter()
            .filter(|route| route.priority <= 1)
            .map(|route| route.name.as_str())
            .collect();
        let is_urgent = |asked: &Asked| urgent.contains(&asked.route.as_str());
        self.loans.urgent = self.share(owed, is_urgent, true);
        self.loans.others = self.share(owed, |asked| !is_urgent(asked), true);
        self.loans.refusals = self.judge.tries.iter().filter(|tried| tried.promised.is_some()).count();
        self.loans.full = self.judge.full.len();
        let mut runs = vec![0usize; self.judge.asked.len()];
        for tried in &self.judge.tries {
            runs[tried.request] += tried.runs;
        }
        let once = self.judge.asked.iter().zip(&runs).filter(|(asked, _)| asked.once);
        self.loans.doubled = once.map(|(_, runs)| runs.saturating_sub(1)).sum();
        let failed = self.judge.asked.iter().zip(owed);
        self.loans.requests = owed.iter().filter(|owed| **owed).count();
        self.loans.dropped = failed.filter(|(a, owed)| **owed && a.served.is_none() && !a.refused).count();
    }

    fn classes(&self, owed: &[bool]) -> Vec<Class> {
        let mut classes: Vec<(Class, Vec<f64>)> = Vec::new();
        for (asked, _) in self.judge.asked.iter().zip(owed).filter(|(_, owed)| **owed) {
            let at = classes.iter().position(|(class, _)| class.name == asked.route).unwrap_or_else(|| {
                classes.push((Class { name: asked.route.clone(), ..Class::default() }, Vec::new()));
                classes.len() - 1
            });
            let (class, took) = &mut classes[at];
            class.sent += 1;
            match asked.served {
                Some(at) => {
                    class.served += 1;
                    class.aim += usize::from(at <= asked.aim);
                    took.push((at - asked.sent).as_secs_f64() * 1e3);
                }
                None if asked.refused => class.refused += 1,
                None => class.failed += 1,
            }
        }
        let whole = |(mut class, mut took): (Class, Vec<f64>)| {
            took.sort_by(f64::total_cmp);
            let at = |share: f64| took.get((took.len() as f64 * share) as usize).copied().unwrap_or(0.0);
            class.took = (at(0.5), at(0.99));
            class
        };
        classes.into_iter().map(whole).collect()
    }

    fn fill(&mut self, owed: &[bool]) {
        for (n, _) in owed.iter().enumerate().filter(|(_, owed)| **owed) {
            let asked = &self.judge.asked[n];
            let (sent, served, refused) = (asked.sent, asked.served, asked.refused);
            let in_aim = served.is_some_and(|at| at <= asked.aim);
            let second = self.judge.at(sent).floor() as i64;
            let row = self.row(second);
            row.sent += 1;
            row.served += usize::from(served.is_some());
            row.aim += usize::from(in_aim);
            row.refused += usize::from(served.is_none() && refused);
            row.failed += usize::from(served.is_none() && !refused);
        }
    }

    fn share(&self, owed: &[bool], which: impl Fn(&Asked) -> bool, in_aim: bool) -> f64 {
        let (mut sent, mut good) = (0, 0);
        for (asked, owed) in self.judge.asked.iter().zip(owed) {
            if *owed && which(asked) {
                sent += 1;
                good += usize::from(asked.served.is_some_and(|at| !in_aim || at <= asked.aim));
            }
        }
        if sent == 0 {
            0.0
        } else {
            f64::from(good as u32) / f64::from(sent)
        }
    }

    /// An overtaken change need not be acknowledged itself.
    fn slowest_ack(&self) -> Duration {
        let mut worst = Duration::ZERO;
        for version in self.judge.versions.iter().filter(|version| version.valid) {
            let Some(sent) = version.sent.filter(|sent| *sent > self.lead) else { continue };
            let later = self.judge.versions.iter().filter(|other| other.revision >= version.revision);
            let acked = later.filter_map(|other| other.acked).min().unwrap_or(self.end);
            worst = worst.max(acked.saturating_sub(sent));
        }
        worst
    }

    fn expect(&mut self, owed: &[bool], (gap, gap_at): (Duration, Duration)) {
        let length = self.length;
        let end = self.lead + length;
        // Ten in five seconds are allowed, whether a scenario says so or not.
        let mut limit = 10;
        for (line, expect) in self.scenario.expects.clone() {
            let (rule, what) = match expect {
                Expect::Served { least, route, from, to } | Expect::Aim { least, route, from, to } => {
                    let in_aim =
                        matches!(expect_kind(&self.scenario.expects, line), Some(Expect::Aim { .. }));
                    let (from, to) = (self.lead + secs(from), self.lead + secs(to));
                    let which = |asked: &Asked| {
                        asked.sent >= from
                            && asked.sent < to
                            && route.as_ref().is_none_or(|route| *route == asked.route)
                    };
                    let share = self.share(owed, which, in_aim);
                    if share >= least {
                        continue;
                    }
                    let rule = if in_aim { Rule::Aim } else { Rule::Served };
                    (rule, format!("{share:.4} instead of {least}"))
                }
                Expect::Limit { most, anytime: false } => {
                    limit = most.min(limit);
                    continue;
                }
                Expect::Limit { most, anytime: true } => {
                    let (worst, at, service) = self.judge.worst_limit(true);
                    if worst <= most {
                        continue;
                    }
                    let at = self.judge.at(at);
                    (
                        Rule::Limit,
                        format!("{worst} turned away as full at {service} in 5 s to {at:.2}, anywhere"),
                    )
                }
                Expect::Holder { within } if gap > secs(within) => {
                    let at = self.judge.at(gap_at);
                    (Rule::Holder, format!("none for {:.2} s from {at:.2}", gap.as_secs_f64()))
                }
                Expect::Acked { within } => {
                    let slowest = self.slowest_ack();
                    if slowest <= secs(within) {
                        continue;
                    }
                    (Rule::Acked, format!("{:.2} s", slowest.as_secs_f64()))
                }
                Expect::Recovered { within } => {
                    let from = self.judge.last_trouble().unwrap_or(self.lead) + secs(within);
                    let share = self.share(owed, |asked| asked.sent >= from, false);
                    if share >= 0.95 || from >= end {
                        continue;
                    }
                    let at = self.judge.at(from);
                    (Rule::Recover, format!("{share:.4} served from {at:.2}"))
                }
                Expect::Starts { most } if self.platform.starts > most => {
                    (Rule::Starts, format!("{} instead of {most}", self.platform.starts))
                }
                Expect::Left { most } if self.platform.there() > most => {
                    (Rule::Left, format!("{} instances at the end instead of {most}", self.platform.there()))
                }
                Expect::Reused { least } if self.platform.reused < least => (
                    Rule::Scenario,
                    format!("only {} addresses went to another service", self.platform.reused),
                ),
                // Always judged.
                _ => continue,
            };
            self.judge.find(rule, end, format!("line {line}: {what}"));
        }
        let (worst, at, service) = self.judge.worst_limit(false);
        if worst > limit {
            self.judge.find(Rule::Limit, at, format!("{worst} turned away as full at {service} in 5 s"));
        }
    }
}

fn expect_kind(expects: &[(usize, Expect)], line: usize) -> Option<&Expect> {
    expects.iter().find(|(at, _)| *at == line).map(|(_, expect)| expect)
}
