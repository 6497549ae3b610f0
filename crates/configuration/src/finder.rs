//! Finds the route of a request.

use std::borrow::Cow;
use std::collections::HashMap;

use crate::Catalogue;

/// Looks up routes by host and path, without iterating over all of them.
#[derive(Clone, Debug, Default)]
pub struct Finder {
    /// By host in lower case.
    hosts: HashMap<String, Prefixes>,
}

#[derive(Clone, Debug, Default)]
struct Prefixes {
    /// Length of the longest prefix; longer paths from clients are not searched beyond it.
    max_len: usize,
    routes: HashMap<String, usize>,
}

impl Finder {
    pub fn new(catalogue: &Catalogue) -> Finder {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (index, route) in catalogue.routes.iter().enumerate() {
            let host = hosts.entry(route.hostname.to_ascii_lowercase()).or_default();
            host.max_len = host.max_len.max(route.path_prefix.len());
            host.routes.insert(route.path_prefix.clone(), index);
        }
        Finder { hosts }
    }

    /// The index of the route for a `Host` header (in any case, with or without a port) and a path (with or
    /// without a query): the one with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = without_port(host);
        let host = match host.bytes().any(|b| b.is_ascii_uppercase()) {
            true => Cow::Owned(host.to_ascii_lowercase()),
            false => Cow::Borrowed(host),
        };
        let prefixes = self.hosts.get(host.as_ref())?;
        let path = path.split_once(['?', '#']).map_or(path, |(path, _)| path);
        let search_len = path.len().min(prefixes.max_len);
        // A prefix ends with a slash, so only slashes in the path can end one; a slash is always a whole
        // character.
        let slashes = (0..search_len).rev().filter(|&i| path.as_bytes()[i] == b'/');
        slashes.filter_map(|i| path.get(..=i)).find_map(|prefix| prefixes.routes.get(prefix).copied())
    }
}

/// Removes a port such as `:8080`; an IPv6 address in brackets keeps its colons.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port))
            if port.bytes().all(|b| b.is_ascii_digit()) && (!name.contains(':') || name.ends_with(']')) =>
        {
            name
        }
        _ => host,
    }
}
