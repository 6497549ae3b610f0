//! A policy in the place of what a scheduler's own file says: workloads, customers and what workers are held to come
//! from the group, all else stays the file's.

use crate::accord::text::Text;
use std::path::{Path, PathBuf};
use tindock_berth::merging::merge_settings;
use tindock_berth::{parse, Layers, SchedulerConfig};

/// The configuration at `path` with the policy of a text in it.
pub fn over(path: &Path, layers: &Layers, text: &Text) -> Result<SchedulerConfig, String> {
    let own = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let policy = PathBuf::from("policy").with_extension(&text.ending);
    let whole = merge_settings(path, &own, &policy, &text.policy)?;
    parse(path, &whole, layers).map(|(berth, _)| berth).map_err(|lines| lines.join("; "))
}

/// What a configuration says of the things that a group decides, for a comparison.
pub fn says(berth: &SchedulerConfig) -> String {
    let words = &berth.names;
    format!("{:?} {:?} {:?} {:?}", berth.settings, words.workloads, words.tenants, words.reports)
}
