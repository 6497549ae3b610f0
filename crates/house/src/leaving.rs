//! The end of a proxy: from SIGTERM until its last answer is written.

use crate::proxy::{pump, Shared, State};
use spdlog::{info, warn};
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::timeout;

/// After SIGTERM it is looked this often whether something is due.
const LEAVING_TICK: Duration = Duration::from_millis(20);
/// Who is turned away by a leaving proxy finds another at once.
pub const RETRY_AFTER_LEAVING: Duration = Duration::from_millis(50);
/// Of the requests that a process ends with, so many are logged one by one.
const MAX_UNANSWERED_LOGGED: usize = 10;

/// SIGTERM: not ready, slots are others' to lend, what was read is answered, and the end comes before `grace_s`.
/// Further signals change nothing.
pub async fn leave(shared: Shared, mut signals: Signal) {
    shared.borrow_mut().terminate();
    info!("SIGTERM: leaving, {} calls open", shared.borrow().open_calls.len());
    loop {
        shared.borrow_mut().turn_away_what_does_not_fit(RETRY_AFTER_LEAVING);
        pump(&shared);
        shared.borrow().tell_phase();
        if shared.borrow().may_end() {
            return say_ended(&shared.borrow());
        }
        if timeout(LEAVING_TICK, signals.recv()).await.is_ok() {
            shared.borrow_mut().terminate();
            info!("SIGTERM again: leaving already");
        }
    }
}

/// What the log keeps of the end, so that it is seen which requests were given up, and how they had come.
fn say_ended(state: &State) {
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
