//! Explores the protocol at length: every order of events from the named start states to a depth, and random
//! runs.
//!
//!     cargo run --release -p tindock-policy-consensus --example orders -- depth 9 2000000
//!     cargo run --release -p tindock-policy-consensus --example orders -- runs 5 10000
//!     cargo run --release -p tindock-policy-consensus --example orders -- seed 5 23
//!
//! The last one prints each step. Counts go to standard output; a violation, with the steps that led to it,
//! goes to standard error, with exit code 1.

#[path = "../src/checking.rs"]
mod checking;

use checking::{start_states, Budget, Exploration, Host, Run, RunCounts};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

const BUDGET: Budget = Budget { duplicates: 1, crashes: 1, time_steps: 3 };

fn depth(depth: u8, max_states: u64) -> Result<(), String> {
    let explored = |(name, world): (&'static str, checking::World)| {
        let (began, mut exploration) = (Instant::now(), Exploration::new(max_states));
        let violation = exploration.explore(&world, BUDGET, depth);
        println!("{} states in {:.1?} from {name}", exploration.states, began.elapsed());
        violation.map_or(Ok(()), |violation| Err(format!("from {name}:\n{violation}")))
    };
    let all: Vec<_> = std::thread::scope(|scope| {
        let each = start_states(Host::Correct).into_iter().map(|one| scope.spawn(move || explored(one)));
        let each: Vec<_> = each.collect();
        each.into_iter().map(|one| one.join().unwrap_or_else(|_| Err("a panic".into()))).collect()
    });
    all.into_iter().collect()
}

fn runs(size: usize, count: u64) -> Result<(), String> {
    let (began, next) = (Instant::now(), AtomicU64::new(0));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let some = || {
        let mut sum = RunCounts::default();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count {
                return Ok(sum);
            }
            let ended = Run::execute(seed, size, Host::Correct, false);
            let counts = ended.map_err(|violation| format!("seed {seed}, {size} members: {violation}"))?;
            sum.add(&counts);
        }
    };
    let ended: Vec<Result<RunCounts, String>> = std::thread::scope(|scope| {
        let each: Vec<_> = (0..threads).map(|_| scope.spawn(some)).collect();
        each.into_iter().map(|one| one.join().unwrap_or_else(|_| Err("a panic".into()))).collect()
    });
    let mut sum = RunCounts::default();
    for counts in ended {
        sum.add(&counts?);
    }
    let RunCounts { decided, not_decided, messages, steps } = sum;
    let took = began.elapsed();
    println!(
        "{count} runs of {size} members: {decided} decided, {not_decided} not decided, {messages} messages, \
         {steps} steps in {took:.1?}"
    );
    Ok(())
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize| args.get(at).and_then(|arg| arg.parse::<u64>().ok());
    let done = match (args.first().map(String::as_str), number(1), number(2)) {
        (Some("depth"), Some(to), Some(max_states)) => depth(to.min(255) as u8, max_states),
        (Some("runs"), Some(size), Some(count)) if size >= 3 => runs(size as usize, count),
        (Some("seed"), Some(size), Some(seed)) if size >= 3 => {
            Run::execute(seed, size as usize, Host::Correct, true).map(|_| ())
        }
        _ => Err("orders depth DEPTH STATES | orders runs MEMBERS COUNT | orders seed MEMBERS SEED".into()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(violation) => {
            eprintln!("{violation}");
            ExitCode::FAILURE
        }
    }
}
