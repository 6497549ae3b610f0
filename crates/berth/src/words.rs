//! The outside words for the module's indices.

#[derive(Clone, Debug, Default)]
pub struct Words {
    pub workloads: Vec<String>,
    pub customers: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub reports: Vec<String>,
}

/// Guards against lists that name zones or kinds without end: tables are kept by them.
const MOST_WORDS: usize = 256;

/// The index of a word, which is added if it is new.
pub(crate) fn index(words: &mut Vec<String>, word: String) -> Result<usize, String> {
    if let Some(at) = words.iter().position(|w| *w == word) {
        return Ok(at);
    }
    if words.len() >= MOST_WORDS {
        return Err(format!("{word:?} is one zone or kind too many"));
    }
    words.push(word);
    Ok(words.len() - 1)
}

impl Words {
    /// The index of a machine kind, added if it is new.
    pub fn kind(&mut self, kind: String) -> Result<usize, String> {
        index(&mut self.kinds, kind)
    }

    /// The indices of a zone and a kind, added if they are new.
    pub fn site(&mut self, zone: String, kind: String, cell: usize) -> Result<tindock::types::Site, String> {
        let (zone, kind) = (index(&mut self.zones, zone)?, index(&mut self.kinds, kind)?);
        Ok(tindock::types::Site { zone, cell, kind })
    }
}
