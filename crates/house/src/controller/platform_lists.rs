//! The platform's lists as the autoscaler takes them.

use crate::platform::{self, Failed, Platform};
use tindock_stacks::{Host, ListedInstance};

/// Bounds a list whose pages never end.
const MOST_PAGES: usize = 1000;
const DRAINING: &str = "draining";

/// The whole list of instances, page by page, or why a page failed. A list without end is none.
pub(super) async fn read_instances(platform: &Platform) -> Result<Vec<ListedInstance>, Failed> {
    let mut all = Vec::new();
    let mut token = None;
    for _ in 0..MOST_PAGES {
        let page = platform.instances(token.as_deref()).await?;
        all.extend(page.instances.into_iter().filter_map(listed));
        token = page.next_token;
        if token.is_none() {
            return Ok(all);
        }
    }
    Err(Failed::Unclear)
}

/// The worker machines.
pub(super) async fn read_hosts(platform: &Platform) -> Result<Vec<Host>, Failed> {
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
