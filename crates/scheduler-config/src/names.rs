//! The outer names of the decision module's indices.

#[derive(Clone, Debug, Default)]
pub struct Names {
    pub workloads: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub reports: Vec<String>,
}

/// Guards against lists that name ever more zones or kinds: tables are sized by them.
const MAX_NAMES: usize = 256;

/// The index of a name, which is added if it is new.
pub(crate) fn index(names: &mut Vec<String>, name: String) -> Result<usize, String> {
    if let Some(at) = names.iter().position(|n| *n == name) {
        return Ok(at);
    }
    if names.len() >= MAX_NAMES {
        return Err(format!("{name:?} is one zone or kind too many"));
    }
    names.push(name);
    Ok(names.len() - 1)
}

impl Names {
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
