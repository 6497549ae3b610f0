//! Long texts are sent in pieces, so that heartbeats and lease messages never queue behind a whole text on a
//! slow link.
//!
//! A sender has a few pieces in flight, and more where they are acknowledged quickly. The receiver assembles
//! one text at a time, from one sender, and reports its progress: an interrupted transfer continues from
//! there, also from another sender. The assembled text is accepted only if its digest is right. To catch up,
//! a member needs only the newest configuration, so a running transfer is finished first, and then the newest
//! is sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::defects::{injected, Defect};
use crate::{digest, Configuration, ControlStore, Message};

/// Shorter texts are sent in one message.
pub(crate) const MAX_UNSPLIT_BYTES: usize = 32 << 10;
pub(crate) const PIECE_BYTES: usize = 16 << 10;
/// Longer texts are not assembled: a length received from the network may be arbitrary.
const MAX_TEXT_BYTES: u32 = 64 << 20;
const MIN_IN_FLIGHT: usize = 2;
const MAX_IN_FLIGHT: usize = 16;
/// The window grows when an acknowledgement takes less than `FAST_ACK`, and shrinks when it takes more than
/// `SLOW_ACK`.
const FAST_ACK: Duration = Duration::from_millis(60);
const SLOW_ACK: Duration = Duration::from_millis(150);
/// Pieces that stay unacknowledged for this long are sent again.
const RESEND_AFTER: Duration = Duration::from_millis(600);
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(4);
/// A receiver switches to another sender when its own has been silent for this long.
const SENDER_TIMEOUT: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The configuration without its text.
    pub head: Configuration,
    /// Whether the sender knows it to be chosen.
    pub chosen: bool,
    pub length: u32,
    pub offset: u32,
    #[serde(with = "crate::register::text")]
    pub bytes: Arc<[u8]>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceReceived {
    pub revision: u64,
    pub digest: u64,
    /// All bytes before this offset have been received.
    pub offset: u32,
    /// Another member is already sending it.
    pub busy: bool,
}

struct Outgoing {
    configuration: Configuration,
    chosen: bool,
    acknowledged: usize,
    /// Offset and send time of each piece sent, from `acknowledged` on.
    sent: BTreeMap<usize, Duration>,
    window: usize,
    progress_at: Duration,
    resend_at: Duration,
}

struct Assembling {
    head: Configuration,
    chosen: bool,
    length: usize,
    bytes: Vec<u8>,
    /// Pieces received before the ones preceding them.
    out_of_order: BTreeMap<usize, Arc<[u8]>>,
    from: SocketAddr,
    received_at: Duration,
}

#[derive(Default)]
pub(crate) struct Transfers {
    outgoing: BTreeMap<SocketAddr, Outgoing>,
    assembling: Option<Assembling>,
}

fn same_text(one: &Configuration, another_transfer: &Configuration) -> bool {
    one.revision == another_transfer.revision
        && (one.digest == another_transfer.digest || injected(Defect::MixesTwoTexts))
}

impl Transfers {
    /// Called when the receiver has restarted.
    pub fn forget(&mut self, to: SocketAddr) {
        self.outgoing.remove(&to);
    }

    pub fn due(&self) -> Option<Duration> {
        self.outgoing.values().map(|outgoing| outgoing.resend_at).min()
    }
}

impl ControlStore {
    /// Sends short texts in one message, others in pieces; a transfer to this member that is still running is
    /// finished first.
    pub(crate) fn send_configuration(
        &mut self,
        now: Duration,
        to: SocketAddr,
        configuration: Configuration,
        chosen: bool,
    ) {
        if configuration.text.len() <= MAX_UNSPLIT_BYTES || injected(Defect::SendsTextsUnsplit) {
            let message =
                if chosen { Message::Learn(configuration) } else { Message::Replicate(configuration) };
            return self.send(to, message);
        }
        // A transfer without any answer is replaced by a newer one.
        let runs = |running: &Outgoing| running.acknowledged > 0 || now < running.progress_at + RESEND_AFTER;
        if self.transfers.outgoing.get(&to).is_some_and(runs) {
            return;
        }
        let outgoing = Outgoing {
            configuration,
            chosen,
            acknowledged: 0,
            sent: BTreeMap::new(),
            window: MIN_IN_FLIGHT,
            progress_at: now,
            resend_at: now + RESEND_AFTER,
        };
        self.transfers.outgoing.insert(to, outgoing);
        self.send_pieces(now, to);
    }

    fn send_pieces(&mut self, now: Duration, to: SocketAddr) {
        let Some(outgoing) = self.transfers.outgoing.get_mut(&to) else { return };
        let text = outgoing.configuration.text.clone();
        let head = Configuration { text: Arc::from([]), ..outgoing.configuration.clone() };
        let chosen = outgoing.chosen;
        let mut pieces = Vec::new();
        let mut offset = outgoing.acknowledged;
        while offset < text.len() && outgoing.sent.len() < outgoing.window {
            let end = (offset + PIECE_BYTES).min(text.len());
            if let std::collections::btree_map::Entry::Vacant(entry) = outgoing.sent.entry(offset) {
                entry.insert(now);
                pieces.push(Piece {
                    head: head.clone(),
                    chosen,
                    length: text.len() as u32,
                    offset: offset as u32,
                    bytes: Arc::from(&text[offset..end]),
                });
            }
            offset = end;
        }
        for piece in pieces {
            self.send(to, Message::Piece(piece));
        }
    }

    pub(crate) fn receive_piece(&mut self, now: Duration, from: SocketAddr, piece: Piece) {
        let Piece { head, chosen, length, offset, bytes } = piece;
        let (start, whole) = (offset as usize, length as usize);
        let fits = start.checked_add(bytes.len()).is_some_and(|end| end <= whole && !bytes.is_empty());
        if length > MAX_TEXT_BYTES || !fits {
            return;
        }
        let received = |offset: usize, busy: bool| {
            let (revision, digest) = (head.revision, head.digest);
            Message::PieceReceived(PieceReceived { revision, digest, offset: offset as u32, busy })
        };
        // The same text may already be known under another ballot.
        if let Some(known) = self.register.find_text(&head.version()) {
            let configuration = Configuration { text: known.text.clone(), ..head.clone() };
            self.send(from, received(whole, false));
            return self.deliver_configuration(now, from, configuration, chosen);
        }
        if let Some(current) = &self.transfers.assembling {
            let same = same_text(&current.head, &head);
            let another_transfer = current.from != from || !same;
            if another_transfer && now < current.received_at + SENDER_TIMEOUT {
                let offset = if same { current.bytes.len() } else { 0 };
                return self.send(from, received(offset, true));
            }
        }
        let resumes = |current: &Assembling| same_text(&current.head, &head) && current.length == whole;
        if !self.transfers.assembling.as_ref().is_some_and(resumes) {
            self.transfers.assembling = Some(Assembling {
                head: head.clone(),
                chosen,
                length: whole,
                bytes: Vec::new(),
                out_of_order: BTreeMap::new(),
                from,
                received_at: now,
            });
        }
        let Some(current) = &mut self.transfers.assembling else { return };
        (current.from, current.received_at) = (from, now);
        if head.version() > current.head.version() {
            (current.head, current.chosen) = (head.clone(), chosen);
        }
        if start >= current.bytes.len() && current.out_of_order.len() < 2 * MAX_IN_FLIGHT {
            current.out_of_order.insert(start, bytes);
        }
        while let Some(entry) = current.out_of_order.first_entry() {
            if *entry.key() > current.bytes.len() {
                break;
            }
            let (start, bytes) = entry.remove_entry();
            let known = current.bytes.len() - start;
            current.bytes.extend_from_slice(bytes.get(known..).unwrap_or_default());
        }
        let offset = current.bytes.len();
        self.send(from, received(offset, false));
        if offset >= whole {
            self.deliver_assembled(now, from);
        }
    }

    fn deliver_assembled(&mut self, now: Duration, from: SocketAddr) {
        let Some(whole) = self.transfers.assembling.take() else { return };
        let mut configuration = Configuration { text: Arc::from(whole.bytes), ..whole.head };
        if injected(Defect::SkipsAssembledDigestCheck) {
            configuration.digest = digest(&configuration.text);
        }
        self.deliver_configuration(now, from, configuration, whole.chosen);
    }

    /// The digest is checked by the receiving function.
    fn deliver_configuration(
        &mut self,
        now: Duration,
        from: SocketAddr,
        configuration: Configuration,
        chosen: bool,
    ) {
        if chosen {
            self.receive_learn(now, configuration);
        } else {
            self.receive_replicate(now, from, configuration);
        }
    }

    pub(crate) fn receive_piece_received(&mut self, now: Duration, from: SocketAddr, reply: PieceReceived) {
        let held = self.register.held_version();
        let Some(outgoing) = self.transfers.outgoing.get_mut(&from) else { return };
        let sent = &outgoing.configuration;
        if sent.revision != reply.revision || sent.digest != reply.digest {
            return;
        }
        if reply.busy {
            // Another member is sending it.
            self.transfers.outgoing.remove(&from);
            return;
        }
        let (offset, length) = (reply.offset as usize, sent.text.len());
        if offset >= length {
            let newer = sent.version() < held;
            self.transfers.outgoing.remove(&from);
            if newer {
                self.send_copy(now, from, true);
            }
            return;
        }
        if offset > outgoing.acknowledged {
            if let Some(ack_delay) = outgoing.sent.first_key_value().map(|(_, at)| now.saturating_sub(*at)) {
                if ack_delay < FAST_ACK {
                    outgoing.window = (outgoing.window + 1).min(MAX_IN_FLIGHT);
                } else if ack_delay > SLOW_ACK {
                    outgoing.window = (outgoing.window - 1).max(MIN_IN_FLIGHT);
                }
            }
            outgoing.acknowledged = offset;
            outgoing.sent = outgoing.sent.split_off(&offset);
            outgoing.progress_at = now;
            outgoing.resend_at = now + RESEND_AFTER;
        }
        self.send_pieces(now, from);
    }

    pub(crate) fn step_transfers(&mut self, now: Duration) {
        self.transfers.outgoing.retain(|_, outgoing| now < outgoing.progress_at + TRANSFER_TIMEOUT);
        let mut timed_out = Vec::new();
        for (to, outgoing) in &mut self.transfers.outgoing {
            if now >= outgoing.resend_at {
                outgoing.resend_at = now + RESEND_AFTER;
                outgoing.window = MIN_IN_FLIGHT;
                outgoing.sent.clear();
                timed_out.push(*to);
            }
        }
        for to in timed_out {
            self.send_pieces(now, to);
        }
    }
}
