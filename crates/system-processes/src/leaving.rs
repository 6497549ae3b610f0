//! The end of a proxy: from SIGTERM until its last answer is written.

use crate::proxy::{pump, Shared, State};
use spdlog::{info, warn};
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::timeout;

/// After SIGTERM the state is checked this often.
const LEAVING_TICK: Duration = Duration::from_millis(20);
/// A client that a leaving proxy refuses can go to another proxy at once.
pub const RETRY_AFTER_LEAVING: Duration = Duration::from_millis(50);
/// So many of the requests left unanswered at the end are logged one by one.
const MAX_UNANSWERED_LOGGED: usize = 10;

/// Shuts the proxy down after SIGTERM: readiness fails, other proxies take over its slots, requests already
/// read are answered, and the process ends before `grace_s`. Further signals change nothing.
pub async fn leave(shared: Shared, mut signals: Signal) {
    shared.borrow_mut().terminate();
    info!("SIGTERM: leaving, {} calls open", shared.borrow().open_calls.len());
    loop {
        shared.borrow_mut().refuse_calls_without_time(RETRY_AFTER_LEAVING);
        pump(&shared);
        shared.borrow().publish_phase();
        if shared.borrow().may_end() {
            return log_end(&shared.borrow());
        }
        if timeout(LEAVING_TICK, signals.recv()).await.is_ok() {
            shared.borrow_mut().terminate();
            info!("SIGTERM again: leaving already");
        }
    }
}

/// Logs the end, with the requests that were given up and how they had arrived.
fn log_end(state: &State) {
    let now = state.now();
    let terminated = state.terminated().unwrap_or(now);
    let after = now.saturating_sub(terminated).as_secs_f64();
    let (open, taken) = (state.open_calls.len(), state.taken_while_leaving);
    if open == 0 && taken.broken_off == 0 {
        info!("ended {after:.1} s after SIGTERM, 0 calls unanswered; {taken}");
        return;
    }
    warn!("ended {after:.1} s after SIGTERM, {open} calls unanswered; {taken}");
    for call in state.open_calls.iter().take(MAX_UNANSWERED_LOGGED) {
        warn!("{}", call.unanswered(terminated, now));
    }
}
