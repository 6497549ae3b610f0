//! Days of planned work alone, or nearly: rounds of restarts that overlap, beside hundreds of changes. Unplanned trouble
//! excuses a lost request, so that days full of it show little of how machines leave.

use crate::day::{Day, Entry};
use crate::draw::Draw;
use crate::kinds::Part;
use crate::sets::{moment, Source};

/// Days of restarts, where the number is not asked for.
pub const RESTART_DAYS: usize = 20;

/// Seconds that a day lasts.
const LENGTH_S: [f64; 2] = [50.0, 90.0];
/// The first round begins so late, and each further one so many seconds after the one before.
const FIRST_ROUND_S: [f64; 2] = [2.0, 5.0];
const BETWEEN_ROUNDS_S: [f64; 2] = [12.0, 24.0];
/// No round begins in the last seconds of a day.
const LAST_ROUND_S: f64 = 12.0;
/// Shares of the proxies in a round, how many at a time, and the seconds between two steps.
const SHARE: [f64; 2] = [0.6, 1.0];
const AT_ONCE: [u32; 2] = [1, 2];
const STEP_S: [f64; 2] = [0.4, 1.6];
/// Changes of the configuration, and the seconds between two.
const CHANGES: [u32; 2] = [100, 400];
const CHANGE_GAP_S: [f64; 2] = [0.1, 0.2];
/// Signals that the settings have changed.
const HANGUPS: [u32; 2] = [0, 2];
const HANGUP_SHARE: [f64; 2] = [0.2, 1.0];
/// Drains of hosts, and the share of the hosts in each.
const DRAINS: [u32; 2] = [0, 2];
const DRAINED: [f64; 2] = [0.1, 0.4];
/// How likely a day also holds one unplanned trouble.
const TROUBLED: f64 = 0.3;

/// Days of restarts that overlap.
pub fn restarts(source: &Source, count: usize) -> Vec<Day> {
    (1..=count).map(|number| restart_day(source, format!("restarts-{number:03}"))).collect()
}

fn restart_day(source: &Source, name: String) -> Day {
    let mut draw = source.chance(&name);
    let length_s = draw.between(LENGTH_S);
    let mut day = source.long_day(name, length_s, &mut draw);
    push_rounds(&mut day, &mut draw);
    let (changes, gap_s) = (draw.whole(CHANGES), draw.between(CHANGE_GAP_S));
    day.push(Entry::bare(Part::Plan, "config_storm", "", 2.0).repeated(changes, gap_s));
    for _ in 0..draw.whole(HANGUPS) {
        let at = moment(&day, &mut draw);
        let share = draw.between(HANGUP_SHARE);
        day.push(Entry::bare(Part::Plan, "hup", "", at).with_share(share));
    }
    for _ in 0..draw.whole(DRAINS) {
        let at = moment(&day, &mut draw);
        let share = draw.between(DRAINED);
        day.push(Entry::bare(Part::Plan, "worker_drain", "", at).with_share(share));
    }
    if draw.chance(TROUBLED) {
        let variants = source.variants();
        if let Some(variant) = draw.pick(&variants) {
            let at = moment(&day, &mut draw);
            day.push(source.entry(variant, &mut draw).at(at));
        }
    }
    day
}

/// Rounds of restarts from the first seconds of a day to its last.
fn push_rounds(day: &mut Day, draw: &mut Draw) {
    let mut at = draw.between(FIRST_ROUND_S);
    while at < day.length_s - LAST_ROUND_S {
        let how = draw.pick(&["", "", "busy"]).copied().unwrap_or_default();
        let mut round = Entry::bare(Part::Plan, "roll_term", how, at);
        round.share = Some(draw.between(SHARE));
        round.x = Some(f64::from(draw.whole(AT_ONCE)));
        round.gap_s = Some(draw.between(STEP_S));
        day.push(round);
        at += draw.between(BETWEEN_ROUNDS_S);
    }
}
