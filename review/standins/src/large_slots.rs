//! The edge machines of one zone are restarted in turn, while a function whose instances hold more than 32
//! requests at once is busy. The machine that allots an instance's slots hands them over to another.

use crate::bed::{function, route, Record, Sent, CONVERGENCE, DRAIN, GRACE};
use crate::world::{host, Arrival, World};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tindock_mock_services::clients::ready;
use tindock_mock_services::fleet::{Fleet, FleetConfig, Role};
use tindock_mock_services::loopback::Net;
use tindock_mock_services::operator::{configuration, Operator};
use tindock_mock_services::wire;
use tokio::time::{sleep, Instant};

const SLOTS: usize = 128;
const WORK_MS: u64 = 500;
/// Requests a second; the one instance completes 256.
const RATE: u64 = 380;
const CONTACT: Duration = Duration::from_millis(4000);
const WINDOW: Duration = Duration::from_secs(5);
const SHED_ALLOWANCE: usize = 10;
const LOAD: Duration = Duration::from_secs(46);
const ZONES: [&str; 3] = ["brest-a", "quimper-b", "lorient-c"];

pub async fn run(program: PathBuf, record: Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let net = Net::free(std::process::id()).map_err(|why| why.to_string())?;
    let provider = net.provider();
    let mut functions = vec![function("huvo11a", 1024, 1400, SLOTS, WORK_MS)];
    functions[0].max_concurrency = 4 * SLOTS;
    // Room for one instance.
    let hosts = vec![host("w-1", ZONES[0], net.host(0), 1500)];
    let world = World::start(provider, functions.clone(), hosts, record.clone()).await?;
    let folder = tindock_mock_services::demo::folder_under(std::env::temp_dir())
        .map_err(|(path, why)| format!("{}: {why}", path.display()))?;
    let config = FleetConfig {
        program,
        folder,
        zones: ZONES.iter().map(|zone| zone.to_string()).collect(),
        edges: 3,
        cores: 3,
        grace: GRACE,
        drain: DRAIN,
        rate_per_s: 27.0,
        duty_rate_s: 150.0,
        max_lag: Duration::from_millis(800),
        restart_after: Some(Duration::from_millis(500)),
    };
    let fleet = Arc::new(Fleet::start(config, net, provider).map_err(|why| why.to_string())?);
    let offer = route("r-offer", "/gowu780/", "idempotent", "huvo11a", 1500, 2);
    let text = configuration(7, std::slice::from_ref(&offer), &functions);
    let operator = Operator { controllers: fleet.controllers(), first: 0 };
    record.line(&format!("operator sends {text}"));
    operator.replace(&text, Duration::from_secs(20)).await.map_err(|why| why.to_string())?;
    record.line("acknowledged");
    sleep(CONVERGENCE).await;

    // The load, on all proxies in turn; the id of a request names its proxy.
    let proxies = fleet.proxies();
    let (began, mut terms) = (Instant::now(), Vec::new());
    let load = {
        let (proxies, record, offer) = (proxies.clone(), record.clone(), offer.clone());
        tokio::spawn(async move {
            for number in 0.. {
                let at = began + Duration::from_micros(1_000_000 * number / RATE);
                if at >= began + LOAD {
                    return;
                }
                tokio::time::sleep_until(at).await;
                let index = number as usize % proxies.len();
                let sent = Sent { id: format!("{index}x{number:014x}"), number, route: offer.clone() };
                let (at, record) = (proxies[index].data_plane, record.clone());
                tokio::spawn(async move {
                    let target = format!("{}{:x}", sent.route.path_prefix, sent.number);
                    let head = [
                        ("Host", sent.route.hostname.as_str()),
                        ("Attempt-Id", sent.id.as_str()),
                        ("Deadline-Ms", "4000"),
                        ("Connection", "close"),
                    ];
                    let bytes = wire::request("GET", &target, &head, b"");
                    let answer = wire::call(at, Duration::from_secs(4), &bytes, "GET").await;
                    let status = answer.map_or("no answer".to_string(), |answer| answer.status.to_string());
                    record.line(&format!("{} to {at}: {status}", sent.id));
                });
            }
        })
    };
    // The disruption: the edge machines of the zone get SIGTERM, one after the other.
    sleep(Duration::from_secs(10)).await;
    if trouble {
        let first = format!("edge-{}", ZONES[0]);
        let all = fleet.machines(Role::Proxy);
        for (index, name) in all.iter().enumerate().filter(|(_, name)| name.starts_with(&first)) {
            record.line(&format!("SIGTERM to {name}, proxy {index}"));
            fleet.terminate(name, Role::Proxy);
            fleet.terminate(name, Role::Agent);
            let terminated = Instant::now();
            sleep(GRACE).await;
            while !ready(proxies[index].readiness).await && terminated.elapsed() < Duration::from_secs(12) {
                sleep(Duration::from_millis(100)).await;
            }
            record.line(&format!("{name} is ready again"));
            terms.push((index, terminated, Instant::now()));
            // The next one follows when all machines are in touch.
            sleep(CONTACT + Duration::from_secs(1)).await;
        }
    }
    let _ = load.await;
    sleep(Duration::from_secs(1)).await;
    Ok(judge(&world.arrivals(), &terms, began, &record))
}

/// The proxy that took a request.
fn taken_by(arrival: &Arrival) -> usize {
    arrival.id.split('x').next().and_then(|index| index.parse().ok()).unwrap_or(usize::MAX)
}

/// The windows in which the rule is broken. Requests of a machine that was stopped or started less than
/// `contact_ms` ago are not summed.
fn judge(
    arrivals: &[Arrival],
    terms: &[(usize, Instant, Instant)],
    began: Instant,
    record: &Record,
) -> Vec<String> {
    let in_touch = |proxy: usize, at: Instant| {
        let outside = |from: Instant, ready: Instant| at < from || at >= ready + CONTACT;
        terms.iter().all(|(index, from, ready)| *index != proxy || outside(*from, *ready))
    };
    let counted: Vec<&Arrival> = arrivals.iter().filter(|a| in_touch(taken_by(a), a.at)).collect();
    let mut turned_away = Vec::new();
    for full in counted.iter().filter(|a| a.full) {
        let at_once = counted.iter().filter(|a| {
            a.instance == full.instance
                && a.at <= full.at
                && !a.full
                && a.left.is_none_or(|left| left > full.at)
        });
        let at_once = at_once.count() + 1;
        let seconds = (full.at - began).as_secs_f64();
        record.line(&format!("{} turned away at {seconds:.3} s: {at_once} of machines in touch", full.id));
        if at_once > SLOTS {
            turned_away.push(full.at);
        }
    }
    let all = arrivals.iter().filter(|a| a.full).count();
    record.line(&format!("turned away: {all}, of these by machines in touch: {}", turned_away.len()));
    let mut broken = Vec::new();
    for (n, from) in turned_away.iter().enumerate() {
        let within = turned_away[n..].iter().take_while(|at| **at < *from + WINDOW).count();
        if within > SHED_ALLOWANCE {
            let seconds = (*from - began).as_secs_f64();
            broken.push(format!("LIMIT: {within} turned away in 5 s from {seconds:.2} s of the load"));
            break;
        }
    }
    broken
}
