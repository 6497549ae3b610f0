//! The processes of one scheduler in simulated time: snapshot traces, and seeded random runs.

use oorandom::Rand32;
use std::fmt::Write;
use std::time::Duration;
use tindock_rollout::supervisor::{Order, ProcessStatus, Program, State, Supervisor, Upgrade};

const TICK: Duration = Duration::from_millis(100);

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// What a program does, by its number.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Healthy,
    /// Exits before it serves, after this many seconds.
    ExitsBeforeReady(f64),
    NeverReady,
    /// Serves, and exits by itself this many seconds after its start.
    ExitsAfter(f64),
}

struct Host {
    programs: Vec<Behaviour>,
    /// By place: the program, its start time, and when it was told to stop.
    places: [Option<(Program, Duration, Option<Duration>)>; 2],
    now: Duration,
    trace: String,
}

impl Host {
    fn new(programs: &[Behaviour]) -> Self {
        let (programs, places) = (programs.to_vec(), [None, None]);
        Host { programs, places, now: Duration::ZERO, trace: String::new() }
    }

    fn log_line(&mut self, what: impl std::fmt::Debug) {
        writeln!(self.trace, "{:5.1} {what:?}", self.now.as_secs_f64()).expect("formatted");
    }

    fn status(&mut self, place: usize) -> ProcessStatus {
        let Some((program, began, stopping_since)) = self.places[place] else { return ProcessStatus::Gone };
        let age = (self.now - began).as_secs_f64();
        let ended = match self.programs[program] {
            Behaviour::ExitsBeforeReady(after) | Behaviour::ExitsAfter(after) => age >= after,
            Behaviour::Healthy | Behaviour::NeverReady => false,
        };
        if ended || stopping_since.is_some_and(|at| self.now >= at + seconds(0.7)) {
            self.places[place] = None;
            return ProcessStatus::Gone;
        }
        match self.programs[program] {
            Behaviour::Healthy | Behaviour::ExitsAfter(_) if age >= 0.3 && stopping_since.is_none() => {
                ProcessStatus::Ready
            }
            _ => ProcessStatus::Up,
        }
    }

    /// Runs for `long` seconds.
    fn run(&mut self, supervisor: &mut Supervisor, long: f64) {
        let until = self.now + seconds(long);
        while self.now < until {
            for place in 0..2 {
                let status = self.status(place);
                supervisor.observe(place, status, self.now);
            }
            let before = (supervisor.state(), supervisor.last_upgrade());
            while let Some(order) = supervisor.next_order(self.now) {
                self.log_line(order);
                match order {
                    Order::Start { program, place } => {
                        assert!(self.places[place].is_none(), "two processes in one place: {}", self.trace);
                        self.places[place] = Some((program, self.now, None));
                    }
                    Order::Stop { place } => {
                        if let Some((.., stopping_since)) = &mut self.places[place] {
                            stopping_since.get_or_insert(self.now);
                        }
                    }
                    Order::Kill { place } => self.places[place] = None,
                }
            }
            let after = (supervisor.state(), supervisor.last_upgrade());
            if after != before {
                self.log_line(after);
            }
            self.now += TICK;
        }
    }

    fn start_supervisor(&mut self) -> Supervisor {
        let mut supervisor = Supervisor::adopt(0, None, [ProcessStatus::Gone; 2], self.now);
        self.run(&mut supervisor, 2.0);
        supervisor
    }
}

#[test]
fn an_upgrade_starts_the_new_program_and_stops_the_old_one() {
    let mut host = Host::new(&[Behaviour::Healthy; 3]);
    let mut supervisor = host.start_supervisor();
    supervisor.upgrade(1, host.now).expect("started");
    // The same upgrade twice is one; another one is refused meanwhile.
    supervisor.upgrade(1, host.now).expect("same upgrade");
    assert!(supervisor.upgrade(2, host.now).is_err());
    host.run(&mut supervisor, 5.0);
    insta::assert_snapshot!(host.trace);
    assert_eq!(
        (supervisor.program(), supervisor.previous(), supervisor.last_upgrade()),
        (1, Some(0), Some(Upgrade::Done))
    );
}

/// Guards against a new program whose failure also ends the old one.
#[test]
fn a_program_that_never_serves_is_dropped_and_the_old_one_continues() {
    for (behaviour, last) in
        [(Behaviour::ExitsBeforeReady(0.2), Upgrade::ExitedEarly), (Behaviour::NeverReady, Upgrade::TimedOut)]
    {
        let mut host = Host::new(&[Behaviour::Healthy, behaviour]);
        let mut supervisor = host.start_supervisor();
        let first = host.places[supervisor.place()];
        supervisor.upgrade(1, host.now).expect("started");
        host.run(&mut supervisor, 15.0);
        assert_eq!(
            (supervisor.state(), supervisor.program(), supervisor.last_upgrade()),
            (State::Serving, 0, Some(last))
        );
        assert_eq!(host.places[supervisor.place()], first, "the same process: {}", host.trace);
        assert_eq!(host.places[1 - supervisor.place()], None, "{}", host.trace);
    }
}

/// Guards against a run that is undone while its new process starts: the old one would accept no clients
/// until then.
#[test]
fn an_upgrade_can_be_cancelled() {
    let mut host = Host::new(&[Behaviour::Healthy, Behaviour::NeverReady]);
    let mut supervisor = host.start_supervisor();
    supervisor.upgrade(1, host.now).expect("started");
    host.run(&mut supervisor, 1.0);
    supervisor.upgrade(0, host.now).expect("cancelled");
    host.run(&mut supervisor, 1.0);
    assert_eq!(
        (supervisor.state(), supervisor.program(), host.places[1]),
        (State::Serving, 0, None),
        "{}",
        host.trace
    );
}

/// Guards against a new program that serves, exits at its tenth task and is restarted for ever.
#[test]
fn a_program_that_exits_soon_after_it_served_is_rolled_back() {
    let mut host = Host::new(&[Behaviour::Healthy, Behaviour::ExitsAfter(4.0)]);
    let mut supervisor = host.start_supervisor();
    supervisor.upgrade(1, host.now).expect("started");
    host.run(&mut supervisor, 10.0);
    insta::assert_snapshot!(host.trace);
    assert_eq!((supervisor.program(), supervisor.last_upgrade()), (0, Some(Upgrade::RolledBack)));
}

/// Guards against endless restarts, and against a single crash in an hour counted as a loop.
#[test]
fn restarts_back_off_and_a_crash_loop_is_given_up() {
    let mut host = Host::new(&[Behaviour::ExitsAfter(0.5)]);
    let mut supervisor = host.start_supervisor();
    host.run(&mut supervisor, 60.0);
    insta::assert_snapshot!(host.trace);
    assert_eq!(supervisor.state(), State::GivenUp);
    host.programs[0] = Behaviour::ExitsAfter(1000.0);
    supervisor.restart(host.now);
    host.run(&mut supervisor, 10_000.0);
    assert_eq!(supervisor.state(), State::Serving, "one crash in a thousand seconds is no loop");
}

/// Guards against a restarted supervisor that disturbs running processes or starts a second one beside them.
#[test]
fn running_processes_are_adopted_undisturbed() {
    let mut host = Host::new(&[Behaviour::Healthy, Behaviour::NeverReady]);
    drop(host.start_supervisor());
    let there = host.places;
    host.trace.clear();
    let statuses = [host.status(0), host.status(1)];
    let mut supervisor = Supervisor::adopt(0, None, statuses, host.now);
    host.run(&mut supervisor, 10.0);
    assert_eq!((host.trace.as_str(), host.places), ("", there));
    // During an upgrade the process that accepts clients stays, the other one is stopped.
    host.places[1] = Some((1, host.now, None));
    let mut supervisor = Supervisor::adopt(0, None, [ProcessStatus::Ready, ProcessStatus::Up], host.now);
    host.run(&mut supervisor, 3.0);
    assert_eq!((supervisor.place(), host.places[1]), (0, None), "{}", host.trace);
    // The process becomes visible only after the first observation.
    let mut host = Host::new(&[Behaviour::Healthy]);
    let mut supervisor = Supervisor::adopt(0, None, [ProcessStatus::Gone; 2], host.now);
    host.places[0] = Some((0, host.now, None));
    host.run(&mut supervisor, 3.0);
    assert_eq!((supervisor.state(), host.trace.contains("Start")), (State::Serving, false), "{}", host.trace);
}

/// Guards against two processes in one place, more than two in total, and a healthy program that does not end
/// up serving alone.
#[test]
fn a_healthy_program_always_ends_up_serving_alone() {
    for seed in 0..3000 {
        let mut rng = Rand32::new(seed);
        let behaviours: Vec<Behaviour> = (0..5)
            .map(|_| match rng.rand_range(0..5) {
                0 => Behaviour::ExitsBeforeReady(f64::from(rng.rand_range(0..20)) / 10.0),
                1 => Behaviour::NeverReady,
                2 => Behaviour::ExitsAfter(f64::from(rng.rand_range(5..200)) / 10.0),
                _ => Behaviour::Healthy,
            })
            .chain([Behaviour::Healthy])
            .collect();
        let mut host = Host::new(&behaviours);
        let mut supervisor = host.start_supervisor();
        for _ in 0..6 {
            // The upgrade may be refused at this moment.
            let _ = supervisor.upgrade(rng.rand_range(0..5) as usize, host.now);
            host.run(&mut supervisor, f64::from(rng.rand_range(0..150)) / 10.0);
            if rng.rand_range(0..4) == 0 {
                let place = rng.rand_range(0..2) as usize;
                host.places[place] = None;
            }
        }
        let fine = behaviours.len() - 1;
        let began = host.now;
        while supervisor.upgrade(fine, host.now).is_err() {
            // A process that is up but never ready does not exit by itself.
            if host.places.iter().flatten().any(|(program, ..)| behaviours[*program] == Behaviour::NeverReady)
            {
                host.places = [None, None];
            }
            host.run(&mut supervisor, 1.0);
            assert!(host.now < began + seconds(100.0), "{seed}: {}", host.trace);
        }
        host.run(&mut supervisor, 30.0);
        let there: Vec<Program> = host.places.iter().flatten().map(|(program, ..)| *program).collect();
        assert_eq!((supervisor.state(), there), (State::Serving, vec![fine]), "{seed}: {}", host.trace);
    }
}
