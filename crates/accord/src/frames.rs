//! Frames between members, one a datagram: version, group, who says it to whom, and a word. What is not exactly one is
//! none.

use crate::types::{Digest, Id, Message};
use serde::{Deserialize, Serialize};

/// Fits a datagram on usual networks without being cut.
pub const MAX_FRAME_BYTES: usize = 1400;
const MAGIC: [u8; 2] = *b"tA";
/// What reads another version drops it: a member that speaks it is as good as silent.
const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    #[serde(rename = "Say")]
    Consensus(Message),
    /// Which piece of a text is wanted.
    #[serde(rename = "Want")]
    PieceRequest { digest: Digest, piece: u16 },
    /// A piece, and the bytes of the whole.
    #[serde(rename = "Text")]
    PieceReply { digest: Digest, piece: u16, whole: u32, bytes: Vec<u8> },
    /// Who are you? Asked by name, of who is no member yet.
    #[serde(rename = "Who")]
    IdentityRequest { nonce: u64, name: String },
    /// The name, the life, and the group and number that it knows.
    #[serde(rename = "Here")]
    IdentityReply { nonce: u64, name: String, group: u64, number: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// 0 for words of who belongs to none yet.
    pub group: u64,
    pub from: Id,
    /// 0 where the other's life is not known.
    pub to: Id,
    #[serde(rename = "word")]
    pub payload: Payload,
}

impl Frame {
    pub fn encode(&self) -> Vec<u8> {
        let start = [MAGIC[0], MAGIC[1], VERSION].to_vec();
        // Only a full memory can fail here, and that ends the process in any case.
        postcard::to_extend(self, start).unwrap_or_default()
    }

    /// None for what is too long, of another version, or has anything before or after it.
    pub fn decode(bytes: &[u8]) -> Option<Frame> {
        let [a, b, VERSION, rest @ ..] = bytes else { return None };
        if [*a, *b] != MAGIC || bytes.len() > MAX_FRAME_BYTES {
            return None;
        }
        let (frame, over) = postcard::take_from_bytes(rest).ok()?;
        over.is_empty().then_some(frame)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fetching::PIECE_BYTES;
    use crate::types::{Ballot, MAX_REASON_BYTES};

    fn frame(payload: Payload) -> Frame {
        Frame { group: u64::MAX, from: u64::MAX, to: 7, payload }
    }

    /// Guards against frames that are cut on the way, and against words that no longer mean what they meant.
    #[test]
    fn the_longest_words_fit_and_are_read_again() {
        let (digest, ballot) = (Digest([255; 32]), Ballot { round: u64::MAX, by: u64::MAX });
        let payloads = [
            Payload::PieceReply { digest, piece: u16::MAX, whole: u32::MAX, bytes: vec![255; PIECE_BYTES] },
            Payload::Consensus(Message::Refused {
                number: u64::MAX,
                ballot,
                why: "x".repeat(MAX_REASON_BYTES),
            }),
            Payload::Consensus(Message::Promised {
                number: u64::MAX,
                ballot,
                accepted: Some((ballot, digest)),
            }),
        ];
        for payload in payloads {
            let bytes = frame(payload.clone()).encode();
            assert!(bytes.len() <= MAX_FRAME_BYTES, "{}", bytes.len());
            assert_eq!(Frame::decode(&bytes), Some(frame(payload)));
        }
        let encoded =
            frame(Payload::Consensus(Message::Renew { nonce: 3, number: 2, staged: None })).encode();
        let expected = [&b"tA\x01"[..], &[255; 9], &[1], &[255; 9], &[1], &[7, 0, 0, 3, 2, 0]].concat();
        assert_eq!(encoded, expected);
    }

    #[test]
    fn rubbish_is_no_frame() {
        let whole = frame(Payload::Consensus(Message::Known { number: 3 })).encode();
        for cut in 0..whole.len() {
            assert_eq!(Frame::decode(&whole[..cut]), None);
        }
        let longer = [&whole[..], &[0]].concat();
        let other = [&b"tA\x02"[..], &whole[3..]].concat();
        let huge = [&whole[..], &vec![0; MAX_FRAME_BYTES]].concat();
        for bytes in [longer, other, huge] {
            assert_eq!(Frame::decode(&bytes), None);
        }
    }
}
