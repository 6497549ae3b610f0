//! Configurations as an operator sends them.

use crate::history::Version;
use tindock_mock_services::demo::{classes, functions, routes};
use tindock_mock_services::operator::configuration;

/// The host of all routes.
pub const HOST: &str = "dispatch.example";

/// The path of a route that only texts of this variant have; a request to it shows which variant a proxy
/// serves.
pub fn variant_path(variant: u32) -> String {
    format!("/variant-{variant}/")
}

/// The configuration text of a revision. Variants of one revision differ, and each is valid.
pub fn text(revision: u64, variant: u32) -> String {
    let mut routes = routes(&classes());
    let mut marker = routes[0].clone();
    marker.name = format!("variant-{variant}");
    marker.path_prefix = variant_path(variant);
    routes.push(marker);
    configuration(revision, &routes, &functions())
}

/// The version of a text; none if no operator of these tests can have sent it.
pub fn version_of(shown: &str) -> Option<Version> {
    let revision = number_after(shown, "\"revision\":")?;
    let variant = u32::try_from(number_after(shown, "\"variant-")?).ok()?;
    (shown == text(revision, variant)).then_some(Version { revision, variant })
}

fn number_after(text: &str, key: &str) -> Option<u64> {
    let rest = &text[text.find(key)? + key.len()..];
    let digits = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..digits].parse().ok()
}

/// A well-formed text that must be rejected: its routes name services that do not exist.
pub fn invalid_text(revision: u64) -> String {
    configuration(revision, &routes(&classes()), &[])
}
