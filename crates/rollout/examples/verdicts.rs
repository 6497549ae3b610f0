//! How often each method of comparison stops a harmless change or misses a harmful one, and how long it
//! takes, over seeded runs in simulated time:
//! `cargo run --release -p tindock-rollout --example verdicts [RUNS [PLOT.svg]]`.
//!
//! Part one: one changed scheduler of six, watched for 20 s at two samples a second. Part two: the whole
//! state machine.

use oorandom::Rand64;
use std::time::Duration;
use tindock_rollout::planning::by_shares;
use tindock_rollout::{
    Count, Harm, Observation, Order, Outcome, PairedComparison, Plan, Reason, Rollout, SettingsVersion,
    State, TaskTotals,
};

const SAMPLE_S: f64 = 0.5;
const MEMBERS: usize = 6;
const WORSE_BY: f64 = 0.05;
const ERROR: f64 = 0.01;

/// How schedulers behave apart from the change.
#[derive(Clone, Copy)]
enum Conditions {
    /// All alike, 2% unfinished.
    Even,
    /// One in three loses 10% all the time.
    Uneven,
    /// Each loses 60% in one sample of forty, independently.
    Bursts,
    /// All lose 40% together in one sample of eight.
    SharedLoss,
}

impl Conditions {
    /// The share that all lose in this sample, if any.
    fn shared_loss(self, rng: &mut Rand64) -> Option<f64> {
        matches!(self, Conditions::SharedLoss).then(|| if rng.rand_range(0..8) == 0 { 0.4 } else { 0.02 })
    }
}

/// Tasks that ended in one sample.
fn count(rng: &mut Rand64, rate: f64, share: f64) -> Count {
    let tasks = (0..(2.0 * rate * SAMPLE_S).round() as usize).filter(|_| rng.rand_float() < 0.5).count();
    let unfinished = (0..tasks).filter(|_| rng.rand_float() < share).count();
    Count { ended: tasks as u64, unfinished: unfinished as u64 }
}

fn share(conditions: Conditions, who: usize, first: usize, rng: &mut Rand64) -> f64 {
    match conditions {
        Conditions::Even | Conditions::SharedLoss => 0.02,
        Conditions::Uneven => [0.10, 0.02, 0.02][(who + first) % 3],
        Conditions::Bursts if rng.rand_range(0..40) == 0 => 0.6,
        Conditions::Bursts => 0.02,
    }
}

type Method = (&'static str, fn(&Harm) -> bool);

const METHODS: [Method; 3] = [
    ("fixed margin", |harm| harm.share >= WORSE_BY),
    ("two samples at each poll", |harm| harm.share / harm.std_dev >= 2.33),
    ("always valid", |harm| harm.is_worse(WORSE_BY, ERROR)),
];

/// When each method reports a harm, in seconds of the watch.
fn watch(conditions: Conditions, rate: f64, harm: f64, seed: u64) -> [Option<f64>; 3] {
    let mut rng = Rand64::new(u128::from(seed));
    let first = rng.rand_range(0..3) as usize;
    let (mut pairs, mut past) = (PairedComparison::default(), PairedComparison::default());
    let (mut stopped_at, mut baseline_end) = ([None; 3], None);
    for sample in 0..=160 {
        // Baseline: six seconds, or until the state machine would begin its first stage; then twenty seconds
        // of watching.
        if baseline_end.is_none() && (sample >= 12 && past.std_dev() <= 0.25 * WORSE_BY || sample == 120) {
            baseline_end = Some(sample);
        }
        let before = baseline_end.is_none();
        if baseline_end.is_some_and(|baseline_end| sample >= baseline_end + 40) {
            break;
        }
        let (mut changed, mut rest) = (Count::default(), Count::default());
        let shared_loss = conditions.shared_loss(&mut rng);
        for who in 0..MEMBERS {
            let worse = if who == 0 && !before { harm } else { 0.0 };
            let share = shared_loss.unwrap_or_else(|| share(conditions, who, first, &mut rng)) + worse;
            *(if who == 0 { &mut changed } else { &mut rest }) += count(&mut rng, rate, share);
        }
        if before { &mut past } else { &mut pairs }.add(changed, rest);
        if let Some(harm) = pairs.harm(&past).filter(|_| !before) {
            for (stopped_at, (_, method)) in stopped_at.iter_mut().zip(METHODS) {
                if stopped_at.is_none() && method(&harm) {
                    *stopped_at = Some((sample + 1 - baseline_end.unwrap_or(0)) as f64 * SAMPLE_S);
                }
            }
        }
    }
    stopped_at
}

fn median(mut times: Vec<f64>) -> String {
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).map_or("-".into(), |t| format!("{t:.1}"))
}

/// The whole state machine over six schedulers: how it ended, how many were ever changed, and the duration.
fn run(conditions: Conditions, rate: f64, harm: f64, seed: u64) -> (State, usize, f64) {
    let mut rng = Rand64::new(u128::from(seed) + (1 << 40));
    let first = rng.rand_range(0..3) as usize;
    let plan = Plan {
        stages: by_shares(&["here"; MEMBERS], &[0.17, 0.5, 1.0]),
        min_watch: Duration::from_secs(6),
        max_watch: Duration::from_secs(60),
        worse_by: WORSE_BY,
        error: ERROR,
        replaces_process: false,
        change_timeout: Duration::from_secs(5),
        undo_timeout: Duration::from_secs(20),
    };
    let (mut rollout, mut now) = (Rollout::new(plan, Duration::ZERO), 0.0);
    let (mut new, mut most_changed, mut totals) = ([false; MEMBERS], 0, [TaskTotals::default(); MEMBERS]);
    while !rollout.is_over() {
        now += SAMPLE_S;
        let at = Duration::from_secs_f64(now);
        let shared_loss = conditions.shared_loss(&mut rng);
        for who in 0..MEMBERS {
            let share = shared_loss.unwrap_or_else(|| share(conditions, who, first, &mut rng))
                + if new[who] { harm } else { 0.0 };
            let Count { ended, unfinished } = count(&mut rng, rate, share);
            totals[who].finished += ended - unfinished;
            totals[who].shed += unfinished;
            let settings = if new[who] { SettingsVersion::New } else { SettingsVersion::Old };
            rollout.observe(
                who,
                Some(Observation { settings, ready: true, process: 1, totals: vec![totals[who]] }),
                at,
            );
        }
        while let Some(order) = rollout.next_order(at) {
            let (Order::Change(who) | Order::Undo(who)) = order;
            new[who] = matches!(order, Order::Change(_));
            rollout.record_outcome(order, Outcome::Done, at);
        }
        most_changed = most_changed.max(new.iter().filter(|new| **new).count());
    }
    (rollout.state().clone(), most_changed, now)
}

const RATES: [f64; 4] = [2.0, 5.0, 20.0, 100.0];
const HARMS: [f64; 6] = [0.0, 0.02, 0.05, 0.1, 0.25, 0.9];

/// The implemented method over schedulers that are alike: median seconds to the stop by harm, one line per
/// task rate, where at least half of the runs found it within 20 s.
fn plot(medians: &[(f64, f64, f64, Option<f64>)]) -> String {
    let (left, bottom, wide, high) = (60.0, 260.0, 480.0, 220.0);
    let x = |harm: f64| left + (harm / 0.02).ln() / (0.9_f64 / 0.02).ln() * wide;
    let y = |seconds: f64| bottom - seconds / 20.0 * high;
    let mut svg = String::from(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 640 320\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"640\" height=\"320\" fill=\"white\"/>\n\
         <text x=\"60\" y=\"20\">median seconds to the stop, one changed of six, \
         by tasks a second each</text>\n\
         <text x=\"230\" y=\"308\">harm: tasks more that do not finish</text>\n",
    );
    for seconds in [0.0, 5.0, 10.0, 15.0, 20.0] {
        let at = y(seconds);
        svg += &format!(
            "<line x1=\"{left}\" x2=\"{}\" y1=\"{at}\" y2=\"{at}\" stroke=\"#ddd\"/>\n",
            left + wide
        );
        svg += &format!("<text x=\"{}\" y=\"{}\">{seconds} s</text>\n", left - 34.0, at + 4.0);
    }
    for harm in &HARMS[1..] {
        let at = x(*harm) - 10.0;
        svg += &format!("<text x=\"{at}\" y=\"{}\">{}%</text>\n", bottom + 18.0, harm * 100.0);
    }
    for (rate, colour) in RATES.iter().zip(["#888", "#b50", "#05a", "#070"]) {
        let points = medians.iter().filter(|(of, _, share, _)| of == rate && *share >= 0.5);
        let points: Vec<(f64, f64)> =
            points.filter_map(|(_, harm, _, at)| Some((x(*harm), y((*at)?)))).collect();
        let path: Vec<String> = points.iter().map(|(x, y)| format!("{x:.1},{y:.1}")).collect();
        svg += &format!("<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\"/>\n", path.join(" "));
        for (x, y) in &points {
            svg += &format!("<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"{colour}\"/>\n");
        }
        if let Some((x, y)) = points.first() {
            svg += &format!(
                "<text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{rate}/s</text>\n",
                x + 6.0,
                y - 6.0
            );
        }
    }
    svg + "</svg>\n"
}

fn main() {
    let runs: u64 = std::env::args().nth(1).and_then(|runs| runs.parse().ok()).unwrap_or(10_000);
    let conditions_list = [
        ("even", Conditions::Even),
        ("uneven", Conditions::Uneven),
        ("bursts", Conditions::Bursts),
        ("troubled", Conditions::SharedLoss),
    ];
    println!("one changed of six, 20 s, {runs} runs each: share stopped, median seconds to the stop");
    println!("| world | tasks/s | harm | {} |", METHODS.map(|(name, _)| name).join(" | "));
    println!("| --- | --- | --- | --- | --- | --- |");
    let mut medians = Vec::new();
    for (name, conditions) in conditions_list {
        for rate in RATES {
            for harm in HARMS {
                let stopped_at: Vec<_> = (0..runs).map(|seed| watch(conditions, rate, harm, seed)).collect();
                let cells = (0..3).map(|method| {
                    let times: Vec<f64> =
                        stopped_at.iter().filter_map(|stopped_at| stopped_at[method]).collect();
                    format!("{:.4}, {}", times.len() as f64 / runs as f64, median(times))
                });
                println!("| {name} | {rate} | {harm} | {} |", cells.collect::<Vec<_>>().join(" | "));
                if matches!(conditions, Conditions::Even) && harm > 0.0 {
                    let mut times: Vec<f64> =
                        stopped_at.iter().filter_map(|stopped_at| stopped_at[2]).collect();
                    times.sort_by(f64::total_cmp);
                    let share = times.len() as f64 / runs as f64;
                    medians.push((rate, harm, share, times.get(times.len() / 2).copied()));
                }
            }
        }
    }
    println!("\nthe whole machine, six schedulers, watch 6 s to 60 s, {runs} runs each");
    println!(
        "| world | tasks/s | harm | done | stopped as worse | too few to tell | most changed | median s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, conditions) in conditions_list {
        for (rate, harm) in [(5.0, 0.0), (20.0, 0.0), (100.0, 0.0), (20.0, 0.05), (20.0, 0.25)] {
            let (mut done, mut worse, mut too_few, mut most_changed, mut times) = (0, 0, 0, 0, Vec::new());
            for seed in 0..runs {
                let (state, changed, seconds) = run(conditions, rate, harm, seed);
                match state {
                    State::Done => done += 1,
                    State::Undone(Reason::TooFewTasks(_)) => too_few += 1,
                    _ => worse += 1,
                }
                most_changed = most_changed.max(changed);
                times.push(seconds);
            }
            let part = |n: u64| n as f64 / runs as f64;
            let (done, worse, too_few) = (part(done), part(worse), part(too_few));
            println!(
                "| {name} | {rate} | {harm} | {done:.4} | {worse:.4} | {too_few:.4} | {most_changed} | {} |",
                median(times)
            );
        }
    }
    if let Some(path) = std::env::args().nth(2) {
        if let Err(e) = std::fs::write(&path, plot(&medians)) {
            eprintln!("{path}: {e}");
            std::process::exit(1);
        }
    }
}
