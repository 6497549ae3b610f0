//! Days with several troubles at any hour beside hosts that drain, and long days of changes, arrivals and departures.

use crate::day::{Day, Entry};
use crate::draw::Draw;
use crate::kinds::{Part, Variant};
use crate::sets::{moment, Source};

/// Mixed days, where the number is not asked for.
pub const MIXED_DAYS: usize = 40;
/// Long days, where the number is not asked for.
pub const LONG_DAYS: usize = 20;

/// Drains of hosts in a mixed day.
const DRAINS: [u32; 2] = [1, 3];
/// Troubles of any kind in a mixed day.
const TROUBLES: [u32; 2] = [3, 7];
/// A trouble of proxies begins so many seconds after a drain; less than zero is before it.
const BESIDE_A_DRAIN_S: [f64; 2] = [-8.0, 3.0];
/// How likely a day ends with a closing fault.
const CLOSED: f64 = 0.3;

/// Seconds that a long day lasts.
const LONG_S: [f64; 2] = [40.0, 60.0];
/// Changes of the configuration in a long day, and the seconds between two.
const CHANGES: [u32; 2] = [150, 400];
const CHANGE_GAP_S: [f64; 2] = [0.08, 0.12];
/// Shares of the proxies that leave or restart, how many at a time, and the seconds between two steps.
const ROLLED: [f64; 2] = [0.3, 0.8];
const ROLLED_AT_ONCE: [u32; 2] = [1, 3];
const ROLL_GAP_S: [f64; 2] = [0.25, 1.0];
/// Troubles of any kind in a long day.
const LONG_TROUBLES: [u32; 2] = [1, 3];
/// Share of the hosts that drain in a long day.
const DRAINED: [f64; 2] = [0.1, 0.4];

/// Days of several troubles of any kind at any hour.
pub fn mixed(source: &Source, count: usize) -> Vec<Day> {
    (1..=count).map(|number| mixed_day(source, format!("mixed-{number:03}"))).collect()
}

/// Long days of hundreds of changes beside proxies and hosts that come and go.
pub fn long(source: &Source, count: usize) -> Vec<Day> {
    (1..=count).map(|number| long_day(source, format!("long-{number:03}"))).collect()
}

fn mixed_day(source: &Source, name: String) -> Day {
    let mut draw = source.chance(&name);
    let mut day = source.day(name, &mut draw);
    for _ in 0..draw.whole(DRAINS) {
        let at = moment(&day, &mut draw);
        push_any(&mut day, source, "worker_drain", at, &mut draw);
        let beside = ["node_cut", "node_freeze", "node_kill"];
        if let Some(kind) = draw.pick(&beside) {
            let at = at + draw.between(BESIDE_A_DRAIN_S);
            push_any(&mut day, source, kind, at, &mut draw);
        }
    }
    push_troubles(&mut day, source, TROUBLES, &mut draw);
    if draw.chance(CLOSED) {
        day.closing = source.closing(&mut draw);
    }
    day
}

fn long_day(source: &Source, name: String) -> Day {
    let mut draw = source.chance(&name);
    let length_s = draw.between(LONG_S);
    let mut day = source.long_day(name, length_s, &mut draw);
    let (changes, gap_s) = (draw.whole(CHANGES), draw.between(CHANGE_GAP_S));
    day.push(Entry::bare(Part::Plan, "config_storm", "", 2.0).repeated(changes, gap_s));
    day.push(Entry::bare(Part::Plan, "add_nodes", "", moment(&day, &mut draw)));
    let how = draw.pick(&["", "busy", "remove", "remove"]).copied().unwrap_or_default();
    let mut roll = Entry::bare(Part::Plan, "roll_term", how, moment(&day, &mut draw));
    roll.share = Some(draw.between(ROLLED));
    roll.x = Some(f64::from(draw.whole(ROLLED_AT_ONCE)));
    roll.gap_s = Some(draw.between(ROLL_GAP_S));
    day.push(roll);
    let share = draw.between(DRAINED);
    day.push(Entry::bare(Part::Plan, "worker_drain", "", moment(&day, &mut draw)).with_share(share));
    push_troubles(&mut day, source, LONG_TROUBLES, &mut draw);
    day
}

fn push_troubles(day: &mut Day, source: &Source, count: [u32; 2], draw: &mut Draw) {
    let variants = source.variants();
    for _ in 0..draw.whole(count) {
        let Some(variant) = draw.pick(&variants) else { return };
        let at = moment(day, draw);
        day.push(source.entry(variant, draw).at(at));
    }
}

/// An entry of that kind in any of its variants that strike proxies or hosts, if the list has the kind.
fn push_any(day: &mut Day, source: &Source, kind: &str, at: f64, draw: &mut Draw) {
    let fits = |variant: &Variant| variant.kind.name == kind && !variant.on_core;
    let variants: Vec<Variant> = source.variants().into_iter().filter(fits).collect();
    if let Some(variant) = draw.pick(&variants) {
        day.push(source.entry(variant, draw).at(at));
    }
}
