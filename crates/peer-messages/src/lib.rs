//! Messages between schedulers, of at most 256 bytes. Each is sent once: a lost, late or duplicated
//! one is harmless, and the host drops one that cannot be decoded.

mod worker_names;

pub use worker_names::WorkerNames;

/// Packs announcements of slots in use on workers into common messages.
#[derive(Default)]
pub struct Announcements {
    number: u16,
    slots: Vec<(u16, f64)>,
}

impl Announcements {
    /// A worker without a short id is not announced.
    pub fn add(&mut self, id: Option<u16>, slots: f64) {
        self.slots.extend(id.map(|id| (id, slots)));
    }

    /// The messages since the last call, under a new number.
    pub fn messages(&mut self) -> Vec<Vec<u8>> {
        self.number = self.number.wrapping_add(u16::from(!self.slots.is_empty()));
        let messages = usage(self.number, &self.slots).collect();
        self.slots.clear();
        messages
    }
}

/// A worker's IPv4 address and port, in network byte order.
pub type Address = [u8; 6];

const GRANT: u8 = 1;
const USAGE: u8 = 2;
const SLOT_REQUEST: u8 = 3;
/// The maximum size of a message, and below it the workers that fit into one.
pub const MAX_MESSAGE_BYTES: usize = 256;
const MAX_WORKERS: usize = (MAX_MESSAGE_BYTES - 3) / 3;

/// Free slots of a worker are granted to the receiver.
pub fn grant(address: Address, slots: f64) -> [u8; 8] {
    let [a, b, c, d, e, f] = address;
    [GRANT, a, b, c, d, e, f, to_byte(slots)]
}

/// Tasks are queued at the sender: the receiver may grant it free slots.
pub fn slot_request() -> [u8; 1] {
    [SLOT_REQUEST]
}

fn to_byte(slots: f64) -> u8 {
    slots.clamp(0.0, 255.0) as u8
}

/// Announcements of slots in use on workers, by their short ids; `number` orders the messages.
fn usage(number: u16, in_use: &[(u16, f64)]) -> impl Iterator<Item = Vec<u8>> + '_ {
    in_use.chunks(MAX_WORKERS).map(move |chunk| {
        let [low, high] = number.to_le_bytes();
        let entries = chunk.iter().flat_map(|&(short_id, slots)| {
            let [a, b] = short_id.to_le_bytes();
            [a, b, to_byte(slots)]
        });
        [USAGE, low, high].into_iter().chain(entries).collect()
    })
}

#[derive(Debug, PartialEq)]
pub enum PeerMessage<'a> {
    /// The sender needs free slots.
    SlotRequest,
    /// Free slots of a worker are granted to the receiver.
    Grant(Address, f64),
    /// The message's number, which wraps, and slots in use on workers: a short id and a count, three bytes.
    Usage(u16, &'a [[u8; 3]]),
}

/// None for a message that is too short, too long or of another form, or that grants no slots.
pub fn decode(bytes: &[u8]) -> Option<PeerMessage<'_>> {
    match bytes {
        &[SLOT_REQUEST] => Some(PeerMessage::SlotRequest),
        &[GRANT, a, b, c, d, e, f, slots] if slots > 0 => {
            Some(PeerMessage::Grant([a, b, c, d, e, f], f64::from(slots)))
        }
        [USAGE, low, high, rest @ ..] => match rest.as_chunks::<3>() {
            (entries @ [_, ..], []) if entries.len() <= MAX_WORKERS => {
                Some(PeerMessage::Usage(u16::from_le_bytes([*low, *high]), entries))
            }
            _ => None,
        },
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_decode_to_what_was_encoded_and_invalid_ones_are_rejected() {
        let address = [10, 1, 2, 3, 7, 1];
        assert_eq!(decode(&grant(address, 2.0)), Some(PeerMessage::Grant(address, 2.0)));
        assert_eq!(decode(&slot_request()), Some(PeerMessage::SlotRequest));
        let in_use: Vec<(u16, f64)> = (0..90).map(|n| (n * 700, f64::from(n % 9))).collect();
        let messages: Vec<Vec<u8>> = usage(300, &in_use).collect();
        assert!(messages.len() == 2 && messages.iter().all(|m| m.len() <= MAX_MESSAGE_BYTES));
        let last = [0xb0, 0xe5, 3, 0x6c, 0xe8, 4, 0x28, 0xeb, 5, 0xe4, 0xed, 6, 0xa0, 0xf0, 7, 0x5c, 0xf3, 8];
        assert_eq!(decode(&messages[1]), Some(PeerMessage::Usage(300, last.as_chunks().0)));
        let long = [USAGE; 3 + 3 * (MAX_WORKERS + 1)];
        let invalid: [&[u8]; 9] = [
            &[],
            &[GRANT],
            &[USAGE, 1, 0],
            &[USAGE, 1, 0, 2, 3],
            &[USAGE, 1, 0, 2, 3, 4, 5],
            &[SLOT_REQUEST, 0],
            &[7; 8],
            &[GRANT; 9],
            &long,
        ];
        for bytes in invalid {
            assert_eq!(decode(bytes), None, "{bytes:?}");
        }
        assert_eq!(decode(&grant(address, 0.0)), None);
    }
}
