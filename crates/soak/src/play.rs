//! Plays a scenario on real processes, and records what is seen from outside.

use crate::load::{self, Load};
use crate::record::{Change, ExecutedAction, FullCount, ProcessExit, ProxyMachine, Record};
use crate::scenario::{Action, ActionKind, Scenario, Target, ZONES};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tindock_standins::clients::{Class, ProxySelector};
use tindock_standins::demo::{self, routes, Fault, Testbed, TestbedConfig};
use tindock_standins::fleet::Role;
use tindock_standins::operator::{configuration, Operator};
use tindock_standins::platform::{InjectedFault, Platform};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// A process that has ended is started again after so long.
const AGAIN: Duration = Duration::from_millis(300);
const HOST_MEMORY_MB: u32 = 8192;
/// The operator sends a change until it is taken, for so long.
const CHANGE_WITHIN: Duration = Duration::from_secs(6);
/// It reads the newest configuration back at the end, for so long.
const SHOW_WITHIN: Duration = Duration::from_secs(20);
const FULL_LOOK: Duration = Duration::from_millis(250);
/// After the load, and the last grace period, what happened is seen within this.
const LAST_LOOK: Duration = Duration::from_millis(500);
/// The processes of a machine that an action strikes.
const EDGE_ROLES: [Role; 2] = [Role::Proxy, Role::Agent];
const CORE_ROLES: [Role; 1] = [Role::Controller];
/// Every so many changes have a route more.
const ROUTE_EACH: u64 = 3;

/// What carries out actions.
struct Hands {
    testbed: Testbed,
    start: Instant,
    done: Mutex<Vec<ExecutedAction>>,
    changes: Mutex<Vec<Change>>,
}

fn push<T>(list: &Mutex<Vec<T>>, value: T) {
    list.lock().unwrap_or_else(PoisonError::into_inner).push(value);
}

fn taken<T: Clone>(list: &Mutex<Vec<T>>) -> Vec<T> {
    list.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Short and long work, on functions with many slots and with one, repeatable and not, with short deadlines.
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

/// Plays a scenario with this program. All that it starts has ended when it returns, also where the caller drops it.
pub async fn play(program: PathBuf, scenario: &Scenario) -> Result<Record, Fault> {
    let config = TestbedConfig {
        edges: scenario.proxies_per_zone(),
        cores: scenario.controllers,
        hosts: scenario.hosts,
        host_memory_mb: HOST_MEMORY_MB,
        grace: scenario.grace(),
        restart_after: Some(AGAIN),
        classes: classes(),
        ..TestbedConfig::demo(scenario.seed)
    };
    let testbed = Testbed::open_with(program, config).await?;
    let load = Arc::new(Load {
        entry: ProxySelector::new(testbed.fleet.proxies()),
        ledger: testbed.ledger.clone(),
        classes: classes(),
        zones: testbed.zones.clone(),
        start: Instant::now(),
    });
    let start = load.start;
    let hands = Hands { testbed, start, done: Mutex::default(), changes: Mutex::default() };
    let hands = Arc::new(hands);
    let counted = Arc::new(Mutex::new(Vec::new()));
    let looking = tokio::spawn(count_full(hands.clone(), counted.clone()));
    let (attempts, ()) = tokio::join!(load::play(load, scenario), strike_all(hands.clone(), scenario));
    sleep(scenario.grace() + LAST_LOOK).await;
    looking.abort();
    let _ = looking.await;
    let mut record = Record { attempts, ..Record::default() };
    record.full = taken(&counted);
    record.executed = taken(&hands.done);
    record.changes = taken(&hands.changes);
    finish(hands, record).await
}

async fn count_full(hands: Arc<Hands>, counted: Arc<Mutex<Vec<FullCount>>>) {
    loop {
        let turned_away = hands.testbed.platform.counts().full;
        push(&counted, FullCount { at: hands.start.elapsed(), turned_away });
        sleep(FULL_LOOK).await;
    }
}

async fn strike_all(hands: Arc<Hands>, scenario: &Scenario) {
    let mut open = JoinSet::new();
    let mut revision = 1;
    for action in &scenario.actions {
        sleep_until(hands.start + action.at()).await;
        if action.kind == ActionKind::Change {
            revision += 1;
        }
        let (hands, action) = (hands.clone(), action.clone());
        open.spawn(async move { hands.strike(action, revision).await });
    }
    while open.join_next().await.is_some() {}
}

impl Hands {
    async fn strike(&self, action: Action, revision: u64) {
        let Some((target, number)) = action.target() else { return };
        match target {
            Target::Operator => self.change(revision).await,
            Target::Host => self.strike_host(action, number),
            Target::Proxy => self.strike_machine(action, number, Role::Proxy, &EDGE_ROLES).await,
            Target::Controller => self.strike_machine(action, number, Role::Controller, &CORE_ROLES).await,
        }
    }

    fn strike_host(&self, action: Action, number: usize) {
        let host = format!("w-{}", number + 1);
        let trouble = match action.kind {
            ActionKind::DrainHost => InjectedFault::DrainHost(host.clone(), action.lasts()),
            _ => InjectedFault::CrashHost(host.clone(), action.lasts()),
        };
        self.testbed.platform.inject(trouble);
        push(&self.done, ExecutedAction { at: self.start.elapsed(), action, machine: host });
    }

    async fn strike_machine(&self, action: Action, number: usize, named_by: Role, roles: &[Role]) {
        let Some(machine) = self.testbed.fleet.machines(named_by).get(number).cloned() else { return };
        let fleet = &self.testbed.fleet;
        let at = self.start.elapsed();
        let each = |strike: &dyn Fn(Role) -> bool| roles.iter().filter(|role| strike(**role)).count();
        let struck = match action.kind {
            ActionKind::Terminate => each(&|role| fleet.terminate(&machine, role)),
            ActionKind::Hangup => each(&|role| fleet.hang_up(&machine, role)),
            ActionKind::Kill => each(&|role| fleet.kill(&machine, role)),
            ActionKind::Freeze => each(&|role| fleet.freeze(&machine, role)),
            ActionKind::Change | ActionKind::DrainHost | ActionKind::CrashHost => 0,
        };
        if struck == 0 {
            return;
        }
        let (is_frozen, lasts) = (action.kind == ActionKind::Freeze, action.lasts());
        push(&self.done, ExecutedAction { at, action, machine: machine.clone() });
        if is_frozen {
            sleep(lasts).await;
            each(&|role| fleet.resume(&machine, role));
        }
    }

    /// Another configuration: other time-outs, and at times a route more.
    async fn change(&self, revision: u64) {
        let mut routes = routes(&self.testbed.classes);
        for route in &mut routes {
            route.timeout_ms += (revision % 7) as u32;
        }
        if revision.is_multiple_of(ROUTE_EACH) {
            let mut more = routes[0].clone();
            more.name = format!("r-{revision}");
            more.path_prefix = format!("/soak-{revision}/");
            routes.push(more);
        }
        let text = configuration(revision, &routes, &self.testbed.functions);
        let controllers = self.testbed.fleet.controllers();
        let first = revision as usize % controllers.len().max(1);
        let sent = self.start.elapsed();
        let taken = Operator { controllers, first }.replace(&text, CHANGE_WITHIN).await.is_ok();
        let acknowledged = taken.then(|| self.start.elapsed());
        push(&self.changes, Change { revision, sent, acknowledged });
    }
}

/// Reads the configuration back, takes in how processes ended, and ends all that was started.
async fn finish(hands: Arc<Hands>, mut record: Record) -> Result<Record, Fault> {
    let Some(hands) = Arc::into_inner(hands) else {
        // Tasks that were waited for hold none any more.
        return Ok(record);
    };
    let (testbed, start) = (hands.testbed, hands.start);
    let operator = Operator { controllers: testbed.fleet.controllers(), first: 0 };
    record.shown = operator.show(SHOW_WITHIN).await.ok().and_then(|text| revision_of(&text));
    record.findings = testbed.ledger.findings();
    record.exits = ends(&testbed, start);
    record.proxies = proxies(&testbed);
    let Testbed { fleet, platform, .. } = testbed;
    record.outlived = fleet.shutdown().await;
    let _: Platform = platform;
    Ok(record)
}

fn ends(testbed: &Testbed, start: Instant) -> Vec<ProcessExit> {
    let of = |end: tindock_standins::fleet::ProcessExit| ProcessExit {
        machine: end.machine,
        role: end.role,
        at: end.at.saturating_duration_since(start),
        succeeded: end.status.success(),
        status: end.status.to_string(),
    };
    testbed.fleet.exits().into_iter().map(of).collect()
}

fn proxies(testbed: &Testbed) -> Vec<ProxyMachine> {
    let doors = testbed.fleet.proxies();
    let names = testbed.fleet.machines(Role::Proxy);
    let machine = |(name, address): (String, _)| {
        let log = testbed.fleet.log(&name, Role::Proxy);
        ProxyMachine { name, address, log }
    };
    names.into_iter().zip(doors.iter().map(|door| door.data_plane)).map(machine).collect()
}

/// The revision in a configuration's text.
fn revision_of(text: &str) -> Option<u64> {
    let rest = text.split_once("\"revision\":")?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

// A deployment has as many zones as the demo.
const _: () = assert!(ZONES == 3);
