//! Processor time and memory, of this thread and of processes, from the kernel's own counters.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

const PAGE_BYTES: u64 = 4096;
const MEBIBYTE: f64 = 1_048_576.0;

/// Processor time that the calling thread has used.
pub fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Processor time that this process has used, all threads together.
pub fn own_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Runs the work and returns its result and its processor time.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let began = thread_time();
    let result = work();
    (result, thread_time().saturating_sub(began))
}

/// Resident memory of this process in MiB.
pub fn own_memory() -> f64 {
    memory("self").unwrap_or(0.0)
}

/// Resident memory in MiB of a process by its id; `None` if it has ended.
pub fn memory(process: &str) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some((pages * PAGE_BYTES) as f64 / MEBIBYTE)
}

/// Processor time of a process by its id, all its threads together; `None` if it has ended.
pub fn process_time(process: u32) -> Option<Duration> {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let time = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    Some(Duration::from_nanos(threads.flatten().filter_map(time).sum()))
}
