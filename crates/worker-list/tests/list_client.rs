//! The list client against scripted agents in simulated time: how long the list lags behind, and snapshot
//! traces.

use insta::assert_snapshot;
use std::collections::BTreeMap;
use std::time::Duration;
use tindock_worker_list::list_client::{ListClient, Service, Step, Verdict, LONG_WAIT, SHORT_WAIT};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How an agent misbehaves during a period.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Accepts connections and calls but never answers them.
    DropsCalls,
    /// Suspended: answers after it resumes.
    Paused,
    /// Refuses connections and closes open ones.
    Down,
    /// Aborts every answer midway.
    CutsResponses,
    /// Delays answers by this many milliseconds.
    Slow(u64),
}

/// An agent that works except during some periods; its list changes at some times.
struct Agent {
    faults: Vec<(u64, u64, Fault)>,
    /// When the list changes; its version is one plus the number of changes so far.
    changes: Vec<u64>,
}

impl Agent {
    fn fault(&self, at: u64) -> Option<(u64, Fault)> {
        let fault = self.faults.iter().find(|&&(from, to, _)| (from..to).contains(&at));
        fault.map(|&(_, to, fault)| (to, fault))
    }

    fn index(&self, at: u64) -> u64 {
        1 + self.changes.iter().filter(|&&change| change <= at).count() as u64
    }

    /// When a call made at `at` is answered (Ok) or fails (Err); none if it never is.
    fn outcome(&self, at: u64, after: Option<u64>, wait: u64) -> Option<Result<u64, u64>> {
        let answers = match after {
            Some(after) if self.index(at) <= after => {
                let change = self.changes.iter().copied().find(|&change| change > at);
                change.unwrap_or(u64::MAX).min(at + wait)
            }
            _ => at,
        };
        // A call is lost if the agent becomes faulty while it is in progress.
        let bad = self.faults.iter().filter(|&&(from, to, _)| from <= answers && to > at).min_by_key(|m| m.0);
        match bad {
            None => Some(Ok(answers)),
            Some(&(_, _, Fault::DropsCalls)) => None,
            Some(&(_, to, Fault::Paused)) => Some(Ok(answers.max(to))),
            Some(&(from, _, Fault::Down)) => Some(Err(from.max(at))),
            Some(&(from, _, Fault::CutsResponses)) => Some(Err(answers.max(from))),
            Some(&(_, _, Fault::Slow(by))) => Some(Ok(answers + by)),
        }
    }
}

/// Runs a client against an agent in steps of one millisecond.
struct Run {
    client: ListClient,
    agent: Agent,
    /// What will happen on each connection, and when.
    pending: BTreeMap<u64, (u64, Result<(), ()>)>,
    /// When each version was first held.
    held: Vec<(u64, u64)>,
    calls: usize,
    open: usize,
    max_open: usize,
    trace: String,
}

impl Run {
    fn new(max_wait: Duration, agent: Agent) -> Self {
        let client = ListClient::new(Service::Agent { max_wait }, None, 7);
        let (pending, held, trace) = (BTreeMap::new(), Vec::new(), String::new());
        Run { client, agent, pending, held, calls: 0, open: 0, max_open: 0, trace }
    }

    fn run_until(mut self, end: u64) -> Self {
        for at in 0..end {
            let due: Vec<u64> = self.pending.iter().filter(|c| c.1 .0 <= at).map(|c| *c.0).collect();
            for connection in due {
                match self.pending.remove(&connection).expect("due").1 {
                    Ok(()) => {
                        let index = self.agent.index(at);
                        let verdict =
                            self.client.on_response(ms(at), connection, index, self.held.is_empty());
                        assert_eq!(verdict, Verdict::Accept);
                        if self.held.last().is_none_or(|h| h.1 < index) {
                            self.held.push((at, index));
                            self.log_line(at, format!("connection {connection}: version {index}"));
                        }
                    }
                    Err(()) => {
                        self.log_line(at, format!("connection {connection} failed"));
                        self.open -= 1;
                        self.client.on_failure(ms(at), connection);
                    }
                }
            }
            while let Some(step) = self.client.next_step(ms(at)) {
                self.execute(at, step);
            }
            assert!(self.client.next_due() > ms(at), "next_due has already passed");
        }
        self
    }

    fn execute(&mut self, at: u64, step: Step) {
        match step {
            Step::Connect { connection } => {
                self.log_line(at, format!("dial connection {connection}"));
                self.open += 1;
                self.max_open = self.max_open.max(self.open);
                match self.agent.fault(at) {
                    Some((_, Fault::Down)) => drop(self.pending.insert(connection, (at, Err(())))),
                    _ => self.client.connected(connection),
                }
            }
            Step::Query { connection, after, wait } => {
                self.calls += 1;
                let outcome = self.agent.outcome(at, after, wait.as_millis() as u64);
                let outcome = outcome.map(|o| o.map_or_else(|at| (at, Err(())), |at| (at, Ok(()))));
                if let Some((when, what)) = outcome {
                    self.pending.insert(connection, (when.max(at + 1), what));
                }
            }
            Step::Close { connection } => {
                self.log_line(at, format!("close connection {connection}"));
                self.open -= 1;
                self.pending.remove(&connection);
            }
        }
    }

    fn log_line(&mut self, at: u64, what: String) {
        self.trace += &format!("{at:6} {what}\n");
    }

    /// How long after `at` this version was held.
    fn lag_of(&self, index: u64, at: u64) -> u64 {
        let held = self.held.iter().find(|h| h.1 >= index);
        held.unwrap_or_else(|| panic!("version {index} was never held:\n{}", self.trace)).0.saturating_sub(at)
    }
}

/// The list changes in the middle of a fault that ends at `recovered`; returns how long after that it is
/// held.
fn lag(max_wait: Duration, start: u64, recovered: u64, fault: Fault) -> u64 {
    let agent = Agent { faults: vec![(start, recovered, fault)], changes: vec![(start + recovered) / 2] };
    let run = Run::new(max_wait, agent).run_until(recovered + 3000);
    assert!(run.max_open <= 4, "{} connections", run.max_open);
    run.lag_of(2, recovered)
}

/// Guards against gaps: at whatever point of a long poll an agent fails, for however long, and whatever
/// becomes of its calls, its list must be held within 0.3 s of recovery.
#[test]
fn the_list_of_a_recovered_nearby_agent_is_held_within_300_ms() {
    for fault in [Fault::DropsCalls, Fault::Paused, Fault::Down, Fault::CutsResponses] {
        let mut worst = (0, 0, 0);
        for start in (1000..1300).step_by(17) {
            for length in [100, 200, 350, 500, 700, 1000, 1900, 3000, 5000, 10_000] {
                worst = worst.max((lag(SHORT_WAIT, start, start + length, fault), start, length));
            }
        }
        assert!(worst.0 <= 300, "{} ms, from {} for {}", worst.0, worst.1, worst.2);
    }
}

/// Guards against a dropped long poll that is noticed later than at the end of its wait.
#[test]
fn a_dropped_long_poll_is_noticed_at_the_end_of_its_wait() {
    let long = LONG_WAIT.as_millis() as u64;
    let mut worst = 0;
    for start in (2000..3300).step_by(43) {
        for length in [100, 500, 1000, 3000, 10_000] {
            worst = worst.max(lag(LONG_WAIT, start, start + length, Fault::DropsCalls));
        }
    }
    assert!(worst <= long + 100, "{worst} ms");
}

/// Guards against a back-off at a local agent that grows with every refusal.
#[test]
fn after_repeated_refusals_a_local_agent_is_retried_soon() {
    for refusals in 1..=10 {
        let run =
            Run::new(SHORT_WAIT, Agent { faults: vec![(500, 60_000, Fault::Down)], changes: vec![600] });
        let trace = run.run_until(20_000).trace;
        let dials = trace.lines().filter(|line| line.contains("dial")).map(|line| line[..6].trim());
        // The first is at the start. The agent recovers just after this refusal, so the next attempt
        // succeeds.
        let times: Vec<u64> = dials.map(|at| at.parse().expect("a time")).collect();
        let recovered = times[refusals] + 1;
        assert!(lag(SHORT_WAIT, 500, recovered.max(503), Fault::Down) <= 250, "{refusals} refusals");
    }
}

/// Guards against unbounded calls to an unavailable agent.
#[test]
fn an_unavailable_agent_is_not_flooded() {
    for fault in [Fault::Down, Fault::DropsCalls, Fault::CutsResponses] {
        let run = Run::new(SHORT_WAIT, Agent { faults: vec![(0, 60_000, fault)], changes: vec![] })
            .run_until(20_000);
        let dials = run.trace.lines().filter(|line| line.contains("dial")).count();
        assert!((20 * 3..20 * 8).contains(&dials), "{dials} connections in 20 s");
    }
}

/// Guards against discarding an answer that takes 0.28 s, as the first one on a connection may.
#[test]
fn a_slow_answer_is_not_discarded() {
    let agent = Agent { faults: vec![(0, 60_000, Fault::Slow(280))], changes: vec![2000] };
    let run = Run::new(LONG_WAIT, agent).run_until(6000);
    assert_eq!(run.lag_of(1, 0), 280);
    assert!(run.lag_of(2, 2000) <= 280 + 290, "{}", run.trace);
}

/// The steps while an agent drops calls for a second.
#[test]
fn calls_to_an_unresponsive_agent_are_repeated_on_new_connections() {
    let agent = Agent { faults: vec![(1000, 2000, Fault::DropsCalls)], changes: vec![1500] };
    assert_snapshot!(Run::new(SHORT_WAIT, agent).run_until(2600).trace);
}

fn respond(client: &mut ListClient, at: u64, index: u64, full: bool) -> (Verdict, Option<u64>) {
    while let Some(step) = client.next_step(ms(at)) {
        match step {
            Step::Connect { connection } => client.connected(connection),
            Step::Query { connection, after, .. } => {
                return (client.on_response(ms(at), connection, index, full), after)
            }
            Step::Close { .. } => {}
        }
    }
    panic!("no call at {at}");
}

/// Guards against a draining worker taken for ready again because of an agent that restarted and is not up to
/// date, and against waiting for ever for one whose version counter was reset.
#[test]
fn an_older_list_is_accepted_only_if_it_persists() {
    let mut client = ListClient::new(Service::Agent { max_wait: SHORT_WAIT }, Some(41), 7);
    assert_eq!(respond(&mut client, 0, 43, false), (Verdict::Accept, Some(41)));
    assert_eq!(respond(&mut client, 1, 7, false), (Verdict::Stale, Some(43)), "changes to something else");
    assert_eq!(respond(&mut client, 2, 7, true), (Verdict::Stale, None), "the full list, but an older one");
    assert!(client.next_step(ms(50)).is_none(), "queried without a back-off");
    assert_eq!(respond(&mut client, 200, 44, true), (Verdict::Accept, None), "up to date again");
    assert_eq!(respond(&mut client, 300, 2, true), (Verdict::Stale, Some(44)));
    for at in (500..2300).step_by(200) {
        assert_eq!(respond(&mut client, at, 3, true), (Verdict::Stale, None));
    }
    assert_eq!(respond(&mut client, 2300, 3, true), (Verdict::Accept, None), "the version counter was reset");
    assert_eq!(respond(&mut client, 2301, 4, false), (Verdict::Accept, Some(3)));
}

/// Guards against applying versions of the old address to a new one, and against waiting for calls in
/// progress there.
#[test]
fn a_new_address_is_queried_for_its_full_list_at_once() {
    let mut client = ListClient::new(Service::Agent { max_wait: SHORT_WAIT }, Some(41), 7);
    respond(&mut client, 0, 41, false);
    let Some(Step::Query { connection, .. }) = client.next_step(ms(1)) else { panic!("a long poll") };
    (2..5).for_each(|at| client.on_failure(ms(at), connection));
    client.relocated();
    let mut steps = Vec::new();
    while let Some(step) = client.next_step(ms(5)) {
        if let Step::Connect { connection } = step {
            client.connected(connection);
        }
        steps.push(step);
    }
    assert!(matches!(steps.last(), Some(Step::Query { after: None, .. })), "{steps:?}");
}

/// Guards against needless calls to a paid shared service: one call subscribes, and failures back off.
#[test]
fn a_shared_service_is_queried_rarely() {
    let mut client = ListClient::new(Service::Shared { max_staleness: ms(10_000) }, Some(0), 7);
    let (mut calls, mut connection, mut trace) = (0, 0, String::new());
    for at in 0..60_000 {
        while let Some(step) = client.next_step(ms(at)) {
            match step {
                Step::Connect { connection: connected } => {
                    connection = connected;
                    client.connected(connection);
                }
                Step::Query { .. } => {
                    calls += 1;
                    trace += &format!("{at:6} call {calls}\n");
                    // Six fail at once, then one succeeds, and that subscription breaks after 10 s.
                    if calls % 7 != 0 {
                        client.on_failure(ms(at), connection);
                    } else {
                        client.on_response(ms(at), connection, 5, false);
                    }
                }
                Step::Close { .. } => {}
            }
        }
        if at == 40_000 {
            client.on_failure(ms(at), connection);
        }
    }
    assert_snapshot!(trace);
}
