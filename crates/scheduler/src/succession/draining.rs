//! Graceful shutdown: answers every accepted task, then lets the process exit.

use crate::clients::listener::ClientListener;
use crate::exchange::Exchange;
use crate::succession::shutdown::Shutdown;
use std::cell::Cell;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::Instant;

/// Clients notice the shutdown some tenths of a second late and keep connecting until then.
const NEW_CLIENTS_PERIOD: Duration = Duration::from_millis(600);
/// Extra time for clients to read their answers; after it the process exits in any case.
const READ_GRACE: Duration = Duration::from_millis(200);
/// Without a new task for this long, none is expected any more. Connections that send no task do not count.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns when the process may exit: after SIGTERM, with all tasks answered and no new clients arriving.
pub async fn run(
    shutdown: &Shutdown,
    mut terminate: Signal,
    door: &ClientListener,
    exchange: &Exchange,
    accepting: &Cell<bool>,
) {
    terminate.recv().await;
    accepting.set(false);
    let (requested_at, longest) = (Instant::now(), shutdown.begin());
    door.close_all();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if requested_at.elapsed() >= longest {
            exchange.abort_all();
        }
        let (last_clients, no_new_tasks) = match shutdown.is_succeeded() {
            true => (requested_at, true),
            false => (
                requested_at + NEW_CLIENTS_PERIOD,
                requested_at.elapsed() >= NEW_CLIENTS_PERIOD && shutdown.is_quiet(QUIET_PERIOD),
            ),
        };
        let read_grace_over = requested_at.elapsed() >= longest + READ_GRACE;
        if no_new_tasks && door.is_quiet(last_clients) || read_grace_over {
            return;
        }
    }
}
