//! What schedulers tell one another, in messages of 256 bytes at the most. Words are told once: a lost, late or doubled
//! one is harmless, and one that cannot be read is dropped by the host.

mod names;

pub use names::Names;

/// Collects what is told of workers at one time into common messages.
#[derive(Default)]
pub struct Telling {
    number: u16,
    held: Vec<(u16, f64)>,
}

impl Telling {
    /// A worker that has no short name is not told of.
    pub fn add(&mut self, short: Option<u16>, slots: f64) {
        self.held.extend(short.map(|short| (short, slots)));
    }

    /// The messages of this time, under a number of their own.
    pub fn messages(&mut self) -> Vec<Vec<u8>> {
        self.number = self.number.wrapping_add(u16::from(!self.held.is_empty()));
        let messages = held(self.number, &self.held).collect();
        self.held.clear();
        messages
    }
}

/// A worker's address and port, first byte first.
pub type Address = [u8; 6];

const LEAVE: u8 = 1;
const HELD: u8 = 2;
const SEEK: u8 = 3;
/// The longest message, and the workers that one tells of.
pub const LONGEST: usize = 256;
const MOST: usize = (LONGEST - 3) / 3;

/// This many free slots of a worker are left to the receiver.
pub fn leave(address: Address, room: f64) -> [u8; 8] {
    let [a, b, c, d, e, f] = address;
    [LEAVE, a, b, c, d, e, f, whole(room)]
}

/// Tasks wait here: has the receiver room to leave?
pub fn seek() -> [u8; 1] {
    [SEEK]
}

fn whole(slots: f64) -> u8 {
    slots.clamp(0.0, 255.0) as u8
}

/// Messages of what is out at workers, by their short names, under a number that tells which is the newer one.
fn held(number: u16, out: &[(u16, f64)]) -> impl Iterator<Item = Vec<u8>> + '_ {
    out.chunks(MOST).map(move |chunk| {
        let [low, high] = number.to_le_bytes();
        let words = chunk.iter().flat_map(|&(short, slots)| {
            let [a, b] = short.to_le_bytes();
            [a, b, whole(slots)]
        });
        [HELD, low, high].into_iter().chain(words).collect()
    })
}

#[derive(Debug, PartialEq)]
pub enum Word<'a> {
    /// The sender looks for room.
    Seek,
    /// This many free slots of a worker are left to the receiver.
    Leave(Address, f64),
    /// The message's number, which wraps, and slots out at workers: a short name and a count, three bytes.
    Held(u16, &'a [[u8; 3]]),
}

/// None for what is short, long, of another form, or tells of no room.
pub fn read(bytes: &[u8]) -> Option<Word<'_>> {
    match bytes {
        &[SEEK] => Some(Word::Seek),
        &[LEAVE, a, b, c, d, e, f, room] if room > 0 => {
            Some(Word::Leave([a, b, c, d, e, f], f64::from(room)))
        }
        [HELD, low, high, rest @ ..] => match rest.as_chunks::<3>() {
            (words @ [_, ..], []) if words.len() <= MOST => {
                Some(Word::Held(u16::from_le_bytes([*low, *high]), words))
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
    fn what_is_told_is_read_again_and_rubbish_is_not() {
        let address = [10, 1, 2, 3, 7, 1];
        assert_eq!(read(&leave(address, 2.0)), Some(Word::Leave(address, 2.0)));
        assert_eq!(read(&seek()), Some(Word::Seek));
        let out: Vec<(u16, f64)> = (0..90).map(|n| (n * 700, f64::from(n % 9))).collect();
        let messages: Vec<Vec<u8>> = held(300, &out).collect();
        assert!(messages.len() == 2 && messages.iter().all(|m| m.len() <= LONGEST));
        let last = [0xb0, 0xe5, 3, 0x6c, 0xe8, 4, 0x28, 0xeb, 5, 0xe4, 0xed, 6, 0xa0, 0xf0, 7, 0x5c, 0xf3, 8];
        assert_eq!(read(&messages[1]), Some(Word::Held(300, last.as_chunks().0)));
        let long = [HELD; 3 + 3 * (MOST + 1)];
        let rubbish: [&[u8]; 9] = [
            &[],
            &[LEAVE],
            &[HELD, 1, 0],
            &[HELD, 1, 0, 2, 3],
            &[HELD, 1, 0, 2, 3, 4, 5],
            &[SEEK, 0],
            &[7; 8],
            &[LEAVE; 9],
            &long,
        ];
        for bytes in rubbish {
            assert_eq!(read(bytes), None, "{bytes:?}");
        }
        assert_eq!(read(&leave(address, 0.0)), None);
    }
}
