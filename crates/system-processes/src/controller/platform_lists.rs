//! The platform's lists in the form of the autoscaler.

use crate::platform::{self, CallError, Platform};
use tindock_autoscaler::{Host, ListedInstance};

/// Protects against a list whose pages never end.
const MAX_PAGES: usize = 1000;
const DRAINING: &str = "draining";

/// Reads the whole list of instances, page by page; fails with the first error of a page, or after
/// `MAX_PAGES`.
pub(super) async fn read_instances(platform: &Platform) -> Result<Vec<ListedInstance>, CallError> {
    let mut all = Vec::new();
    let mut token = None;
    for _ in 0..MAX_PAGES {
        let page = platform.instance_page(token.as_deref()).await?;
        all.extend(page.instances.into_iter().filter_map(listed));
        token = page.next_token;
        if token.is_none() {
            return Ok(all);
        }
    }
    Err(CallError::OutcomeUnknown)
}

/// Reads the list of worker machines.
pub(super) async fn read_hosts(platform: &Platform) -> Result<Vec<Host>, CallError> {
    let pool = platform.hosts().await?;
    Ok(pool.worker_pool.into_iter().map(host).collect())
}

fn listed(instance: platform::Instance) -> Option<ListedInstance> {
    Some(ListedInstance {
        instance: instance.instance_id,
        service: instance.service,
        address: instance.address.parse().ok()?,
        zone: instance.zone.unwrap_or_default(),
        host: instance.worker_id.unwrap_or_default(),
        draining: instance.oper_state.as_deref() == Some(DRAINING),
    })
}

fn host(host: platform::Host) -> Host {
    Host {
        name: host.name,
        zone: host.zone.unwrap_or_default(),
        memory_mb: host.memory_mb.max(0.0) as u32,
        free_memory_mb: host.free_memory_mb.max(0.0) as u32,
        up: host.oper_state.as_deref() != Some(DRAINING),
    }
}
