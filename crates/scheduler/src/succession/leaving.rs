//! The end of a planned restart: answers all that was taken, then ends.

use crate::clients::listener::ClientListener;
use crate::exchange::Exchange;
use crate::succession::stopping::Stopping;
use std::cell::Cell;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::Instant;

/// Clients learn of the end some tenths of a second late, and go on coming until then.
const NEWCOMERS: Duration = Duration::from_millis(600);
/// Answers that nobody reads are not waited for.
const UNREAD: Duration = Duration::from_millis(200);
/// No client came with a task for this long: none are on their way. Crowds that ask for nothing do not count.
const QUIET: Duration = Duration::from_millis(200);
const LOOK: Duration = Duration::from_millis(10);

/// Ends once the process may end: told to, all answered, and nobody comes any more.
pub async fn over(
    stopping: &Stopping,
    mut told: Signal,
    door: &ClientListener,
    exchange: &Exchange,
    open: &Cell<bool>,
) {
    told.recv().await;
    open.set(false);
    let (told, longest) = (Instant::now(), stopping.begin());
    door.close_all();
    loop {
        tokio::time::sleep(LOOK).await;
        if told.elapsed() >= longest {
            exchange.abort_all();
        }
        let (last_clients, nobody_comes) = match stopping.is_succeeded() {
            true => (told, true),
            false => (told + NEWCOMERS, told.elapsed() >= NEWCOMERS && stopping.is_quiet(QUIET)),
        };
        let unread = told.elapsed() >= longest + UNREAD;
        if nobody_comes && door.is_quiet(last_clients) || unread {
            return;
        }
    }
}
