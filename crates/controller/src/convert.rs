//! Conversions between the configuration, the autoscaler's entries, the platform's list and the instances in
//! messages.

use std::time::Duration;
use tindock_autoscaler::{self as autoscaler, Entry, InstanceState, Service};
use tindock_configuration::Catalogue;
use tindock_instance_distribution::{InstanceUpdate, Listed};

/// The services of the configuration as the autoscaler needs them.
pub fn services(configuration: &Catalogue) -> Vec<Service> {
    let mut services: Vec<Service> = configuration
        .services
        .iter()
        .map(|service| Service {
            name: service.name.clone(),
            memory_mb: service.memory_mb,
            boot_ms: service.boot_ms,
            max_inflight: service.max_inflight,
            target_ms: u32::MAX,
            priority: u8::MAX,
            routed: false,
        })
        .collect();
    for route in &configuration.routes {
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let Some(service) = services.get_mut(share.service as usize) else { continue };
            service.target_ms = service.target_ms.min(route.target_latency_ms);
            service.priority = service.priority.min(route.priority);
            service.routed = true;
        }
    }
    services
}

/// Converts an entry of the autoscaler to its wire form, with an age instead of a time, as clocks differ.
pub fn entry_to_wire(now: Duration, entry: &Entry) -> Listed {
    let age = (now.as_millis() as u64).saturating_sub(entry.since_ms);
    Listed {
        instance: entry.instance.clone(),
        service: entry.service.clone(),
        at: entry.address,
        zone: entry.zone.clone(),
        host: entry.host.clone(),
        age: u32::try_from(age).unwrap_or(u32::MAX),
        ready: !matches!(entry.state, InstanceState::Starting),
        accepts_calls: matches!(entry.state, InstanceState::Starting | InstanceState::Ready),
        replaces: entry.replaces.clone(),
    }
}

/// Converts an instance from its wire form to an entry of the autoscaler.
pub fn entry_from_wire(now: Duration, listed: Listed) -> Entry {
    let state = match (listed.ready, listed.accepts_calls) {
        (false, _) => InstanceState::Starting,
        (true, true) => InstanceState::Ready,
        (true, false) => InstanceState::Draining,
    };
    Entry {
        instance: listed.instance,
        service: listed.service,
        address: listed.at,
        zone: listed.zone,
        host: listed.host,
        since_ms: (now.as_millis() as u64).saturating_sub(listed.age.into()),
        state,
        replaces: listed.replaces,
        version: 0,
    }
}

/// The platform's list in the form that agents receive while there is no lease holder.
pub fn platform_instances(listed: Vec<autoscaler::ListedInstance>) -> InstanceUpdate {
    let entries = listed.into_iter().map(|instance| Listed {
        instance: instance.instance,
        service: instance.service,
        at: instance.address,
        zone: instance.zone,
        host: instance.host,
        age: 0,
        ready: true,
        accepts_calls: !instance.draining,
        replaces: None,
    });
    InstanceUpdate { entries: entries.collect(), ..InstanceUpdate::default() }
}
