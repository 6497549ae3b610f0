//! Seeded fleets for tests and measurements: hosts of several sizes, some with accelerators, filled at random to a bit over
//! half, as starts and stops over a day leave them.

use std::time::Duration;

use oorandom::Rand32;

use crate::words::{Fleet, Function, Host, Instance, Resources, Separation};

/// A fleet of about so many instances, `used` of the hosts' memory taken.
pub fn sample_fleet(seed: u64, instances: usize, used: f64) -> Fleet {
    let mut chance = Rand32::new(seed);
    let mut pick = |list: &[u32]| list[chance.rand_range(0..list.len() as u32) as usize];
    let mut fleet = Fleet::default();
    let mut desired: Vec<usize> = Vec::new();
    let (mut total_mb, mut slices) = (0u64, 0u64);
    while desired.len() < instances {
        let f = fleet.functions.len();
        let urgent = pick(&[1, 0, 0]) == 1;
        let sliced = pick(&[1, 0, 0, 0, 0, 0]) == 1;
        let mb = if urgent { pick(&[512, 1024, 1024, 2048]) } else { pick(&[128, 192, 192, 256, 768]) };
        let n = (if urgent { pick(&[2, 3, 4, 6]) } else { pick(&[1, 1, 2, 5]) })
            .min((instances - desired.len()) as u32);
        let mut size = Resources::mb(mb);
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
        desired.extend((0..n).map(|_| f));
        total_mb += u64::from(mb * n);
        slices += u64::from(size.slices[0]) * u64::from(n);
    }
    let (mut room, mut has) = (0u64, 0u64);
    while (room as f64) * used < total_mb as f64
        || (has as f64) * used < slices as f64
        || fleet.hosts.len() < 6
    {
        let h = fleet.hosts.len();
        let mut total = Resources::mb(pick(&[4096, 7413, 8974, 8974, 16384]));
        if pick(&[1, 0, 0]) == 1 {
            total.slices[0] = pick(&[4, 8]) as u16;
        }
        room += u64::from(total.memory_mb);
        has += u64::from(total.slices[0]);
        let zone = format!("z{}", h % 3);
        fleet.hosts.push(Host { name: format!("w-{h}"), zone, total, free: total, up: true });
    }
    let hosts = fleet.hosts.len() as u32;
    let mut on = std::collections::HashSet::new();
    for (i, f) in desired.into_iter().enumerate() {
        let function = &fleet.functions[f];
        let first = chance.rand_range(0..hosts) as usize;
        // Urgent ones by turns over the zones, on hosts of their own, if chance finds some.
        let fits = |h: &usize, strict: bool| {
            let host = &fleet.hosts[*h];
            let apart = !function.urgent || !on.contains(&(f, *h)) && (!strict || h % 3 == i % 3);
            function.size.fits(&host.free) && apart
        };
        let around = || (0..hosts as usize).map(|n| (n + first) % hosts as usize);
        let Some(h) = around().find(|h| fits(h, true)).or_else(|| around().find(|h| fits(h, false))) else {
            continue;
        };
        on.insert((f, h));
        let host = &mut fleet.hosts[h];
        host.free = host.free.less(&function.size);
        fleet.instances.push(Instance {
            id: format!("i-{i}"),
            function: function.name.clone(),
            host: host.name.clone(),
            load: chance.rand_float() * 2.0,
            age: Duration::from_secs(u64::from(chance.rand_range(10..4000))),
            home_zone: host.zone.clone(),
            movable: true,
        });
    }
    // What found no place is not needed.
    for f in &mut fleet.functions {
        let n = fleet.instances.iter().filter(|i| i.function == f.name).count() as u32;
        (f.required, f.desired) = (f.required.min(n), f.desired.min(n));
    }
    fleet.expected_starts = vec![Resources::mb(2048)];
    fleet
}
