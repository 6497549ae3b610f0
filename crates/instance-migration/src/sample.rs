//! Random fleets for tests and benchmarks: hosts of several sizes, some with accelerators, filled at random
//! to a little over half, similar to a fleet after a day of starts and stops.

use std::time::Duration;

use oorandom::Rand32;

use crate::types::{Fleet, Function, Host, Instance, Resources, Separation};

/// A fleet of about `instances` instances that use the share `used` of the hosts' memory.
pub fn sample_fleet(seed: u64, instances: usize, used: f64) -> Fleet {
    let mut rng = Rand32::new(seed);
    let mut pick = |list: &[u32]| list[rng.rand_range(0..list.len() as u32) as usize];
    let mut fleet = Fleet::default();
    let mut function_of_instance: Vec<usize> = Vec::new();
    let (mut total_mb, mut slices) = (0u64, 0u64);
    while function_of_instance.len() < instances {
        let f = fleet.functions.len();
        let urgent = pick(&[1, 0, 0]) == 1;
        let sliced = pick(&[1, 0, 0, 0, 0, 0]) == 1;
        let size_mb = if urgent { pick(&[512, 1024, 1024, 2048]) } else { pick(&[128, 192, 192, 256, 768]) };
        let n = (if urgent { pick(&[2, 3, 4, 6]) } else { pick(&[1, 1, 2, 5]) })
            .min((instances - function_of_instance.len()) as u32);
        let mut size = Resources::mb(size_mb);
        if sliced {
            size.slices[0] = pick(&[1, 1, 2]) as u16;
        }
        fleet.functions.push(Function {
            name: format!("f{f}"),
            size,
            urgent,
            required: n,
            desired: n,
            boot_ms: if urgent { 1400 } else { 900 },
            separation: if urgent { Separation::HOST | Separation::ZONE } else { Separation::empty() },
        });
        function_of_instance.extend((0..n).map(|_| f));
        total_mb += u64::from(size_mb * n);
        slices += u64::from(size.slices[0]) * u64::from(n);
    }
    let (mut capacity_mb, mut capacity_slices) = (0u64, 0u64);
    while (capacity_mb as f64) * used < total_mb as f64
        || (capacity_slices as f64) * used < slices as f64
        || fleet.hosts.len() < 6
    {
        let h = fleet.hosts.len();
        let mut total = Resources::mb(pick(&[4096, 7413, 8974, 8974, 16384]));
        if pick(&[1, 0, 0]) == 1 {
            total.slices[0] = pick(&[4, 8]) as u16;
        }
        capacity_mb += u64::from(total.memory_mb);
        capacity_slices += u64::from(total.slices[0]);
        let zone = format!("z{}", h % 3);
        fleet.hosts.push(Host { name: format!("w-{h}"), zone, total, free: total, up: true });
    }
    let hosts = fleet.hosts.len() as u32;
    let mut occupied = std::collections::HashSet::new();
    for (i, f) in function_of_instance.into_iter().enumerate() {
        let function = &fleet.functions[f];
        let first = rng.rand_range(0..hosts) as usize;
        // Instances of urgent functions alternate between the zones and avoid sharing a host where possible.
        let fits = |h: &usize, strict: bool| {
            let host = &fleet.hosts[*h];
            let apart = !function.urgent || !occupied.contains(&(f, *h)) && (!strict || h % 3 == i % 3);
            function.size.fits_in(&host.free) && apart
        };
        let hosts_from_first = || (0..hosts as usize).map(|n| (n + first) % hosts as usize);
        let Some(h) = hosts_from_first()
            .find(|h| fits(h, true))
            .or_else(|| hosts_from_first().find(|h| fits(h, false)))
        else {
            continue;
        };
        occupied.insert((f, h));
        let host = &mut fleet.hosts[h];
        host.free = host.free.minus(&function.size);
        fleet.instances.push(Instance {
            id: format!("i-{i}"),
            function: function.name.clone(),
            host: host.name.clone(),
            load: rng.rand_float() * 2.0,
            age: Duration::from_secs(u64::from(rng.rand_range(10..4000))),
            home_zone: host.zone.clone(),
            movable: true,
        });
    }
    // Instances that were not placed are not required.
    for f in &mut fleet.functions {
        let n = fleet.instances.iter().filter(|i| i.function == f.name).count() as u32;
        (f.required, f.desired) = (f.required.min(n), f.desired.min(n));
    }
    fleet.expected_starts = vec![Resources::mb(2048)];
    fleet
}
