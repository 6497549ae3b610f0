//! The distribution of the instance list to agents: size of the list in memory and on the wire, size of a
//! change, and the cost of a relay for the agents that poll it.

use crate::report::Figure;
use crate::usage::{own_memory, timed};
use crate::Size;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tindock_instance_distribution::{InstanceUpdate, Listed, Mark, Relay, Replica};
use tindock_system_processes::messages::PeerMessage;
use tindock_system_processes::transport::frame;

/// Number of successive changes that are relayed.
const CHANGES: u64 = 40;
const TERM: u64 = 1;

/// The instance of this number; functions are assigned round-robin.
pub fn instance(number: usize, size: Size) -> Listed {
    let host = number % 500;
    let octets = [10, 200 + (host / 250) as u8, (host % 250) as u8, 1];
    Listed {
        instance: format!("i-{number:08x}"),
        service: Size::function(number % size.functions),
        at: SocketAddr::new(Ipv4Addr::from(octets).into(), 24_000 + (number / 500) as u16),
        zone: Size::zone(host).to_string(),
        host: format!("worker-{host:04}"),
        age: 60_000,
        ready: true,
        accepts_calls: true,
        replaces: None,
    }
}

/// The complete list, under the first version.
fn complete_list(size: Size) -> InstanceUpdate {
    InstanceUpdate {
        number: TERM,
        from: 0,
        whole: true,
        version: 1,
        entries: (0..size.instances).map(|number| instance(number, size)).collect(),
        ended: Vec::new(),
        tag: 1,
        numbers: (0..size.functions).map(|number| (Size::function(number), 1)).collect(),
        owners: None,
    }
}

/// The update for one started instance, following a version.
fn started(version: u64, size: Size) -> InstanceUpdate {
    let entry = Listed { ready: false, age: 0, ..instance(size.instances + version as usize, size) };
    let numbers = vec![(entry.service.clone(), 2)];
    InstanceUpdate {
        number: TERM,
        from: version,
        version: version + 1,
        entries: vec![entry],
        tag: 1,
        numbers,
        ..InstanceUpdate::default()
    }
}

/// Measures a relay that all schedulers poll, and one agent's copy.
pub fn run(size: Size) -> Vec<Figure> {
    let update = complete_list(size);
    let memory = own_memory();
    let mut replica = Replica::default();
    let (_, apply_time) = timed(|| replica.apply(Duration::ZERO, &update));
    let memory_used = own_memory() - memory;
    let (bytes, frame_time) = timed(|| frame(&PeerMessage::Instances(update.clone())).len());
    let piece_bytes = frame(&PeerMessage::Instances(started(1, size))).len();

    let agents: Vec<IpAddr> =
        (0..size.schedulers).map(|n| Ipv4Addr::from(0x0a00_0000 + n as u32).into()).collect();
    let mut relay = Relay::default();
    relay.apply(Duration::ZERO, update);
    let cursor = Mark { number: TERM, version: 1 };
    for agent in &agents {
        relay.handle_pull(Duration::ZERO, *agent, cursor);
    }
    let mut copies = 0;
    let (_, relay_time) = timed(|| {
        for version in 1..=CHANGES {
            relay.apply(Duration::from_millis(version), started(version, size));
            while let Some(copy) = relay.pull() {
                copies += copy.to.len();
            }
        }
    });
    let (_, full_list_time) = timed(|| {
        relay.handle_pull(Duration::from_millis(CHANGES + 1), agents[0], Mark::default());
        while relay.pull().is_some() {}
    });
    drop(replica);
    let ms = |span: Duration| span.as_secs_f64() * 1e3;
    vec![
        Figure::new("instances", size.instances as f64, ""),
        Figure::new("whole list between processes", bytes as f64, "B"),
        Figure::new("one start between processes", piece_bytes as f64, "B"),
        Figure::new("an agent's copy in memory", memory_used, "MiB"),
        Figure::new("agent takes the whole list", ms(apply_time), "ms"),
        Figure::new("relay packs the whole list", ms(frame_time), "ms"),
        Figure::new("relay hands on a change, an agent", ms(relay_time) * 1e3 / copies.max(1) as f64, "us"),
        Figure::new("relay makes the whole list for an agent", ms(full_list_time), "ms"),
    ]
}
