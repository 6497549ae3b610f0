//! Applies the group's policy to a scheduler's local configuration: workloads, tenants and the rules for
//! workers come from the group, everything else from the local file.

use crate::accord::text::ProposalText;
use std::path::{Path, PathBuf};
use tindock_scheduler_config::merging::merge_settings;
use tindock_scheduler_config::{parse, Layers, SchedulerConfig};

/// The configuration at `path` with the policy of a proposal text.
pub fn with_policy(path: &Path, layers: &Layers, text: &ProposalText) -> Result<SchedulerConfig, String> {
    let local = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let policy = PathBuf::from("policy").with_extension(&text.ending);
    let merged = merge_settings(path, &local, &policy, &text.policy)?;
    parse(path, &merged, layers).map(|(berth, _)| berth).map_err(|lines| lines.join("; "))
}

/// The settings that a group decides, as text, to compare two configurations.
pub fn fingerprint(berth: &SchedulerConfig) -> String {
    let words = &berth.names;
    format!("{:?} {:?} {:?} {:?}", berth.settings, words.workloads, words.tenants, words.reports)
}
