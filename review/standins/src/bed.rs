//! A small deployment: the project's programs as processes, and the stand-ins around them.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Duration;
use tindock_mock_services::clients::ProxyAddress;
use tindock_mock_services::fleet::{Fleet, FleetConfig};
use tindock_mock_services::ledger::{Ledger, SentAttempt};
use tindock_mock_services::loopback::Net;
use tindock_mock_services::operator::{configuration, Operator, Route};
use tindock_mock_services::platform::{self, Function, Host, Platform};
use tindock_mock_services::wire;
use tindock_mock_services::workers::{request_digest, seal};
use tokio::time::{sleep, Instant};

/// The bounds of the small sites.
pub const DRAIN: Duration = Duration::from_millis(3000);
pub const GRACE: Duration = Duration::from_secs(6);
pub const CONVERGENCE: Duration = Duration::from_millis(3000);

/// What was sent, answered and run, with times from the start.
pub struct Record {
    start: Instant,
    file: Mutex<Option<File>>,
}

impl Record {
    pub fn new(path: PathBuf) -> Record {
        let start = Instant::from_std(std::time::Instant::now());
        Record { start, file: Mutex::new(File::create(path).ok()) }
    }

    pub fn line(&self, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            if let Some(file) = file.as_mut() {
                let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
            }
        }
    }
}

pub struct Bed {
    pub fleet: Fleet,
    pub ledger: Ledger,
    /// Runs until it is dropped.
    _platform: Platform,
}

impl Bed {
    /// Starts the stand-ins and the programs: three zones with a core machine, edge machines and worker
    /// machines each.
    pub async fn open(program: PathBuf, functions: Vec<Function>, edges: usize) -> Result<Bed, String> {
        let net = Net::free(std::process::id()).map_err(|why| why.to_string())?;
        let zones: Vec<String> =
            ["brest-a", "quimper-b", "lorient-c"].iter().map(|z| z.to_string()).collect();
        let ledger = Ledger::default();
        let host = |n: usize| Host {
            name: format!("w-{}", n + 1),
            zone: zones[n % zones.len()].clone(),
            ip: net.host(n),
            memory_mb: 8974,
        };
        let hosts = (0..12).map(host).collect();
        let mut options = platform::Options::new(net.provider(), functions, hosts);
        options.max_lag = Duration::from_millis(800);
        options.drain = DRAIN;
        let limits = options.clone();
        let platform = Platform::start(options, ledger.clone()).await.map_err(|why| why.to_string())?;
        let folder = tindock_mock_services::demo::folder_under(std::env::temp_dir())
            .map_err(|(path, why)| format!("{}: {why}", path.display()))?;
        let config = FleetConfig {
            program,
            folder,
            zones: zones.clone(),
            edges,
            cores: 3,
            grace: GRACE,
            drain: DRAIN,
            rate_per_s: limits.rate_per_s,
            duty_rate_s: limits.duty_rate_s,
            max_lag: limits.max_lag,
            restart_after: Some(Duration::from_millis(500)),
        };
        let fleet = Fleet::start(config, net, limits.address).map_err(|why| why.to_string())?;
        Ok(Bed { fleet, ledger, _platform: platform })
    }

    /// The operator sends a configuration until it is acknowledged.
    pub async fn configure(
        &self,
        record: &Record,
        revision: u64,
        routes: &[Route],
        functions: &[Function],
    ) -> Result<(), String> {
        let text = configuration(revision, routes, functions);
        record.line(&format!("operator sends revision {revision}: {text}"));
        let operator = Operator { controllers: self.fleet.controllers(), first: 0 };
        operator.replace(&text, Duration::from_secs(20)).await.map_err(|why| why.to_string())?;
        record.line(&format!("revision {revision} acknowledged"));
        Ok(())
    }

    /// Sends one request on a new connection; returns its status, if there is a whole answer.
    pub async fn send(&self, record: &Record, proxy: &ProxyAddress, sent: &Sent) -> Option<u16> {
        let target = format!("{}{}", sent.route.path_prefix, sent.id);
        let repeatable = sent.route.route_type == "idempotent";
        let method = if repeatable { "GET" } else { "POST" };
        let body: &[u8] = if repeatable { b"" } else { b"trailer=1077&door=4" };
        let attempt = SentAttempt {
            request: sent.number,
            repeatable,
            service: sent.route.service.clone(),
            digest: request_digest(method, &target, body),
        };
        self.ledger.record_sent(&sent.id, attempt);
        let deadline = format!("{}", sent.route.timeout_ms);
        let headers = [
            ("Host", sent.route.hostname.as_str()),
            ("Attempt-Id", sent.id.as_str()),
            ("Deadline-Ms", deadline.as_str()),
            ("Connection", "close"),
        ];
        let bytes = wire::request(method, &target, &headers, body);
        let within = Duration::from_millis(u64::from(sent.route.timeout_ms));
        let answer = wire::call(proxy.data_plane, within, &bytes, method).await;
        let status = answer.as_ref().map(|answer| answer.status);
        if let Some(answer) = &answer {
            self.ledger.record_status(&sent.id, answer.status);
            let whole = answer.headers.get("server-seal") == Some(seal(&sent.id, &answer.body).as_str());
            if (200..300).contains(&answer.status) && !whole {
                self.ledger.record_mixed(&sent.id);
            }
        }
        let status_text = status.map_or("no answer".to_string(), |status| status.to_string());
        record.line(&format!(
            "{} {method} {} for {} to {} {}: {status_text}",
            sent.id, sent.route.path_prefix, sent.route.service, proxy.zone, proxy.data_plane
        ));
        status
    }

    /// Sends requests on a route in each zone until one is served there.
    pub async fn wait_until_served(&self, record: &Record, route: &Route, first: u64) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(25);
        for (n, proxy) in self.fleet.proxies().iter().enumerate() {
            for attempt in 0u64.. {
                let number = first + 1000 * n as u64 + attempt;
                let sent = Sent { id: format!("start{number:011x}"), number, route: route.clone() };
                if self.send(record, proxy, &sent).await == Some(200) {
                    break;
                }
                if Instant::now() >= until {
                    return Err(format!("{} was not served at the start", route.path_prefix));
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }
}

/// A request to be sent.
pub struct Sent {
    pub id: String,
    pub number: u64,
    pub route: Route,
}

/// A function with the values of the small sites.
pub fn function(name: &str, memory_mb: u32, boot_ms: u64, max_inflight: usize, work_ms: u64) -> Function {
    Function {
        name: name.into(),
        memory_mb,
        boot: Duration::from_millis(boot_ms),
        max_inflight,
        max_concurrency: 137,
        work: Duration::from_millis(work_ms),
        cold: Duration::ZERO,
    }
}

pub fn route(name: &str, path: &str, kind: &str, service: &str, target_ms: u32, retries: u32) -> Route {
    Route {
        name: name.into(),
        hostname: "dese56.example".into(),
        path_prefix: path.into(),
        route_type: kind.into(),
        timeout_ms: 4000,
        target_latency_ms: target_ms,
        priority: 1,
        service: service.into(),
        max_retries: retries,
    }
}
