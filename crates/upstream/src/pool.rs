//! Idle upstream connections by instance, and which requests each has carried.

use std::collections::HashMap;
use std::time::Duration;

/// An upstream connection of any transport, with a record of the requests it has carried.
#[derive(Debug)]
pub struct Connection<T> {
    pub transport: T,
    requests: u32,
    carried_head: bool,
}

impl<T> Connection<T> {
    /// A connection that has carried nothing.
    pub fn new(transport: T) -> Self {
        Connection { transport, requests: 0, carried_head: false }
    }

    /// Whether no request was sent on it, so that incoming bytes cannot belong to another request.
    pub fn is_unused(&self) -> bool {
        self.requests == 0
    }

    /// Records that a request is about to be sent on it.
    pub fn record_request(&mut self, is_head: bool) {
        self.requests = self.requests.saturating_add(1);
        self.carried_head |= is_head;
    }

    /// Whether it has carried a HEAD request: the length of a surplus answer is then ambiguous.
    pub fn has_carried_head(&self) -> bool {
        self.carried_head
    }
}

struct Idle<T> {
    connection: Connection<T>,
    until: Duration,
}

/// Idle connections, limited in total over all instances.
pub struct Pool<T> {
    idle: HashMap<String, Vec<Idle<T>>>,
    count: usize,
    max_idle: usize,
}

impl<T> Pool<T> {
    pub fn new(max_idle: usize) -> Self {
        Pool { idle: HashMap::new(), count: 0, max_idle }
    }

    /// Keeps a connection until the given time; drops it if the pool is full.
    pub fn keep(&mut self, instance: &str, connection: Connection<T>, until: Duration) {
        if self.count < self.max_idle {
            self.count += 1;
            self.idle.entry(instance.to_string()).or_default().push(Idle { connection, until });
        }
    }

    /// Takes the most recently used connection that has not expired and `is_quiet`: nothing to read and not
    /// closed. Others met on the way are dropped. With `unused_only`, connections that have carried a request
    /// are left in the pool.
    ///
    /// The check only avoids sends that would be lost. No guarantee depends on it, since a process that was
    /// suspended may see a connection as quiet that is not.
    pub fn take(
        &mut self,
        instance: &str,
        now: Duration,
        unused_only: bool,
        is_quiet: impl Fn(&T) -> bool,
    ) -> Option<Connection<T>> {
        let idle = self.idle.get_mut(instance)?;
        let mut at = idle.len();
        while at > 0 {
            at -= 1;
            if unused_only && !idle[at].connection.is_unused() {
                continue;
            }
            let Idle { connection, until } = idle.remove(at);
            self.count -= 1;
            if now < until && is_quiet(&connection.transport) {
                return Some(connection);
            }
        }
        None
    }

    /// The instance has ended, or its address now belongs to another one.
    pub fn forget(&mut self, instance: &str) {
        self.count -= self.idle.remove(instance).map_or(0, |idle| idle.len());
    }

    /// Drops expired connections.
    pub fn sweep(&mut self, now: Duration) {
        self.idle.retain(|_, idle| {
            idle.retain(|idle| idle.until > now);
            !idle.is_empty()
        });
        self.count = self.idle.values().map(Vec::len).sum();
    }
}
