//! Properties of plans for random fleets, and defective plans that `check` must detect.

use rstest::rstest;
use tindock_instance_migration::*;

fn settings(seed: u64) -> PlanSettings {
    PlanSettings {
        host_cost_gb_s: if seed.is_multiple_of(3) { 0.0 } else { 1.1 },
        max_moves: [4, 12, 60][(seed % 3) as usize],
        max_probes: 60_000,
        ..PlanSettings::default()
    }
}

/// A fleet with a draining host, a host partly used by others or reporting too much free memory, or surplus
/// instances, and with an additional expected start.
fn fleet(seed: u64) -> Fleet {
    let mut f = sample_fleet(seed, 20 + (seed % 30) as usize, 0.45 + 0.5 * ((seed % 11) as f64 / 11.0));
    let hosts = f.hosts.len();
    match seed % 5 {
        1 => f.hosts[(seed as usize / 5) % hosts].up = false,
        2 => f.hosts[0].free = Resources::mb(f.hosts[0].free.memory_mb / 2),
        3 => f.hosts[0].free.memory_mb *= 3,
        4 => f.functions.iter_mut().filter(|f| !f.urgent).for_each(|f| (f.required, f.desired) = (0, 1)),
        _ => {}
    }
    f.expected_starts.push(Resources::mb(512 + 512 * (seed % 12) as u32));
    f
}

#[rstest]
#[case(Strategy::FirstFit, 0..5000)]
#[case(Strategy::FirstFit, 5000..10_000)]
#[case(Strategy::Cheapest, 0..5000)]
#[case(Strategy::Cheapest, 5000..10_000)]
#[case(Strategy::Search, 0..750)]
#[case(Strategy::Search, 750..1500)]
fn plans_violate_no_constraint(#[case] strategy: Strategy, #[case] seeds: std::ops::Range<u64>) {
    let (mut moves, mut stopped_first, mut made_room, mut exposed) = (0, 0, 0, 0);
    for seed in seeds {
        let (fleet, settings) = (fleet(seed), settings(seed));
        let plan = plan_with(&fleet, &settings, strategy, seed);
        assert_eq!(check(&fleet, &plan, settings.max_moves), Ok(()), "seed {seed}: {plan:#?}");
        moves += plan.moves.len();
        stopped_first += plan.moves.iter().filter(|m| matches!(m.mode, Mode::BreakBeforeMake { .. })).count();
        made_room += plan.before.unplaced_starts.saturating_sub(plan.after.unplaced_starts);
        exposed += plan.before.exposed - plan.after.exposed;
    }
    // The fleets exercise each part of the planner.
    assert!(moves > 1000 && made_room > 1 && exposed > 100, "{moves} {stopped_first} {made_room} {exposed}");
    println!(
        "{strategy:?}: {moves} moves, {stopped_first} stopped first, {made_room} starts, {exposed} drained"
    );
}

#[test]
fn same_seed_gives_the_same_plan() {
    let f = fleet(7);
    assert_eq!(plan(&f, &settings(7), 3), plan(&f, &settings(7), 3));
}

#[test]
fn search_is_never_worse_than_first_fit() {
    for seed in 0..200 {
        let (f, t) = (fleet(seed), settings(seed));
        let (a, b) = (plan_with(&f, &t, Strategy::FirstFit, seed), plan_with(&f, &t, Strategy::Search, seed));
        let key = |p: &Plan| (p.after.exposed, p.after.colocated, p.after.unplaced_starts);
        assert!(key(&b) < key(&a) || key(&b) == key(&a) && b.saving >= a.saving - 1e-9, "seed {seed}");
    }
}

fn small_fleet(hosts: &[(&str, u32)], functions: &[(&str, u32, bool)], at: &[(&str, &str)]) -> Fleet {
    let zone = |n: &str| n[..1].to_string();
    let mut fleet = Fleet {
        hosts: hosts
            .iter()
            .map(|(n, mb)| Host {
                name: n.to_string(),
                zone: zone(n),
                total: Resources::mb(*mb),
                free: Resources::mb(*mb),
                up: true,
            })
            .collect(),
        ..Fleet::default()
    };
    for (i, (f, h)) in at.iter().enumerate() {
        fleet.instances.push(Instance {
            id: format!("i{i}"),
            function: f.to_string(),
            host: h.to_string(),
            load: 1.0,
            age: std::time::Duration::from_secs(600),
            home_zone: zone(h),
            movable: true,
        });
    }
    for (n, mb, urgent) in functions {
        let count = at.iter().filter(|a| a.0 == *n).count() as u32;
        fleet.functions.push(Function {
            name: n.to_string(),
            size: Resources::mb(*mb),
            urgent: *urgent,
            required: count,
            desired: count,
            boot_ms: 1000,
            separation: if *urgent { Separation::HOST } else { Separation::empty() },
        });
    }
    fleet
}

#[test]
fn instances_swap_only_if_one_can_be_stopped_first() {
    // The expected start needs `book` to leave `a1`. It fits on `a2` only without `batch`, which fits only
    // where `book` was.
    let mut fleet = small_fleet(
        &[("a1", 1024), ("a2", 700)],
        &[("book", 512, true), ("batch", 400, false)],
        &[("book", "a1"), ("batch", "a2")],
    );
    fleet.instances.push(Instance { id: "x".into(), function: "log".into(), ..fleet.instances[1].clone() });
    fleet.instances[2].host = "a1".into();
    fleet.functions.push(Function {
        name: "log".into(),
        size: Resources::mb(200),
        ..fleet.functions[1].clone()
    });
    fleet.functions[2].boot_ms = 1;
    fleet.instances[2].movable = false;
    fleet.expected_starts = vec![Resources::mb(400)];
    let p = plan(&fleet, &PlanSettings::default(), 1);
    assert_eq!(check(&fleet, &p, 24), Ok(()));
    assert_eq!(
        (p.before.unplaced_starts, p.after.unplaced_starts),
        (1, 0),
        "312 were free, then 424: {p:#?}"
    );
    assert_eq!(p.moves[0].mode, Mode::BreakBeforeMake { begin_after: 1 });
    assert!(!p.moves[0].urgent && p.moves[1].urgent && p.moves[1].mode == Mode::MakeBeforeBreak);
    let mut without_swaps = PlanSettings { allow_break_before_make: false, ..PlanSettings::default() };
    without_swaps.max_moves = 10;
    assert!(plan(&fleet, &without_swaps, 1).moves.is_empty());
}

#[test]
fn slices_limit_placement_like_memory() {
    let mut fleet =
        small_fleet(&[("a1", 4096), ("a2", 4096), ("a3", 4096)], &[("f", 512, true)], &[("f", "a1")]);
    fleet.functions[0].size.slices[0] = 2;
    for (h, n) in [(0, 4), (1, 1), (2, 2)] {
        fleet.hosts[h].total.slices[0] = n;
        fleet.hosts[h].free.slices[0] = n;
    }
    fleet.hosts[0].up = false;
    let p = plan(&fleet, &PlanSettings::default(), 1);
    assert_eq!(p.moves.len(), 1);
    assert_eq!(p.moves[0].to.as_deref(), Some("a3"), "one slice is too few on a2");
}

#[test]
fn no_move_to_save_where_hosts_cost_nothing() {
    let fleet = sample_fleet(3, 100, 0.4);
    let mut calm = fleet.clone();
    calm.expected_starts.clear();
    calm.functions.iter_mut().for_each(|f| f.separation = Separation::empty());
    assert!(plan(&calm, &PlanSettings::default(), 1).moves.is_empty());
}

/// Guards against `check` accepting a plan with an injected defect.
#[rstest]
#[case::swapped_order(0)]
#[case::moved_twice(1)]
#[case::into_a_draining_host(2)]
#[case::urgent_stopped_first(3)]
#[case::urgent_without_target(4)]
#[case::onto_a_full_host(5)]
fn defective_plans_are_rejected(#[case] defect: usize) {
    let (mut found, mut injected) = (0, 0);
    for seed in 0..400 {
        let (mut f, t) = (
            fleet(seed),
            PlanSettings {
                max_moves: 60,
                host_cost_gb_s: 1.1,
                max_probes: 60_000,
                ..PlanSettings::default()
            },
        );
        let mut p = plan_with(&f, &t, Strategy::Cheapest, seed);
        let chain = p.moves.windows(2).position(|w| w[1].to.as_ref() == Some(&w[0].from));
        let Some(n) = p.moves.iter().position(|m| m.urgent && m.to.is_some()) else { continue };
        match defect {
            0 => match chain {
                Some(n) => p.moves.swap(n, n + 1),
                None => continue,
            },
            1 => p.moves.push(p.moves[n].clone()),
            2 => f
                .hosts
                .iter_mut()
                .filter(|h| Some(&h.name) == p.moves[n].to.as_ref())
                .for_each(|h| h.up = false),
            3 => p.moves[n].mode = Mode::BreakBeforeMake { begin_after: n + 1 },
            4 => p.moves[n].to = None,
            _ => {
                let to = p.moves[n].to.clone();
                if p.moves[..n].iter().any(|m| Some(&m.from) == to.as_ref()) {
                    continue;
                }
                f.hosts
                    .iter_mut()
                    .filter(|h| Some(&h.name) == to.as_ref())
                    .for_each(|h| h.free = Resources::mb(100));
            }
        }
        injected += 1;
        found += u32::from(check(&f, &p, 60 + 1).is_err());
    }
    // Two consecutive moves need not depend on each other.
    assert!(injected > 5 && (found == injected || defect == 0 && found > 0), "{found} of {injected}");
}
