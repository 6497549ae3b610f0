//! Frames between members, one a datagram: version, group, who says it to whom, and a word. What is not exactly one is
//! none.

use crate::terms::{Digest, Id, Message};
use serde::{Deserialize, Serialize};

/// Fits a datagram on usual networks without being cut.
pub const LONGEST_FRAME: usize = 1400;
const MARK: [u8; 2] = *b"tA";
/// What reads another version drops it: a member that speaks it is as good as silent.
const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    Say(Message),
    /// Which piece of a text is wanted.
    Want {
        digest: Digest,
        piece: u16,
    },
    /// A piece, and the bytes of the whole.
    Text {
        digest: Digest,
        piece: u16,
        whole: u32,
        bytes: Vec<u8>,
    },
    /// Who are you? Asked by name, of who is no member yet.
    Who {
        nonce: u64,
        name: String,
    },
    /// The name, the life, and the group and number that it knows.
    Here {
        nonce: u64,
        name: String,
        group: u64,
        number: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// 0 for words of who belongs to none yet.
    pub group: u64,
    pub from: Id,
    /// 0 where the other's life is not known.
    pub to: Id,
    pub word: Word,
}

impl Frame {
    pub fn write(&self) -> Vec<u8> {
        let start = [MARK[0], MARK[1], VERSION].to_vec();
        // Only a full memory can fail here, and that ends the process in any case.
        postcard::to_extend(self, start).unwrap_or_default()
    }

    /// None for what is too long, of another version, or has anything before or after it.
    pub fn read(bytes: &[u8]) -> Option<Frame> {
        let [a, b, VERSION, rest @ ..] = bytes else { return None };
        if [*a, *b] != MARK || bytes.len() > LONGEST_FRAME {
            return None;
        }
        let (frame, over) = postcard::take_from_bytes(rest).ok()?;
        over.is_empty().then_some(frame)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fetching::PIECE;
    use crate::terms::{Ballot, LONGEST_REASON};

    fn frame(word: Word) -> Frame {
        Frame { group: u64::MAX, from: u64::MAX, to: 7, word }
    }

    /// Guards against frames that are cut on the way, and against words that no longer mean what they meant.
    #[test]
    fn the_longest_words_fit_and_are_read_again() {
        let (digest, ballot) = (Digest([255; 32]), Ballot { round: u64::MAX, by: u64::MAX });
        let words = [
            Word::Text { digest, piece: u16::MAX, whole: u32::MAX, bytes: vec![255; PIECE] },
            Word::Say(Message::Refused { number: u64::MAX, ballot, why: "x".repeat(LONGEST_REASON) }),
            Word::Say(Message::Promised { number: u64::MAX, ballot, accepted: Some((ballot, digest)) }),
        ];
        for word in words {
            let bytes = frame(word.clone()).write();
            assert!(bytes.len() <= LONGEST_FRAME, "{}", bytes.len());
            assert_eq!(Frame::read(&bytes), Some(frame(word)));
        }
        let kept = frame(Word::Say(Message::Renew { nonce: 3, number: 2, staged: None })).write();
        let was = [&b"tA\x01"[..], &[255; 9], &[1], &[255; 9], &[1], &[7, 0, 0, 3, 2, 0]].concat();
        assert_eq!(kept, was);
    }

    #[test]
    fn rubbish_is_no_frame() {
        let whole = frame(Word::Say(Message::Known { number: 3 })).write();
        for cut in 0..whole.len() {
            assert_eq!(Frame::read(&whole[..cut]), None);
        }
        let longer = [&whole[..], &[0]].concat();
        let other = [&b"tA\x02"[..], &whole[3..]].concat();
        let huge = [&whole[..], &vec![0; LONGEST_FRAME]].concat();
        for bytes in [longer, other, huge] {
            assert_eq!(Frame::read(&bytes), None);
        }
    }
}
