//! Fetches a proposal text in pieces from a member that has it. Pieces travel as datagrams, any of which may
//! be lost.

use crate::types::{Digest, Id};
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a piece.
pub const PIECE_BYTES: usize = 1200;
/// A policy takes a few kilobytes; longer texts are rejected.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Texts fetched at a time: a proposal and the one in force, with a reserve.
const MAX_TEXTS: usize = 8;
/// Pieces requested at a time; their replies fit into a socket's receive buffer.
const MAX_PIECES_IN_FLIGHT: usize = 16;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// A fetch fails if no new piece arrives within this time.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A piece to request from a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    pub from: Id,
    pub digest: Digest,
    pub piece: u16,
}

#[derive(Debug)]
struct PendingText {
    from: Id,
    /// Known once the first piece arrives.
    total_bytes: Option<usize>,
    pieces: BTreeMap<u16, Vec<u8>>,
    progress_at: Duration,
    requested_at: Option<Duration>,
}

impl PendingText {
    fn count(&self) -> u16 {
        self.total_bytes.map_or(1, |total| total.div_ceil(PIECE_BYTES).max(1) as u16)
    }

    fn missing(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.count()).filter(|piece| !self.pieces.contains_key(piece)).take(MAX_PIECES_IN_FLIGHT)
    }
}

/// Decides which pieces to request and assembles the texts. The host verifies that a text matches its digest.
#[derive(Debug, Default)]
pub struct TextFetcher {
    texts: BTreeMap<Digest, PendingText>,
}

impl TextFetcher {
    /// Returns false if too many fetches are in progress.
    pub fn request(&mut self, now: Duration, digest: Digest, from: Id) -> bool {
        if self.texts.len() >= MAX_TEXTS && !self.texts.contains_key(&digest) {
            return false;
        }
        let text = PendingText {
            from,
            total_bytes: None,
            pieces: BTreeMap::new(),
            progress_at: now,
            requested_at: None,
        };
        self.texts.entry(digest).or_insert(text);
        true
    }

    /// Returns the pieces to request now, and the texts whose fetch failed.
    pub fn tick(&mut self, now: Duration) -> (Vec<PieceRequest>, Vec<Digest>) {
        let stalled = |text: &PendingText| now >= text.progress_at + STALL_TIMEOUT;
        let failed = self.texts.iter().filter(|(_, text)| stalled(text)).map(|(digest, _)| *digest).collect();
        self.texts.retain(|_, text| !stalled(text));
        let mut pieces = Vec::new();
        for (&digest, text) in &mut self.texts {
            if text.requested_at.is_none_or(|at| now >= at + RETRY_INTERVAL) {
                text.requested_at = Some(now);
                pieces.extend(text.missing().map(|piece| PieceRequest { from: text.from, digest, piece }));
            }
        }
        (pieces, failed)
    }

    /// Stores a piece and returns the text once it is complete. Pieces that were not requested or do not fit
    /// are ignored.
    pub fn receive_piece(
        &mut self,
        now: Duration,
        from: Id,
        digest: Digest,
        piece: u16,
        whole: u32,
        bytes: Vec<u8>,
    ) -> Option<Vec<u8>> {
        let text = self.texts.get_mut(&digest).filter(|text| text.from == from)?;
        let whole = whole as usize;
        if whole > MAX_TEXT_BYTES || text.total_bytes.is_some_and(|known| known != whole) {
            return None;
        }
        let offset = usize::from(piece) * PIECE_BYTES;
        if offset > whole || bytes.len() != PIECE_BYTES.min(whole - offset) || offset == whole && whole > 0 {
            return None;
        }
        text.total_bytes = Some(whole);
        if text.pieces.insert(piece, bytes).is_none() {
            text.progress_at = now;
            // Requests the next pieces at once when the last one of the previous batch has arrived.
            if text.missing().next().is_some_and(|next| next > piece) {
                text.requested_at = None;
            }
        }
        if text.missing().next().is_some() {
            return None;
        }
        self.texts.remove(&digest).map(|text| text.pieces.into_values().flatten().collect())
    }

    /// When `tick` must be called next.
    pub fn next_tick(&self) -> Option<Duration> {
        let due = |text: &PendingText| {
            text.requested_at
                .map_or(Duration::ZERO, |at| at + RETRY_INTERVAL)
                .min(text.progress_at + STALL_TIMEOUT)
        };
        self.texts.values().map(due).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Guards against a text that is never completed, or is assembled wrongly, when pieces are lost,
    /// duplicated, reordered or unsolicited.
    #[test]
    fn a_text_is_assembled_from_lost_duplicated_and_reordered_pieces() {
        let text: Vec<u8> = (0..40 * PIECE_BYTES + 17).map(|n| (n * 7 % 251) as u8).collect();
        let digest = Digest([1; 32]);
        for seed in 0..50 {
            let mut rng = oorandom::Rand32::new(seed);
            let (mut fetching, mut now, mut received) = (TextFetcher::default(), Duration::ZERO, None);
            assert!(fetching.request(now, digest, 5));
            let mut in_flight: Vec<u16> = Vec::new();
            while received.is_none() {
                let (pieces, failed) = fetching.tick(now);
                assert!(failed.is_empty() && now < 60_000 * MS, "{seed}: {now:?}");
                in_flight.extend(pieces.iter().map(|piece| piece.piece));
                in_flight.sort_by_cached_key(|_| rng.rand_u32());
                for piece in std::mem::take(&mut in_flight) {
                    let offset = usize::from(piece) * PIECE_BYTES;
                    let bytes = text[offset..text.len().min(offset + PIECE_BYTES)].to_vec();
                    let whole = text.len() as u32;
                    assert_eq!(
                        fetching.receive_piece(now, 6, digest, piece, whole, bytes.clone()),
                        None,
                        "unknown sender"
                    );
                    assert_eq!(fetching.receive_piece(now, 5, digest, piece, whole, vec![1]), None, "cut");
                    match rng.rand_range(0..4) {
                        0 => {}
                        1 => in_flight.push(piece),
                        _ => {
                            received =
                                received.or(fetching.receive_piece(now, 5, digest, piece, whole, bytes))
                        }
                    }
                }
                now += 50 * MS;
            }
            assert_eq!(received.as_ref(), Some(&text), "{seed}");
            assert_eq!(fetching.next_tick(), None);
        }
    }

    /// Guards against a fetch that hangs on a member that is gone, and against unbounded memory use by
    /// requests.
    #[test]
    fn a_stalled_fetch_fails_and_concurrent_fetches_are_bounded() {
        let mut fetching = TextFetcher::default();
        for n in 0..MAX_TEXTS as u8 {
            assert!(fetching.request(Duration::ZERO, Digest([n; 32]), 5));
        }
        assert!(!fetching.request(Duration::ZERO, Digest([99; 32]), 5));
        assert_eq!(fetching.tick(Duration::ZERO).0.len(), MAX_TEXTS);
        assert_eq!(fetching.tick(STALL_TIMEOUT).1.len(), MAX_TEXTS);
        assert!(fetching.request(STALL_TIMEOUT, Digest([99; 32]), 5));
        let long = MAX_TEXT_BYTES as u32 + 1;
        assert_eq!(
            fetching.receive_piece(STALL_TIMEOUT, 5, Digest([99; 32]), 0, long, vec![0; PIECE_BYTES]),
            None
        );
    }
}
