//! Plays a scenario on real processes, and records what is observed from outside.

use crate::load::{self, Load};
use crate::record::{Change, ExecutedAction, FullCount, ProcessExit, ProxyMachine, Record};
use crate::scenario::{Action, ActionKind, Scenario, Target, ZONES};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tindock_mock_services::clients::{Class, ProxySelector};
use tindock_mock_services::demo::{self, routes, Fault, Testbed, TestbedConfig};
use tindock_mock_services::fleet::Role;
use tindock_mock_services::operator::{configuration, Operator};
use tindock_mock_services::platform::{InjectedFault, Platform};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

const RESTART_DELAY: Duration = Duration::from_millis(300);
const HOST_MEMORY_MB: u32 = 8192;
/// The operator repeats a change until it is accepted, for at most this long.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// At the end, the operator tries for at most this long to read the newest configuration.
const SHOW_TIMEOUT: Duration = Duration::from_secs(20);
const FULL_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Wait after the load and the last grace period, so that all events are observed.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// The processes of a machine that an action affects.
const EDGE_ROLES: [Role; 2] = [Role::Proxy, Role::Agent];
const CORE_ROLES: [Role; 1] = [Role::Controller];
/// One in this many changes adds a route.
const EXTRA_ROUTE_EVERY: u64 = 3;

/// Executes the actions of a scenario.
struct Executor {
    testbed: Testbed,
    start: Instant,
    executed: Mutex<Vec<ExecutedAction>>,
    changes: Mutex<Vec<Change>>,
}

fn push<T>(list: &Mutex<Vec<T>>, value: T) {
    list.lock().unwrap_or_else(PoisonError::into_inner).push(value);
}

fn snapshot<T: Clone>(list: &Mutex<Vec<T>>) -> Vec<T> {
    list.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// The classes of requests: short and long ones, on functions with many slots and with one, repeatable and
/// not, and one with a short deadline.
pub fn classes() -> Vec<Class> {
    let demo = demo::classes();
    let of = |from: usize, name: &str, share, work, target_latency, deadline| Class {
        name: name.into(),
        path: format!("/soak/{name}/"),
        share,
        work: Duration::from_millis(work),
        target_latency: Duration::from_millis(target_latency),
        deadline: Duration::from_millis(deadline),
        ..demo[from].clone()
    };
    vec![
        of(0, "look-up", 0.45, 40, 300, 4_000),
        of(1, "book", 0.2, 90, 400, 4_000),
        of(0, "impatient", 0.1, 150, 300, 600),
        of(2, "report", 0.1, 300, 1_500, 4_000),
        of(3, "settle", 0.1, 1_500, 5_000, 8_000),
        of(1, "long", 0.05, 2_500, 5_000, 8_000),
    ]
}

/// Plays a scenario with this program. All processes that it starts have ended when it returns, and are ended
/// when the future is dropped.
pub async fn play(program: PathBuf, scenario: &Scenario) -> Result<Record, Fault> {
    let config = TestbedConfig {
        edges: scenario.proxies_per_zone(),
        cores: scenario.controllers,
        hosts: scenario.hosts,
        host_memory_mb: HOST_MEMORY_MB,
        grace: scenario.grace(),
        restart_after: Some(RESTART_DELAY),
        classes: classes(),
        ..TestbedConfig::demo(scenario.seed)
    };
    let testbed = Testbed::open_with(program, config).await?;
    let load = Arc::new(Load {
        selector: ProxySelector::new(testbed.fleet.proxies()),
        ledger: testbed.ledger.clone(),
        classes: classes(),
        zones: testbed.zones.clone(),
        start: Instant::now(),
    });
    let start = load.start;
    let executor = Executor { testbed, start, executed: Mutex::default(), changes: Mutex::default() };
    let executor = Arc::new(executor);
    let full_counts = Arc::new(Mutex::new(Vec::new()));
    let sampler = tokio::spawn(count_full(executor.clone(), full_counts.clone()));
    let (attempts, ()) = tokio::join!(load::play(load, scenario), execute_all(executor.clone(), scenario));
    sleep(scenario.grace() + SETTLE_TIME).await;
    sampler.abort();
    let _ = sampler.await;
    let mut record = Record { attempts, ..Record::default() };
    record.full = snapshot(&full_counts);
    record.executed = snapshot(&executor.executed);
    record.changes = snapshot(&executor.changes);
    finish(executor, record).await
}

async fn count_full(executor: Arc<Executor>, full_counts: Arc<Mutex<Vec<FullCount>>>) {
    loop {
        let refused = executor.testbed.platform.counts().full;
        push(&full_counts, FullCount { at: executor.start.elapsed(), refused });
        sleep(FULL_SAMPLE_INTERVAL).await;
    }
}

async fn execute_all(executor: Arc<Executor>, scenario: &Scenario) {
    let mut open = JoinSet::new();
    let mut revision = 1;
    for action in &scenario.actions {
        sleep_until(executor.start + action.at()).await;
        if action.kind == ActionKind::Change {
            revision += 1;
        }
        let (executor, action) = (executor.clone(), action.clone());
        open.spawn(async move { executor.execute(action, revision).await });
    }
    while open.join_next().await.is_some() {}
}

impl Executor {
    async fn execute(&self, action: Action, revision: u64) {
        let Some((target, number)) = action.target() else { return };
        match target {
            Target::Operator => self.change(revision).await,
            Target::Host => self.execute_on_host(action, number),
            Target::Proxy => self.execute_on_machine(action, number, Role::Proxy, &EDGE_ROLES).await,
            Target::Controller => {
                self.execute_on_machine(action, number, Role::Controller, &CORE_ROLES).await
            }
        }
    }

    fn execute_on_host(&self, action: Action, number: usize) {
        let host = format!("w-{}", number + 1);
        let fault = match action.kind {
            ActionKind::DrainHost => InjectedFault::DrainHost(host.clone(), action.duration()),
            _ => InjectedFault::CrashHost(host.clone(), action.duration()),
        };
        self.testbed.platform.inject(fault);
        push(&self.executed, ExecutedAction { at: self.start.elapsed(), action, machine: host });
    }

    async fn execute_on_machine(&self, action: Action, number: usize, named_by: Role, roles: &[Role]) {
        let Some(machine) = self.testbed.fleet.machines(named_by).get(number).cloned() else { return };
        let fleet = &self.testbed.fleet;
        let at = self.start.elapsed();
        let each = |execute: &dyn Fn(Role) -> bool| roles.iter().filter(|role| execute(**role)).count();
        let affected = match action.kind {
            ActionKind::Terminate => each(&|role| fleet.terminate(&machine, role)),
            ActionKind::Hangup => each(&|role| fleet.hang_up(&machine, role)),
            ActionKind::Kill => each(&|role| fleet.kill(&machine, role)),
            ActionKind::Freeze => each(&|role| fleet.freeze(&machine, role)),
            ActionKind::Change | ActionKind::DrainHost | ActionKind::CrashHost => 0,
        };
        if affected == 0 {
            return;
        }
        let (is_frozen, duration) = (action.kind == ActionKind::Freeze, action.duration());
        push(&self.executed, ExecutedAction { at, action, machine: machine.clone() });
        if is_frozen {
            sleep(duration).await;
            each(&|role| fleet.resume(&machine, role));
        }
    }

    /// Sends another configuration: other time-outs, and in some revisions one more route.
    async fn change(&self, revision: u64) {
        let mut routes = routes(&self.testbed.classes);
        for route in &mut routes {
            route.timeout_ms += (revision % 7) as u32;
        }
        if revision.is_multiple_of(EXTRA_ROUTE_EVERY) {
            let mut extra = routes[0].clone();
            extra.name = format!("r-{revision}");
            extra.path_prefix = format!("/soak-{revision}/");
            routes.push(extra);
        }
        let text = configuration(revision, &routes, &self.testbed.functions);
        let controllers = self.testbed.fleet.controllers();
        let first = revision as usize % controllers.len().max(1);
        let sent = self.start.elapsed();
        let accepted = Operator { controllers, first }.replace(&text, CHANGE_TIMEOUT).await.is_ok();
        let acknowledged = accepted.then(|| self.start.elapsed());
        push(&self.changes, Change { revision, sent, acknowledged });
    }
}

/// Reads the configuration back, collects the exits of processes, and ends everything that was started.
async fn finish(executor: Arc<Executor>, mut record: Record) -> Result<Record, Fault> {
    let Some(executor) = Arc::into_inner(executor) else {
        // Not reached: the tasks that shared the executor have ended.
        return Ok(record);
    };
    let (testbed, start) = (executor.testbed, executor.start);
    let operator = Operator { controllers: testbed.fleet.controllers(), first: 0 };
    record.shown = operator.show(SHOW_TIMEOUT).await.ok().and_then(|text| revision_of(&text));
    record.findings = testbed.ledger.findings();
    record.exits = exits(&testbed, start);
    record.proxies = proxies(&testbed);
    let Testbed { fleet, platform, .. } = testbed;
    record.killed_at_shutdown = fleet.shutdown().await;
    let _: Platform = platform;
    Ok(record)
}

fn exits(testbed: &Testbed, start: Instant) -> Vec<ProcessExit> {
    let of = |end: tindock_mock_services::fleet::ProcessExit| ProcessExit {
        machine: end.machine,
        role: end.role,
        at: end.at.saturating_duration_since(start),
        succeeded: end.status.success(),
        status: end.status.to_string(),
    };
    testbed.fleet.exits().into_iter().map(of).collect()
}

fn proxies(testbed: &Testbed) -> Vec<ProxyMachine> {
    let addresses = testbed.fleet.proxies();
    let names = testbed.fleet.machines(Role::Proxy);
    let machine = |(name, address): (String, _)| {
        let log = testbed.fleet.log(&name, Role::Proxy);
        ProxyMachine { name, address, log }
    };
    names.into_iter().zip(addresses.iter().map(|address| address.data_plane)).map(machine).collect()
}

/// The revision in a configuration's text.
fn revision_of(text: &str) -> Option<u64> {
    let rest = text.split_once("\"revision\":")?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

// The deployment has the zones of the demo, of which there are 3.
const _: () = assert!(ZONES == 3);
