//! The identifier of a function in messages and tables.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

const SHORT_HASH_BYTES: usize = 4;
const ID_BYTES: usize = 16;

/// Identifies a function by its name: a short hash of the name, then the first 96 bits of its SHA-256 digest.
/// The short hash alone does not identify a function: two names of one configuration may share it. It is kept
/// because earlier releases name functions by it, and because it determines the owners of instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FunctionId([u8; ID_BYTES]);

impl FunctionId {
    /// Names no function.
    pub const NONE: FunctionId = FunctionId([0; ID_BYTES]);

    /// The identifier of the function with this name.
    pub fn of(name: &str) -> FunctionId {
        let mut id = FunctionId::with_short_hash(name_hash(name));
        let digest = Sha256::digest(name.as_bytes());
        id.0[SHORT_HASH_BYTES..].copy_from_slice(&digest[..ID_BYTES - SHORT_HASH_BYTES]);
        id
    }

    /// The least identifier with this short hash, which is that of no function: stands for a function that is
    /// known by its short hash alone.
    pub fn with_short_hash(short_hash: u32) -> FunctionId {
        let mut id = FunctionId::NONE;
        id.0[..SHORT_HASH_BYTES].copy_from_slice(&short_hash.to_be_bytes());
        id
    }

    /// The hash by which earlier releases name the function.
    pub fn short_hash(self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_be_bytes([a, b, c, d])
    }

    /// Whether only the short hash is known.
    pub fn is_short(self) -> bool {
        self == FunctionId::with_short_hash(self.short_hash())
    }
}

impl std::fmt::Display for FunctionId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// FNV-1a, 32 bits. Different names may have the same hash: where one stands for a name in a message, other
/// fields say which of them is meant.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
