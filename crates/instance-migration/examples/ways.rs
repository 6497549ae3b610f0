//! Benchmark of the three planning strategies on random fleets: packing, number of moves, time.
//!
//!     cargo run --release -p tindock-instance-migration --example ways

use std::time::Instant;

use tindock_instance_migration::{
    best_known, check, lower_bound, plan_with, sample_fleet, PlanSettings, Strategy,
};

fn main() {
    println!(
        "| instances | hosts | moves allowed | strategy | open GB | over lower bound | \
         over best known | moves | double GB·s | ms, median | ms, worst |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (size, seeds, tries) in [(40, 20, 3000), (1000, 5, 60), (10_000, 2, 6)] {
        for limit in [size / 5, size * 2] {
            let fleets: Vec<_> = (1..=seeds).map(|s| sample_fleet(s, size, 0.55)).collect();
            let settings = PlanSettings { host_cost_gb_s: 1.1, max_moves: limit, ..PlanSettings::default() };
            let now: f64 = fleets
                .iter()
                .map(|f| plan_with(f, &PlanSettings::default(), Strategy::FirstFit, 1).before.open_mb as f64)
                .sum();
            let lower: f64 = fleets.iter().map(|f| lower_bound(f) as f64).sum();
            let strategies = [Strategy::FirstFit, Strategy::Cheapest, Strategy::Search];
            let plans: Vec<Vec<_>> = strategies
                .iter()
                .map(|strategy| {
                    fleets
                        .iter()
                        .enumerate()
                        .map(|(n, f)| {
                            let start = Instant::now();
                            let p = plan_with(f, &settings, *strategy, n as u64);
                            let ms = start.elapsed().as_secs_f64() * 1e3;
                            if let Err(violation) = check(f, &p, limit) {
                                println!("broken: {strategy:?} {size} seed {n}: {violation:?}");
                            }
                            (p, ms)
                        })
                        .collect()
                })
                .collect();
            let best: f64 = fleets
                .iter()
                .enumerate()
                .map(|(n, f)| {
                    let from_scratch = best_known(f, tries, 7).unwrap_or(u64::MAX);
                    plans.iter().map(|w| w[n].0.after.open_mb).fold(from_scratch, u64::min) as f64
                })
                .sum();
            let hosts = fleets.iter().map(|f| f.hosts.len()).sum::<usize>() / fleets.len();
            let n = fleets.len() as f64;
            println!(
                "| {size} | {hosts} | | before | {:.1} | {:.3} | {:.3} | | | | |",
                now / n / 1024.0,
                now / lower,
                now / best
            );
            for (strategy, plans) in strategies.iter().zip(&plans) {
                let open: f64 = plans.iter().map(|p| p.0.after.open_mb as f64).sum();
                let mut ms: Vec<f64> = plans.iter().map(|p| p.1).collect();
                ms.sort_by(f64::total_cmp);
                let moves: usize = plans.iter().map(|p| p.0.moves.len()).sum();
                let double: f64 = plans.iter().map(|p| p.0.overlap_mb_s as f64).sum();
                println!(
                    "| {size} | {hosts} | {limit} | {strategy:?} | {:.1} | {:.3} | {:.3} | \
                     {:.1} | {:.1} | {:.2} | {:.2} |",
                    open / n / 1024.0,
                    open / lower,
                    open / best,
                    moves as f64 / n,
                    double / n / 1024.0,
                    ms[ms.len() / 2],
                    ms[ms.len() - 1]
                );
            }
        }
    }
}
