//! What a large inventory costs the serving thread: `cargo bench -p tindock-scheduler --bench applying`. A ticker runs
//! beside the applying and notes how late it is: that is how long a task would have waited.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tindock::policy::Policy;
use tindock::types::{Effect, PolicySettings, Workload};
use tindock_inventory::{read, Columns, Entry, Host, InputFormat};
use tindock_scheduler::clock::Clock;
use tindock_scheduler::exchange::Exchange;
use tindock_scheduler::list::inventory_watch::{FileEntry, InventoryEvent};
use tindock_scheduler::list::worker_list::WorkerList;
use tindock_scheduler::workload_table::WorkloadTable;
use tindock_scheduler_config::Names;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

fn file_entries(workers: impl Iterator<Item = usize>, slots: usize) -> Vec<FileEntry> {
    let row = |n: usize| {
        format!("yard-{n},10.{}.{}.{}:5000,zone-{},std,{slots}\n", n >> 16, (n >> 8) & 255, n & 255, n % 5)
    };
    let text = format!("name,address,zone,kind,slots\n{}", workers.map(row).collect::<String>());
    let entries = read("f", text.as_bytes(), InputFormat::Csv, &Columns::default()).expect("entries");
    let at = |e: &Entry| match &e.address.host {
        Host::Ip(ip) => SocketAddr::new(*ip, e.address.port),
        Host::Name(_) => unreachable!("all are addresses"),
    };
    entries.into_iter().map(|e| (e.name.clone(), Some((e.clone(), at(&e))))).collect()
}

async fn apply(
    tell: &mpsc::Sender<InventoryEvent>,
    changes: Vec<FileEntry>,
    worker_list: &WorkerList,
) -> (Duration, Duration) {
    let wanted = worker_list.forwarded() + changes.len() as u64;
    let (began, worst) = (Instant::now(), Rc::new(Cell::new(Duration::ZERO)));
    let noted = worst.clone();
    let ticker = spawn_local(async move {
        loop {
            let before = Instant::now();
            tokio::task::yield_now().await;
            noted.set(noted.get().max(before.elapsed()));
        }
    });
    tell.send(InventoryEvent::Changes(changes)).await.expect("a running worker list");
    loop {
        tokio::task::yield_now().await;
        if worker_list.forwarded() == wanted {
            break;
        }
    }
    ticker.abort();
    (began.elapsed(), worst.get())
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    println!("{:>8} {:>24} {:>14} {:>16}", "workers", "what", "in force after", "longest stall");
    for workers in [1000, 50_000] {
        LocalSet::new().block_on(&runtime, async {
            let clock = Clock::start();
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let row = Workload {
                effect: Effect::Idempotent,
                memory: Duration::ZERO,
                promised: Duration::from_secs(1),
                stretch: 2.0,
                hard_limit: Duration::from_secs(10),
                utility: 1.0,
                kind: None,
                max_assignments: 3,
            };
            let sheet = PolicySettings { workloads: vec![row], schedulers: 1, ..PolicySettings::default() };
            let rows = WorkloadTable::new(&sheet, &Names::default());
            let rules = Policy::new(sheet, 7, clock.now());
            let now = Box::new(move || clock.now());
            let (exchange, _orders) = Exchange::new(rules, rows, clock, now, log.clone());
            let worker_list = WorkerList::with_files(exchange, Names::default(), None, log);
            let (tell, events) = mpsc::channel(4);
            let keeps = worker_list.clone();
            spawn_local(async move { keeps.run(events).await });
            let line = |what: &str, (whole, stall): (Duration, Duration)| {
                println!("{workers:>8} {what:>24} {whole:>14.1?} {stall:>16.1?}");
            };
            line("all are new", apply(&tell, file_entries(0..workers, 16), &worker_list).await);
            for _ in 0..3 {
                let some = file_entries((0..workers).step_by(100), 32);
                line("1% say something else", apply(&tell, some, &worker_list).await);
                let some = file_entries((0..workers).step_by(100), 16);
                line("and back", apply(&tell, some, &worker_list).await);
            }
        });
    }
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = |key: &str| status.lines().find(|l| l.starts_with(key)).map(str::to_string);
    println!("{}", line("VmHWM").unwrap_or_default());
}
