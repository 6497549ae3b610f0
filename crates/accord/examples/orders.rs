//! Plays the accord at length: every order of things from the named beginnings to a depth, and runs by chance.
//!
//!     cargo run --release -p tindock-accord --example orders -- depth 9 2000000
//!     cargo run --release -p tindock-accord --example orders -- runs 5 10000
//!     cargo run --release -p tindock-accord --example orders -- seed 5 23
//!
//! The last one tells each step. Figures go to standard output; what is wrong, with the steps that led there, to standard error, with exit code 1.

#[path = "../src/checking.rs"]
mod checking;

use checking::{beginnings, Budget, Exploration, Figures, Host, Run};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

const BUDGET: Budget = Budget { doubles: 1, crashes: 1, waits: 3 };

fn depth(depth: u8, most: u64) -> Result<(), String> {
    let explored = |(name, world): (&'static str, checking::World)| {
        let (began, mut exploration) = (Instant::now(), Exploration::new(most));
        let wrong = exploration.explore(&world, BUDGET, depth);
        println!("{} states in {:.1?} from {name}", exploration.states, began.elapsed());
        wrong.map_or(Ok(()), |wrong| Err(format!("from {name}:\n{wrong}")))
    };
    let all: Vec<_> = std::thread::scope(|scope| {
        let each = beginnings(Host::Sound).into_iter().map(|one| scope.spawn(move || explored(one)));
        let each: Vec<_> = each.collect();
        each.into_iter().map(|one| one.join().unwrap_or_else(|_| Err("a panic".into()))).collect()
    });
    all.into_iter().collect()
}

fn runs(size: usize, count: u64) -> Result<(), String> {
    let (began, next) = (Instant::now(), AtomicU64::new(0));
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let some = || {
        let mut sum = Figures::default();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count {
                return Ok(sum);
            }
            let ended = Run::play(seed, size, Host::Sound, false);
            let figures = ended.map_err(|wrong| format!("seed {seed}, {size} members: {wrong}"))?;
            sum.add(&figures);
        }
    };
    let ended: Vec<Result<Figures, String>> = std::thread::scope(|scope| {
        let each: Vec<_> = (0..threads).map(|_| scope.spawn(some)).collect();
        each.into_iter().map(|one| one.join().unwrap_or_else(|_| Err("a panic".into()))).collect()
    });
    let mut sum = Figures::default();
    for figures in ended {
        sum.add(&figures?);
    }
    let Figures { decided, nowhere, messages, steps } = sum;
    let took = began.elapsed();
    println!("{count} runs of {size} members: {decided} decided, {nowhere} nowhere, {messages} messages, {steps} steps in {took:.1?}");
    Ok(())
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize| words.get(at).and_then(|word| word.parse::<u64>().ok());
    let done = match (words.first().map(String::as_str), number(1), number(2)) {
        (Some("depth"), Some(to), Some(most)) => depth(to.min(255) as u8, most),
        (Some("runs"), Some(size), Some(count)) if size >= 3 => runs(size as usize, count),
        (Some("seed"), Some(size), Some(seed)) if size >= 3 => {
            Run::play(seed, size as usize, Host::Sound, true).map(|_| ())
        }
        _ => Err("orders depth DEPTH STATES | orders runs MEMBERS COUNT | orders seed MEMBERS SEED".into()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("{wrong}");
            ExitCode::FAILURE
        }
    }
}
