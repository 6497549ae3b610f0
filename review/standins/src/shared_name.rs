//! An operator adds a function and a route for it. The proxies name functions among themselves by a 32-bit hash
//! of the name; the new name has the same hash as one in use.

use crate::bed::{function, route, Bed, Record, Sent, CONVERGENCE};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tindock_mock_services::ledger::Finding;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

const FIRST: &str = "fina57b";
/// The same 32-bit hash (FNV-1a) as `FIRST`.
const SECOND: &str = "goze97a";
/// Another hash: the name in the run without the disruption.
const SECOND_APART: &str = "goze98a";
const LOAD: Duration = Duration::from_secs(15);
/// One request on each of the two routes.
const INTERVAL: Duration = Duration::from_millis(50);

pub async fn run(program: PathBuf, record: Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let second = if trouble { SECOND } else { SECOND_APART };
    let functions = [function(FIRST, 512, 1400, 4, 120), function(second, 192, 900, 2, 80)];
    let routes = [
        route("r-book", "/gowu780/", "non_idempotent", FIRST, 600, 1),
        route("r-report", "/yeje571/", "non_idempotent", second, 1500, 1),
    ];
    let bed = Arc::new(Bed::open(program, functions.to_vec(), 1).await?);
    bed.configure(&record, 3, &routes[..1], &functions[..1]).await?;
    bed.wait_until_served(&record, &routes[0], 1).await?;
    // The disruption: the configuration changes.
    bed.configure(&record, 7, &routes, &functions).await?;
    sleep(CONVERGENCE + Duration::from_secs(1)).await;

    let proxies = bed.fleet.proxies();
    let (began, mut number, mut open) = (Instant::now(), 100_000u64, JoinSet::new());
    while began.elapsed() < LOAD {
        for route in &routes {
            number += 1;
            let sent = Sent { id: format!("try{number:013x}"), number, route: route.clone() };
            let proxy = proxies[number as usize / 2 % proxies.len()].clone();
            let (bed, record) = (bed.clone(), record.clone());
            open.spawn(async move {
                bed.send(&record, &proxy, &sent).await;
                sent
            });
        }
        sleep(INTERVAL).await;
    }
    let mut sent = Vec::new();
    while let Some(ended) = open.join_next().await {
        sent.extend(ended.ok());
    }
    sleep(Duration::from_millis(500)).await;

    let findings = bed.ledger.findings();
    for Sent { id, route, .. } in &sent {
        let elsewhere = findings.iter().find_map(|finding| match finding {
            Finding::Route(of, service) if of == id => Some(service.as_str()),
            _ => None,
        });
        let ran = bed.ledger.has_run(id).then(|| elsewhere.unwrap_or(&route.service));
        record.line(&format!("{id} for {}: run by {}", route.service, ran.unwrap_or("none")));
    }
    for finding in &findings {
        record.line(&finding.to_string());
    }
    let broken = findings.iter().filter(|finding| matches!(finding, Finding::Route(..)));
    Ok(broken.map(Finding::to_string).collect())
}
