//! Sends and receives messages between schedulers as datagrams. A message from an unknown sender, or one that
//! cannot be decoded, is dropped and counted.

use crate::exchange::Exchange;
use crate::peers::outbox::Message;
use slog::{info, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock_peer_messages::{self as peer_messages, PeerMessage, MAX_MESSAGE_BYTES};
use tindock_scheduler_config::PeerAddresses;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The number of dropped messages is logged at this interval, if there were any.
const DROPPED_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Messages queued for sending; more are lost, which is harmless.
pub const QUEUED_MESSAGES: usize = 256;

pub struct PeerSocket {
    pub exchange: Rc<Exchange>,
    pub socket: Rc<UdpSocket>,
    pub addresses: PeerAddresses,
    pub log: Logger,
}

impl PeerSocket {
    pub async fn send(
        socket: Rc<UdpSocket>,
        addresses: PeerAddresses,
        mut messages: mpsc::Receiver<Message>,
    ) {
        while let Some((to, message)) = messages.recv().await {
            let all =
                addresses.all.iter().enumerate().filter(|(position, _)| *position != addresses.position);
            for (_, &address) in all.filter(|(position, _)| to.is_none_or(|to| to == *position)) {
                // The scheduler may be down: messages may be lost.
                let _ = socket.send_to(&message, address).await;
            }
        }
    }

    /// Receives messages until the process ends.
    pub async fn receive(self) {
        let positions: HashMap<SocketAddr, usize> =
            self.addresses.all.iter().enumerate().map(|(position, &at)| (at, position)).collect();
        let (mut bytes, mut dropped) = ([0; MAX_MESSAGE_BYTES + 1], 0u64);
        let mut log_timer = tokio::time::interval(DROPPED_LOG_INTERVAL);
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut bytes) => {
                    // An error here reports that an earlier message was not delivered.
                    let Ok((length, from)) = received else { continue };
                    let position = positions.get(&from).copied()
                        .filter(|&position| position != self.addresses.position);
                    match position.zip(peer_messages::decode(&bytes[..length])) {
                        Some((position, message)) => self.dispatch(position, message),
                        None => dropped += 1,
                    }
                }
                _ = log_timer.tick() => {
                    if dropped > 0 {
                        info!(self.log, "{dropped} messages dropped: unknown sender or undecodable");
                        dropped = 0;
                    }
                }
            }
        }
    }

    fn dispatch(&self, from: usize, message: PeerMessage) {
        match message {
            PeerMessage::SlotRequest => self.exchange.slots_requested(from),
            PeerMessage::Grant(address, slots) => self.exchange.slots_granted(address, slots),
            PeerMessage::Usage(number, usage) => self.exchange.peer_usage(from, number, usage),
        }
    }
}
