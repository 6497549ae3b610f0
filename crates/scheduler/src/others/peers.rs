//! Words between schedulers as datagrams: sent, and read. What comes from a stranger, cannot be read or names nobody is dropped and counted.

use crate::exchange::Exchange;
use crate::others::telling::Message;
use slog::{info, Logger};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tindock_berth::Others;
use tindock_words::{self as words, PeerMessage, MAX_MESSAGE_BYTES};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Sums of what was dropped are told this often, if anything was.
const SUMS_EVERY: Duration = Duration::from_secs(60);
/// Messages that wait to be sent; beyond them words are lost, which is harmless.
pub const WAITING: usize = 256;

pub struct Peers {
    pub exchange: Rc<Exchange>,
    pub socket: Rc<UdpSocket>,
    pub others: Others,
    pub log: Logger,
}

impl Peers {
    pub async fn send(socket: Rc<UdpSocket>, others: Others, mut messages: mpsc::Receiver<Message>) {
        while let Some((to, message)) = messages.recv().await {
            let all = others.all.iter().enumerate().filter(|(place, _)| *place != others.position);
            for (_, &address) in all.filter(|(place, _)| to.is_none_or(|to| to == *place)) {
                // A scheduler that is not there hears nothing: words may be lost.
                let _ = socket.send_to(&message, address).await;
            }
        }
    }

    /// Hears the others until the process ends.
    pub async fn hear(self) {
        let places: HashMap<SocketAddr, usize> =
            self.others.all.iter().enumerate().map(|(place, &at)| (at, place)).collect();
        let (mut bytes, mut dropped) = ([0; MAX_MESSAGE_BYTES + 1], 0u64);
        let mut sums = tokio::time::interval(SUMS_EVERY);
        loop {
            tokio::select! {
                heard = self.socket.recv_from(&mut bytes) => {
                    // An error here tells of an earlier message that met nobody.
                    let Ok((length, from)) = heard else { continue };
                    let place = places.get(&from).copied().filter(|&place| place != self.others.position);
                    match place.zip(words::decode(&bytes[..length])) {
                        Some((place, word)) => self.word(place, word),
                        None => dropped += 1,
                    }
                }
                _ = sums.tick() => {
                    if dropped > 0 {
                        info!(self.log, "{dropped} messages dropped that no known scheduler sent or nobody can read");
                        dropped = 0;
                    }
                }
            }
        }
    }

    fn word(&self, from: usize, word: PeerMessage) {
        match word {
            PeerMessage::SlotRequest => self.exchange.sought(from),
            PeerMessage::Grant(address, room) => self.exchange.room_left(address, room),
            PeerMessage::Usage(number, words) => self.exchange.held(from, number, words),
        }
    }
}
