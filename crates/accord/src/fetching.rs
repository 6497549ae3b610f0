//! A text is had in pieces, from whoever has it; who only sees datagrams may lose any of them.

use crate::types::{Digest, Id};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bytes of a piece.
pub const PIECE_BYTES: usize = 1200;
/// A policy is some kilobytes; what is longer is none.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Texts at a time: a proposal and what is in force, with some to spare.
const TEXTS: usize = 8;
/// Pieces asked for at a time: within what a socket holds.
const AT_ONCE: usize = 16;
const AGAIN: Duration = Duration::from_millis(100);
/// Without a single new piece in this time it cannot be had from there.
const PATIENCE: Duration = Duration::from_secs(1);

/// A piece to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRequest {
    pub from: Id,
    pub digest: Digest,
    pub piece: u16,
}

#[derive(Debug)]
struct Text {
    from: Id,
    /// Known with the first piece.
    whole: Option<usize>,
    pieces: BTreeMap<u16, Vec<u8>>,
    grew_at: Duration,
    asked_at: Option<Duration>,
}

impl Text {
    fn count(&self) -> u16 {
        self.whole.map_or(1, |whole| whole.div_ceil(PIECE_BYTES).max(1) as u16)
    }

    fn missing(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.count()).filter(|piece| !self.pieces.contains_key(piece)).take(AT_ONCE)
    }
}

/// Decides what to ask for, and puts texts together. Whether a text has its digest is for the host to see.
#[derive(Debug, Default)]
pub struct TextFetcher {
    texts: BTreeMap<Digest, Text>,
}

impl TextFetcher {
    /// False where too many are under way.
    pub fn request(&mut self, now: Duration, digest: Digest, from: Id) -> bool {
        if self.texts.len() >= TEXTS && !self.texts.contains_key(&digest) {
            return false;
        }
        let text = Text { from, whole: None, pieces: BTreeMap::new(), grew_at: now, asked_at: None };
        self.texts.entry(digest).or_insert(text);
        true
    }

    /// Pieces to be asked for now, and texts that cannot be had.
    pub fn tick(&mut self, now: Duration) -> (Vec<PieceRequest>, Vec<Digest>) {
        let late = |text: &Text| now >= text.grew_at + PATIENCE;
        let lost = self.texts.iter().filter(|(_, text)| late(text)).map(|(digest, _)| *digest).collect();
        self.texts.retain(|_, text| !late(text));
        let mut pieces = Vec::new();
        for (&digest, text) in &mut self.texts {
            if text.asked_at.is_none_or(|at| now >= at + AGAIN) {
                text.asked_at = Some(now);
                pieces.extend(text.missing().map(|piece| PieceRequest { from: text.from, digest, piece }));
            }
        }
        (pieces, lost)
    }

    /// A piece came; the text, once it is whole. What was not asked for, or does not fit, counts for nothing.
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
        if whole > MAX_TEXT_BYTES || text.whole.is_some_and(|known| known != whole) {
            return None;
        }
        let begins = usize::from(piece) * PIECE_BYTES;
        if begins > whole || bytes.len() != PIECE_BYTES.min(whole - begins) || begins == whole && whole > 0 {
            return None;
        }
        text.whole = Some(whole);
        if text.pieces.insert(piece, bytes).is_none() {
            text.grew_at = now;
            // What is still missing is asked for at once, as soon as what was asked for is there.
            if text.missing().next().is_some_and(|next| next > piece) {
                text.asked_at = None;
            }
        }
        if text.missing().next().is_some() {
            return None;
        }
        self.texts.remove(&digest).map(|text| text.pieces.into_values().flatten().collect())
    }

    /// When `tick` is due.
    pub fn next_tick(&self) -> Option<Duration> {
        let due =
            |text: &Text| text.asked_at.map_or(Duration::ZERO, |at| at + AGAIN).min(text.grew_at + PATIENCE);
        self.texts.values().map(due).min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Guards against a text that never becomes whole, or becomes another one, when pieces are lost, doubled, out of
    /// order or not those that were asked for.
    #[test]
    fn a_text_is_had_over_a_bad_way() {
        let text: Vec<u8> = (0..40 * PIECE_BYTES + 17).map(|n| (n * 7 % 251) as u8).collect();
        let digest = Digest([1; 32]);
        for seed in 0..50 {
            let mut chance = oorandom::Rand32::new(seed);
            let (mut fetching, mut now, mut got) = (TextFetcher::default(), Duration::ZERO, None);
            assert!(fetching.request(now, digest, 5));
            let mut flying: Vec<u16> = Vec::new();
            while got.is_none() {
                let (pieces, lost) = fetching.tick(now);
                assert!(lost.is_empty() && now < 60_000 * MS, "{seed}: {now:?}");
                flying.extend(pieces.iter().map(|piece| piece.piece));
                flying.sort_by_cached_key(|_| chance.rand_u32());
                for piece in std::mem::take(&mut flying) {
                    let begins = usize::from(piece) * PIECE_BYTES;
                    let bytes = text[begins..text.len().min(begins + PIECE_BYTES)].to_vec();
                    let whole = text.len() as u32;
                    assert_eq!(
                        fetching.receive_piece(now, 6, digest, piece, whole, bytes.clone()),
                        None,
                        "a stranger"
                    );
                    assert_eq!(fetching.receive_piece(now, 5, digest, piece, whole, vec![1]), None, "cut");
                    match chance.rand_range(0..4) {
                        0 => {}
                        1 => flying.push(piece),
                        _ => got = got.or(fetching.receive_piece(now, 5, digest, piece, whole, bytes)),
                    }
                }
                now += 50 * MS;
            }
            assert_eq!(got.as_ref(), Some(&text), "{seed}");
            assert_eq!(fetching.next_tick(), None);
        }
    }

    /// Guards against a fetch that hangs on one that is gone, and against room that strangers fill.
    #[test]
    fn what_cannot_be_had_is_given_up_and_few_are_had_at_once() {
        let mut fetching = TextFetcher::default();
        for n in 0..TEXTS as u8 {
            assert!(fetching.request(Duration::ZERO, Digest([n; 32]), 5));
        }
        assert!(!fetching.request(Duration::ZERO, Digest([99; 32]), 5));
        assert_eq!(fetching.tick(Duration::ZERO).0.len(), TEXTS);
        assert_eq!(fetching.tick(PATIENCE).1.len(), TEXTS);
        assert!(fetching.request(PATIENCE, Digest([99; 32]), 5));
        let long = MAX_TEXT_BYTES as u32 + 1;
        assert_eq!(
            fetching.receive_piece(PATIENCE, 5, Digest([99; 32]), 0, long, vec![0; PIECE_BYTES]),
            None
        );
    }
}
