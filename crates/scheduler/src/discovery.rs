//! Keeps the list of workers: one watch after the other on the discovery agent.

use crate::berth::Words;
use crate::exchange::Exchange;
use crate::listing::{self, Listing};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long a watch waits for something new: short, so that an agent gone silent is noticed soon.
const WAIT: Duration = Duration::from_millis(2500);
/// How long the agent, on the own machine, may take for anything else.
const ANSWER: Duration = Duration::from_secs(1);
/// Pauses before a new connection: the first short, since a restarted agent is back at once.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// A list of some thousand workers fits; an endless one does not.
const MOST_LIST: usize = 4 * 1024 * 1024;

pub struct Discovery {
    pub exchange: Rc<Exchange>,
    pub words: Words,
    /// Where it is; another address may come at any time.
    pub address: watch::Receiver<SocketAddr>,
    /// Where the module must ask, it says when; else a watch is always wanted.
    pub asked: bool,
    pub subscribe: Rc<Notify>,
    pub index: Option<u64>,
    /// It moved: the next watch waits for nobody.
    pub at_once: bool,
    pub log: Logger,
}

struct Agent {
    sender: SendRequest<Empty<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Discovery {
    /// Keeps the list for as long as the process lives, wherever discovery moves to.
    pub async fn keep(mut self) {
        let mut address = self.address.clone();
        loop {
            let at = *address.borrow_and_update();
            tokio::select! {
                () = self.keep_at(at) => {}
                moved = address.changed() => match moved {
                    // Guards against changes that never come: what the old place counted means nothing at the
                    // new one, so the whole list is asked for, at once, whatever was waited for.
                    Ok(()) => (self.index, self.at_once) = (None, true),
                    // Nobody can tell of another address any more.
                    Err(_) => return self.keep_at(at).await,
                },
            }
        }
    }

    async fn keep_at(&mut self, address: SocketAddr) {
        let (mut pause, mut failing) = (FIRST_PAUSE, false);
        loop {
            if self.asked && !std::mem::take(&mut self.at_once) {
                self.subscribe.notified().await;
            }
            let (told, why) = self.watch(address).await;
            // One line when it begins, not one for each try.
            if told || !failing {
                warn!(self.log, "discovery is out, the list is kept: {why}");
            }
            failing = true;
            if self.asked {
                // The module says when to ask again.
                self.exchange.list_failed();
                continue;
            }
            pause = if told { FIRST_PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
            tokio::time::sleep(pause).await;
        }
    }

    /// Watches until something fails; tells whether it was told anything before.
    async fn watch(&mut self, address: SocketAddr) -> (bool, String) {
        let mut told = false;
        let mut agent = match timeout(ANSWER, connect(address)).await {
            Ok(Ok(agent)) => agent,
            Ok(Err(why)) => return (told, why),
            Err(_) => return (told, "no connection in time".into()),
        };
        loop {
            let (target, most) = match self.index {
                Some(index) => {
                    let wait = WAIT.as_millis();
                    (format!("/v1/servers?after={index}&wait_ms={wait}"), WAIT + ANSWER)
                }
                None => ("/v1/servers".into(), ANSWER),
            };
            match timeout(most, ask(&mut agent, address, &target)).await {
                // Guards against a loop without pause on a list that stays wrong.
                Ok(Ok(body)) => match listing::decode(&body, &mut self.words) {
                    Ok(listing) => {
                        told = true;
                        self.adopt(listing);
                    }
                    Err(why) => return (false, format!("a list that will not do: {why}")),
                },
                Ok(Err(why)) => return (told, why),
                Err(_) => return (told, "no answer in time".into()),
            }
        }
    }

    fn adopt(&mut self, listing: Listing) {
        self.index = Some(listing.index);
        if listing.whole || !listing.entries.is_empty() {
            info!(self.log, "list {}: {} workers named", listing.index, listing.entries.len());
            self.exchange.list(listing);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Agent, String> {
    let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let _ = stream.set_nodelay(true);
    let shaken = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|e| e.to_string())?;
    let driver = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(Agent { sender, driver })
}

async fn ask(agent: &mut Agent, address: SocketAddr, target: &str) -> Result<Bytes, String> {
    agent.sender.ready().await.map_err(|e| e.to_string())?;
    let message = Request::get(target).header(HOST, address.to_string()).body(Empty::new());
    let answer = agent.sender.send_request(message.map_err(|e| e.to_string())?).await;
    let answer = answer.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status().as_u16()));
    }
    let body = Limited::new(answer.into_body(), MOST_LIST).collect().await;
    Ok(body.map_err(|e| e.to_string())?.to_bytes())
}
