//! The link between the two processes of one scheduler during an upgrade: length-prefixed JSON frames, and
//! the forwarding of worker events to the process that has the task. Depends on neither the client listener
//! nor the handover.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io::{Error, ErrorKind, Result};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// The other process is on the same machine; one that takes longer hangs, and the start continues without it.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Large enough for a list of some ten thousand workers.
pub(crate) const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Messages that may wait for the other process; beyond that workers have to resend their events.
pub(crate) const QUEUE_CAPACITY: usize = 1024;

/// A message from one process to the other.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    Hello {
        version: u32,
    },
    /// The new process accepts clients: the old one may shut down.
    Serving,
    /// A worker's event about a task that the sending process does not have.
    #[serde(rename = "News")]
    Event {
        number: u64,
        body: String,
    },
    /// Confirms the event of this number.
    #[serde(rename = "Heard")]
    Received {
        number: u64,
    },
    Ban {
        name: String,
        banned: bool,
    },
}

fn too_long() -> Error {
    Error::new(ErrorKind::InvalidData, "frame exceeds the maximum length")
}

pub(crate) fn frame<T: Serialize>(content: &T) -> Result<Vec<u8>> {
    let text = serde_json::to_vec(content)?;
    let length =
        u32::try_from(text.len()).ok().filter(|n| *n as usize <= MAX_FRAME_BYTES).ok_or_else(too_long)?;
    Ok([&length.to_be_bytes(), text.as_slice()].concat())
}

/// A buffer for a frame of this length.
pub(crate) fn frame_buffer(length: u32) -> Result<Vec<u8>> {
    let length = length as usize;
    if length > MAX_FRAME_BYTES {
        return Err(too_long());
    }
    Ok(vec![0; length])
}

pub(crate) async fn read_frame(from: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>> {
    let mut text = frame_buffer(from.read_u32().await?)?;
    from.read_exact(&mut text).await?;
    Ok(text)
}

pub(crate) struct Peer {
    pub outgoing: mpsc::Sender<Message>,
    /// Forwarded events that the other process has not confirmed.
    pub unconfirmed: HashMap<u64, oneshot::Sender<Infallible>>,
    pub next_number: u64,
}

/// The connection to the other process, while there is one.
#[derive(Default)]
pub struct Link {
    pub(crate) peer: RefCell<Option<Peer>>,
}

impl Link {
    /// Forwards an event that only the other process can use, and waits until it is confirmed or that process
    /// is gone. Never called for an event that came over this link, so that no event is sent back and forth.
    pub async fn forward_event(&self, body: &Bytes) {
        let confirmed = {
            let mut peer = self.peer.borrow_mut();
            let (Some(peer), Ok(body)) = (peer.as_mut(), std::str::from_utf8(body)) else { return };
            let number = peer.next_number;
            peer.next_number += 1;
            if peer.outgoing.try_send(Message::Event { number, body: body.into() }).is_err() {
                return;
            }
            let (confirm, confirmed) = oneshot::channel();
            peer.unconfirmed.insert(number, confirm);
            confirmed
        };
        let _ = timeout(PEER_TIMEOUT, confirmed).await;
    }

    pub fn send_ban(&self, name: &str, banned: bool) {
        self.send(Message::Ban { name: name.into(), banned });
    }

    pub(crate) fn send(&self, message: Message) {
        if let Some(peer) = self.peer.borrow().as_ref() {
            let _ = peer.outgoing.try_send(message);
        }
    }

    pub(crate) fn received(&self, number: u64) {
        if let Some(peer) = self.peer.borrow_mut().as_mut() {
            // Dropping the sender wakes the task that waits for the confirmation.
            peer.unconfirmed.remove(&number);
        }
    }
}
