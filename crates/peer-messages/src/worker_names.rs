//! Identifiers of workers in messages: every scheduler derives the same ones from addresses.

use crate::Address;
use std::collections::HashMap;

/// Workers by index, with their identifiers in messages.
#[derive(Default)]
pub struct WorkerNames {
    addresses: Vec<Option<Address>>,
    short_ids: Vec<Option<u16>>,
    by_address: HashMap<Address, usize>,
    by_short_id: HashMap<u16, Option<usize>>,
}

/// A hash that identifies a worker, the same at every scheduler.
pub fn hash(address: Address) -> u64 {
    let [a, b, c, d, e, f] = address;
    let bits = u64::from_le_bytes([a, b, c, d, e, f, 0, 0]);
    (bits ^ (bits >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl WorkerNames {
    /// Adds the next worker, by its address if that fits into a message; returns its hash.
    pub fn insert(&mut self, address: Option<Address>) -> u64 {
        let worker = self.addresses.len();
        self.addresses.push(address);
        self.short_ids.push(None);
        let Some(address) = address else { return 0 };
        self.by_address.insert(address, worker);
        let hash = hash(address);
        // Prevents mistaking one worker for another: of two with the same short id neither is announced.
        let short_id = (hash >> 48) as u16;
        match self.by_short_id.get_mut(&short_id) {
            None => {
                self.by_short_id.insert(short_id, Some(worker));
                self.short_ids[worker] = Some(short_id);
            }
            Some(known) => {
                if let Some(other) = known.take() {
                    self.short_ids[other] = None;
                }
            }
        }
        hash
    }

    /// The worker moved to another address: it is no longer announced.
    pub fn remove(&mut self, worker: usize) {
        if let Some(address) = self.addresses[worker].take() {
            self.by_address.remove(&address);
            if let Some(short_id) = self.short_ids[worker].take() {
                self.by_short_id.remove(&short_id);
            }
        }
    }

    pub fn address(&self, worker: usize) -> Option<Address> {
        self.addresses.get(worker).copied().flatten()
    }

    pub fn short_id(&self, worker: usize) -> Option<u16> {
        self.short_ids.get(worker).copied().flatten()
    }

    /// Only workers on this scheduler's list are known.
    pub fn worker(&self, address: Address) -> Option<usize> {
        self.by_address.get(&address).copied()
    }

    fn by_short_id(&self, short_id: [u8; 2]) -> Option<usize> {
        self.by_short_id.get(&u16::from_le_bytes(short_id)).copied().flatten()
    }

    /// The known workers in another scheduler's announcement, and the slots it uses there.
    pub fn resolve<'a>(&'a self, entries: &'a [[u8; 3]]) -> impl Iterator<Item = (usize, f64)> + 'a {
        entries.iter().filter_map(|&[a, b, slots]| Some((self.by_short_id([a, b])?, f64::from(slots))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn workers_with_the_same_short_id_are_not_announced() {
        let (mut names, mut seen) = (WorkerNames::default(), HashMap::new());
        let address = |n: u32| {
            let [a, b, c, d] = (n * n).wrapping_mul(2_654_435_761).wrapping_add(n).to_be_bytes();
            [a, b, c, d, 27, 88]
        };
        // By the birthday paradox, two of two thousand share one of 65,536.
        for n in 0..2000 {
            names.insert(Some(address(n)));
            seen.entry((hash(address(n)) >> 48) as u16).or_insert_with(Vec::new).push(n as usize);
        }
        assert!(
            seen.values().any(|same| same.len() > 1),
            "no two workers share a short id, so this test checks nothing"
        );
        for (short_id, same) in seen {
            let known = (same.len() == 1).then(|| same[0]);
            assert_eq!(names.by_short_id(short_id.to_le_bytes()), known);
            assert!(same.iter().all(|&w| names.short_id(w).is_some() == known.is_some()));
        }
        assert_eq!(names.worker(address(7)), Some(7));
        assert_eq!(names.worker(address(2000)), None);
        assert_eq!((names.insert(None), names.short_id(2000)), (0, None));
        names.remove(7);
        assert_eq!((names.worker(address(7)), names.address(7), names.short_id(7)), (None, None, None));
    }
}
