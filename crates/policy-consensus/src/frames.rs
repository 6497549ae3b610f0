//! Wire format between members, one frame per datagram: version, group, sender, recipient and payload.
//! Anything that is not exactly one frame is rejected.

use crate::types::{Digest, Id, Message};
use serde::{Deserialize, Serialize};

/// Fits into one datagram on common networks without fragmentation.
pub const MAX_FRAME_BYTES: usize = 1400;
const MAGIC: [u8; 2] = *b"tA";
/// Frames of another version are dropped, so a member that speaks one counts as not answering.
const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    #[serde(rename = "Say")]
    Consensus(Message),
    /// Asks for a piece of a text.
    #[serde(rename = "Want")]
    PieceRequest { digest: Digest, piece: u16 },
    /// A piece of a text; `whole` is the length of the whole text in bytes.
    #[serde(rename = "Text")]
    PieceReply { digest: Digest, piece: u16, whole: u32, bytes: Vec<u8> },
    /// Asks a scheduler that is not a member yet for its identity, by name.
    #[serde(rename = "Who")]
    IdentityRequest { nonce: u64, name: String },
    /// Answers with the name and with the group and number that the sender knows; its id is the frame's
    /// `from`.
    #[serde(rename = "Here")]
    IdentityReply { nonce: u64, name: String, group: u64, number: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// 0 in frames of a sender that belongs to no group yet.
    pub group: u64,
    pub from: Id,
    /// 0 if the id of the recipient is not known.
    pub to: Id,
    #[serde(rename = "word")]
    pub payload: Payload,
}

impl Frame {
    pub fn encode(&self) -> Vec<u8> {
        let start = [MAGIC[0], MAGIC[1], VERSION].to_vec();
        // Fails only if memory cannot be allocated, which ends the process in any case.
        postcard::to_extend(self, start).unwrap_or_default()
    }

    /// None if the frame is too long, has another version, or has trailing bytes.
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

    /// Guards against frames that exceed a datagram, and against an accidental change of the encoding.
    #[test]
    fn the_longest_payloads_fit_and_decode_unchanged() {
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
    fn a_malformed_frame_is_rejected() {
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
