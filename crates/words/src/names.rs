//! The workers' names in messages: the same at every scheduler without a word said.

use crate::Address;
use std::collections::HashMap;

/// Workers by index, with what stands for them in messages.
#[derive(Default)]
pub struct Names {
    addresses: Vec<Option<Address>>,
    shorts: Vec<Option<u16>>,
    by_address: HashMap<Address, usize>,
    by_short: HashMap<u16, Option<usize>>,
}

/// A number that stands for a worker at every scheduler.
pub fn mark(address: Address) -> u64 {
    let [a, b, c, d, e, f] = address;
    let word = u64::from_le_bytes([a, b, c, d, e, f, 0, 0]);
    (word ^ (word >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Names {
    /// The next worker, by its address if it has one that fits; gives its mark.
    pub fn enter(&mut self, address: Option<Address>) -> u64 {
        let worker = self.addresses.len();
        self.addresses.push(address);
        self.shorts.push(None);
        let Some(address) = address else { return 0 };
        self.by_address.insert(address, worker);
        let mark = mark(address);
        // Guards against taking one worker for another: of two with the same short name neither is told of.
        let short = (mark >> 48) as u16;
        match self.by_short.get_mut(&short) {
            None => {
                self.by_short.insert(short, Some(worker));
                self.shorts[worker] = Some(short);
            }
            Some(known) => {
                if let Some(other) = known.take() {
                    self.shorts[other] = None;
                }
            }
        }
        mark
    }

    /// The worker moved to another address: nothing is told of it any more.
    pub fn forget(&mut self, worker: usize) {
        if let Some(address) = self.addresses[worker].take() {
            self.by_address.remove(&address);
            if let Some(short) = self.shorts[worker].take() {
                self.by_short.remove(&short);
            }
        }
    }

    pub fn address(&self, worker: usize) -> Option<Address> {
        self.addresses.get(worker).copied().flatten()
    }

    pub fn short(&self, worker: usize) -> Option<u16> {
        self.shorts.get(worker).copied().flatten()
    }

    /// Only what the own list has named is known.
    pub fn worker(&self, address: Address) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    fn by_short(&self, short: [u8; 2]) -> Option<usize> {
        self.by_short.get(&u16::from_le_bytes(short)).copied().flatten()
    }

    /// The workers that another scheduler tells of, and its slots out there.
    pub fn told<'a>(&'a self, words: &'a [[u8; 3]]) -> impl Iterator<Item = (usize, f64)> + 'a {
        words.iter().filter_map(|&[a, b, slots]| Some((self.by_short([a, b])?, f64::from(slots))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_two_workers_with_one_short_name_neither_is_told_of() {
        let (mut names, mut seen) = (Names::default(), HashMap::new());
        let address = |n: u32| {
            let [a, b, c, d] = (n * n).wrapping_mul(2_654_435_761).wrapping_add(n).to_be_bytes();
            [a, b, c, d, 27, 88]
        };
        // By the birthday rule some two of two thousand share one of 65,536.
        for n in 0..2000 {
            names.enter(Some(address(n)));
            seen.entry((mark(address(n)) >> 48) as u16).or_insert_with(Vec::new).push(n as usize);
        }
        assert!(seen.values().any(|same| same.len() > 1), "a test that meets no clash shows nothing");
        for (short, same) in seen {
            let told = (same.len() == 1).then(|| same[0]);
            assert_eq!(names.by_short(short.to_le_bytes()), told);
            assert!(same.iter().all(|&w| names.short(w).is_some() == told.is_some()));
        }
        assert_eq!(names.worker(address(7)), Some(7));
        assert_eq!(names.worker(address(2000)), None);
        assert_eq!((names.enter(None), names.short(2000)), (0, None));
        names.forget(7);
        assert_eq!((names.worker(address(7)), names.address(7), names.short(7)), (None, None, None));
    }
}
