//! Keeps the list of workers: carries out what `ListClient` decides, on connections to the discovery agent.

use crate::exchange::Exchange;
use crate::list::muster::Muster;
use crate::list::wire::Wire;
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
use tindock_berth::listing::Listing;
use tindock_roster::list_client::{ListClient, Step, Verdict};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// A list of some thousand workers fits; an endless one does not.
const MOST_LIST: usize = 4 * 1024 * 1024;
/// While the list stays out, a line is written this often: an outage leaves some lines, not one a try.
const STILL_OUT: Duration = Duration::from_secs(10);

pub struct Discovery {
    pub exchange: Rc<Exchange>,
    pub wire: Rc<dyn Wire>,
    pub muster: Rc<Muster>,
    /// Where it is; another address may come at any time.
    pub address: watch::Receiver<SocketAddr>,
    pub asking: ListClient,
    pub log: Logger,
}

/// What came of a step on a connection.
enum Came {
    Up,
    Answer(Bytes),
    Nothing(String),
}

/// One connection: its calls go in, what comes of them goes to the channel that all share.
struct Line {
    calls: mpsc::UnboundedSender<String>,
    task: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Ends the connection's driver with whoever uses it.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An outage is told of when it begins, now and then while it lasts, and when it is over.
struct Outage {
    began: Instant,
    told: Instant,
    calls: u64,
}

impl Discovery {
    /// Keeps the list for as long as the process lives, wherever discovery moves to.
    pub async fn keep(mut self) {
        let (mut outage, mut lines) = (None, BTreeMap::new());
        // Not bounded by itself: a connection has one call under way, and there are few.
        let (tell, mut told) = mpsc::unbounded_channel();
        let mut place = self.address.clone();
        let mut address = *place.borrow_and_update();
        loop {
            while let Some(step) = self.asking.next_step(self.exchange.now()) {
                match step {
                    Step::Connect { connection: line } => {
                        let (wire, tell) = (self.wire.clone(), tell.clone());
                        let (calls, asked) = mpsc::unbounded_channel();
                        let task = tokio::task::spawn_local(async move {
                            let why = serve(&*wire, address, line, asked, &tell).await;
                            // Nobody listens any more where the process ends.
                            let _ = tell.send((line, Came::Nothing(why)));
                        });
                        lines.insert(line, Line { calls, task });
                    }
                    Step::Query { connection: line, after, wait } => {
                        let target = match after {
                            Some(index) => format!("/v1/servers?after={index}&wait_ms={}", wait.as_millis()),
                            None => "/v1/servers".into(),
                        };
                        // One that is gone has told so, or will.
                        lines.get(&line).into_iter().for_each(|l| drop(l.calls.send(target.clone())));
                    }
                    Step::Close { connection: line } => {
                        if lines.remove(&line).is_some() && self.asking.failures() > 0 {
                            self.tell(&mut outage, "nothing in time");
                        }
                    }
                }
            }
            let due = self.exchange.until(self.asking.next_due());
            tokio::select! {
                Some((line, came)) = told.recv() => {
                    // What a closed connection had still to tell counts for nothing.
                    if lines.contains_key(&line) && !self.take_in(line, came, &mut outage) {
                        lines.remove(&line);
                    }
                }
                Ok(()) = place.changed() => {
                    address = *place.borrow_and_update();
                    self.asking.relocated();
                }
                () = tokio::time::sleep(due) => {}
            }
        }
    }

    /// Takes in what came on a connection; whether it stays.
    fn take_in(&mut self, line: u64, came: Came, outage: &mut Option<Outage>) -> bool {
        let now = self.exchange.now();
        let why = match came {
            Came::Up => {
                self.asking.connected(line);
                return true;
            }
            Came::Nothing(why) => why,
            Came::Answer(body) => match self.muster.decode(&body) {
                Ok(listing) => {
                    self.judge(line, listing, outage);
                    return true;
                }
                Err(why) => format!("a list that will not do: {why}"),
            },
        };
        self.asking.on_failure(now, line);
        self.tell(outage, &why);
        false
    }

    fn judge(&mut self, line: u64, listing: Listing, outage: &mut Option<Outage>) {
        let (index, whole) = (listing.index, listing.whole);
        match self.asking.on_response(self.exchange.now(), line, index, whole) {
            Verdict::Accept => {
                if let Some(over) = outage.take() {
                    let (out, calls) = (over.began.elapsed().as_secs_f64(), over.calls);
                    info!(self.log, "discovery is back after {out:.2} s, {calls} calls came to nothing");
                }
                if whole || !listing.entries.is_empty() {
                    info!(self.log, "list {index}: {} workers named", listing.entries.len());
                }
                self.muster.told(listing);
            }
            Verdict::Stale => self.tell(outage, &format!("list {index} is older than the one held")),
        }
    }

    fn tell(&self, outage: &mut Option<Outage>, why: &str) {
        let now = Instant::now();
        match outage {
            None => {
                warn!(self.log, "discovery is out, the list is kept: {why}");
                *outage = Some(Outage { began: now, told: now, calls: 1 });
            }
            Some(outage) => {
                outage.calls += 1;
                debug!(self.log, "discovery is out: {why}");
                if now - outage.told >= STILL_OUT {
                    outage.told = now;
                    let out = outage.began.elapsed().as_secs_f64();
                    warn!(self.log, "discovery is out for {out:.0} s, {} calls: {why}", outage.calls);
                }
            }
        }
    }
}

/// One connection from its opening to its end, which is told in words.
async fn serve(
    wire: &dyn Wire,
    address: SocketAddr,
    line: u64,
    mut calls: mpsc::UnboundedReceiver<String>,
    tell: &mpsc::UnboundedSender<(u64, Came)>,
) -> String {
    let whole = async {
        let stream = wire.dial(address).await.map_err(|e| e.to_string())?;
        let shaken = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.map_err(|e| e.to_string())?;
        let driver = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        let _driver = Driver(driver);
        let _ = tell.send((line, Came::Up));
        while let Some(target) = calls.recv().await {
            let body = ask(&mut sender, address, &target).await?;
            let _ = tell.send((line, Came::Answer(body)));
        }
        Ok::<(), String>(())
    };
    whole.await.err().unwrap_or_default()
}

async fn ask(
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
    let body = Limited::new(answer.into_body(), MOST_LIST).collect().await;
    Ok(body.map_err(|e| e.to_string())?.to_bytes())
}
