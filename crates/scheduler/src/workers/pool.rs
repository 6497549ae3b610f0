//! Pooled connections to workers, with one task at a time on each.

use crate::workers::endings::Close;
use crate::workers::write_progress::{CountingStream, WriteProgress};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{timeout, Instant};

/// The fraction of the configured idle time after which a connection is retired: the worker measures from its
/// own last byte, and a task sent while the worker closes the connection would end as a reset.
const RETIRE_FRACTION: f64 = 0.5;
/// How long no connection is reused after a reused one broke: whatever drops connections usually persists for
/// longer than a moment, and one break in each such period costs less than many.
const NO_REUSE_PERIOD: Duration = Duration::from_secs(20);
/// Read buffer for the head of a response.
const READ_BUFFER: usize = 8 * 1024;

/// A connection to a worker. Dropping it closes the socket, even during a message.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    pub progress: Rc<WriteProgress>,
    address: SocketAddr,
    driver: JoinHandle<()>,
    idle_since: Instant,
    /// Whether it has carried a message before.
    pub used: bool,
    /// Whether idle connections to the worker were found closed early when this one was taken.
    pub found_closed: bool,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

pub struct Pool {
    idle: RefCell<HashMap<usize, Vec<Connection>>>,
    permits: Arc<Semaphore>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// No connection is reused before this time.
    no_reuse_until: Cell<Option<Instant>>,
}

impl Pool {
    pub fn new(max_connections: usize, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let permits = Arc::new(Semaphore::new(max_connections));
        Pool {
            idle: RefCell::default(),
            permits,
            connect_timeout,
            idle_timeout: idle_timeout.mul_f64(RETIRE_FRACTION),
            no_reuse_until: Cell::default(),
        }
    }

    /// Gives up half of the connections while another process of this scheduler runs. Returns how many were
    /// given up.
    pub fn give_up_half(&self) -> usize {
        self.permits.forget_permits(self.permits.available_permits() / 2)
    }

    pub fn add_permits(&self, by: usize) {
        self.permits.add_permits(by);
    }

    /// The most recently used idle connection to the worker, or a new one.
    pub async fn acquire(&self, worker: usize, address: SocketAddr) -> Result<Connection, Close> {
        let mut found_closed = false;
        let mut connection = match self.take(worker, address, &mut found_closed) {
            Some(connection) => connection,
            None => self.connect(address).await?,
        };
        connection.found_closed = found_closed;
        Ok(connection)
    }

    /// Called when a reused connection broke under a message: other idle connections may have been dropped
    /// silently in the same way, by a worker or by a device on the path. Guards against tasks that count as
    /// possibly run for this reason alone.
    pub fn on_break(&self) {
        self.no_reuse_until.set(Some(Instant::now() + NO_REUSE_PERIOD));
        self.idle.borrow_mut().clear();
    }

    fn take(&self, worker: usize, address: SocketAddr, found_closed: &mut bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&worker)?;
        while let Some(connection) = connections.pop() {
            let fresh = connection.idle_since.elapsed() < self.idle_timeout;
            if connection.address == address && fresh && connection.sender.is_ready() {
                return Some(connection);
            }
            *found_closed |= connection.address == address && fresh;
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, Close> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                // All permits are in use: the connection that has been idle for longest is closed.
                self.close_oldest_idle();
                self.permits.clone().acquire_owned().await.map_err(|_| Close::NeverSent)?
            }
        };
        let stream = timeout(self.connect_timeout, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Close::ConnectTimeout)?.map_err(|_| Close::ConnectFailed)?;
        let _ = stream.set_nodelay(true);
        let progress = Rc::new(WriteProgress::default());
        let mut http = http1::Builder::new();
        http.max_buf_size(READ_BUFFER);
        let handshake = http.handshake(CountingStream::new(stream, progress.clone())).await;
        let (sender, driven) = handshake.map_err(|_| Close::ConnectFailed)?;
        let driver = tokio::task::spawn_local(async move {
            // The sender that waits for a response learns how the connection ended.
            let _ = driven.await;
        });
        Ok(Connection {
            sender,
            progress,
            address,
            driver,
            idle_since: Instant::now(),
            used: false,
            found_closed: false,
            _permit: permit,
        })
    }

    /// Returns a connection to the pool once its response was read completely.
    pub async fn release(&self, worker: usize, mut connection: Connection) {
        let no_reuse = self.no_reuse_until.get().is_some_and(|until| Instant::now() < until);
        if !no_reuse && connection.sender.ready().await.is_ok() {
            (connection.idle_since, connection.used) = (Instant::now(), true);
            self.idle.borrow_mut().entry(worker).or_default().push(connection);
        }
    }

    pub fn drop_idle(&self, worker: usize) {
        self.idle.borrow_mut().remove(&worker);
    }

    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.values_mut().filter(|connections| !connections.is_empty()).min_by_key(|c| c[0].idle_since);
        oldest.into_iter().for_each(|connections| drop(connections.remove(0)));
    }

    /// Retires connections that were idle for too long or that the worker closed.
    pub async fn retire_idle(&self) {
        loop {
            tokio::time::sleep(self.idle_timeout.div_f64(8.0).max(Duration::from_millis(50))).await;
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain(|c| c.idle_since.elapsed() < self.idle_timeout && !c.sender.is_closed());
                !connections.is_empty()
            });
        }
    }
}
