//! Maintains the worker list: carries out the steps of `ListClient` on connections to the discovery agent.

use crate::exchange::Exchange;
use crate::list::connector::Connector;
use crate::list::worker_list::WorkerList;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use slog::{debug, info, warn, Logger};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock_scheduler_config::listing::Listing;
use tindock_worker_list::list_client::{ListClient, Step, Verdict};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Enough for a list of some thousand workers, but bounded.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// The interval of log lines during an outage, which leaves a few lines rather than one for each query.
const OUTAGE_LOG_INTERVAL: Duration = Duration::from_secs(10);

pub struct Discovery {
    pub exchange: Rc<Exchange>,
    pub connector: Rc<dyn Connector>,
    pub worker_list: Rc<WorkerList>,
    /// The agent's address, which may change at any time.
    pub address: watch::Receiver<SocketAddr>,
    pub client: ListClient,
    pub log: Logger,
}

/// The result of a step on a connection.
enum LinkEvent {
    Connected,
    Answer(Bytes),
    Failed(String),
}

/// One connection: queries go in, and their results are sent to the channel that all connections share.
struct Link {
    queries: mpsc::UnboundedSender<String>,
    task: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Aborts the connection's driver task when it is dropped.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An outage is logged when it begins, at intervals while it lasts, and when it is over.
struct Outage {
    began: Instant,
    last_logged: Instant,
    failures: u64,
}

impl Discovery {
    /// Maintains the list until the process ends, also when discovery moves.
    pub async fn run(mut self) {
        let (mut outage, mut links) = (None, BTreeMap::new());
        // Unbounded, but each of the few connections has only one query in progress.
        let (events, mut received) = mpsc::unbounded_channel();
        let mut moves = self.address.clone();
        let mut address = *moves.borrow_and_update();
        loop {
            while let Some(step) = self.client.next_step(self.exchange.now()) {
                match step {
                    Step::Connect { connection: link } => {
                        let (connector, events) = (self.connector.clone(), events.clone());
                        let (queries, query_queue) = mpsc::unbounded_channel();
                        let task = tokio::task::spawn_local(async move {
                            let why = serve(&*connector, address, link, query_queue, &events).await;
                            // Fails only if the process ends.
                            let _ = events.send((link, LinkEvent::Failed(why)));
                        });
                        links.insert(link, Link { queries, task });
                    }
                    Step::Query { connection: link, after, wait } => {
                        let target = match after {
                            Some(index) => format!("/v1/servers?after={index}&wait_ms={}", wait.as_millis()),
                            None => "/v1/servers".into(),
                        };
                        // A closed connection has reported its failure, or will.
                        links.get(&link).into_iter().for_each(|l| drop(l.queries.send(target.clone())));
                    }
                    Step::Close { connection: link } => {
                        if links.remove(&link).is_some() && self.client.failures() > 0 {
                            self.report_outage(&mut outage, "no response in time");
                        }
                    }
                }
            }
            let due = self.exchange.time_until(self.client.next_due());
            tokio::select! {
                Some((link, event)) = received.recv() => {
                    // Results of a connection that was closed are ignored.
                    if links.contains_key(&link) && !self.handle(link, event, &mut outage) {
                        links.remove(&link);
                    }
                }
                Ok(()) = moves.changed() => {
                    address = *moves.borrow_and_update();
                    self.client.relocated();
                }
                () = tokio::time::sleep(due) => {}
            }
        }
    }

    /// Handles a result of a connection; returns whether the connection stays open.
    fn handle(&mut self, link: u64, event: LinkEvent, outage: &mut Option<Outage>) -> bool {
        let now = self.exchange.now();
        let why = match event {
            LinkEvent::Connected => {
                self.client.connected(link);
                return true;
            }
            LinkEvent::Failed(why) => why,
            LinkEvent::Answer(body) => match self.worker_list.decode(&body) {
                Ok(listing) => {
                    self.apply(link, listing, outage);
                    return true;
                }
                Err(why) => format!("an invalid list: {why}"),
            },
        };
        self.client.on_failure(now, link);
        self.report_outage(outage, &why);
        false
    }

    fn apply(&mut self, link: u64, listing: Listing, outage: &mut Option<Outage>) {
        let (index, whole) = (listing.index, listing.whole);
        match self.client.on_response(self.exchange.now(), link, index, whole) {
            Verdict::Accept => {
                if let Some(over) = outage.take() {
                    let (out, failures) = (over.began.elapsed().as_secs_f64(), over.failures);
                    info!(self.log, "discovery is back after {out:.2} s, {failures} failed queries");
                }
                if whole || !listing.entries.is_empty() {
                    info!(self.log, "list {index}: {} workers named", listing.entries.len());
                }
                self.worker_list.discovery_update(listing);
            }
            Verdict::Stale => self.report_outage(outage, &format!("list {index} is older than the one held")),
        }
    }

    fn report_outage(&self, outage: &mut Option<Outage>, why: &str) {
        let now = Instant::now();
        match outage {
            None => {
                warn!(self.log, "discovery is out, the list is kept: {why}");
                *outage = Some(Outage { began: now, last_logged: now, failures: 1 });
            }
            Some(outage) => {
                outage.failures += 1;
                debug!(self.log, "discovery is out: {why}");
                if now - outage.last_logged >= OUTAGE_LOG_INTERVAL {
                    outage.last_logged = now;
                    let out = outage.began.elapsed().as_secs_f64();
                    warn!(
                        self.log,
                        "discovery is out for {out:.0} s, {} failed queries: {why}", outage.failures
                    );
                }
            }
        }
    }
}

/// Runs one connection until it ends; returns the reason.
async fn serve(
    connector: &dyn Connector,
    address: SocketAddr,
    link: u64,
    mut queries: mpsc::UnboundedReceiver<String>,
    events: &mpsc::UnboundedSender<(u64, LinkEvent)>,
) -> String {
    let session = async {
        let stream = connector.connect(address).await.map_err(|e| e.to_string())?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let _driver = Driver(driver);
        let _ = events.send((link, LinkEvent::Connected));
        while let Some(target) = queries.recv().await {
            let body = query(&mut sender, address, &target).await?;
            let _ = events.send((link, LinkEvent::Answer(body)));
        }
        Ok::<(), String>(())
    };
    session.await.err().unwrap_or_default()
}

async fn query(
    sender: &mut SendRequest<Empty<Bytes>>,
    address: SocketAddr,
    target: &str,
) -> Result<Bytes, String> {
    sender.ready().await.map_err(|e| e.to_string())?;
    let message = Request::get(target).header(HOST, address.to_string()).body(Empty::new());
    let answer = sender.send_request(message.map_err(|e| e.to_string())?).await;
    let answer = answer.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status().as_u16()));
    }
    let body = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await;
    Ok(body.map_err(|e| e.to_string())?.to_bytes())
}
