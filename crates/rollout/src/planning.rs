//! The order in which schedulers are changed, and the criteria for a stage.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Schedulers by number, one list per stage; each scheduler appears in exactly one stage.
    pub stages: Vec<Vec<usize>>,
    /// Minimum watch time of each stage, and of the unchanged fleet before the first.
    pub min_watch: Duration,
    /// Maximum watch time, if too few tasks arrive for a verdict.
    pub max_watch: Duration,
    /// The share of tasks, 0 to 1, by which changed schedulers must not perform worse.
    pub worse_by: f64,
    /// The accepted probability that a harmless change is stopped.
    pub error: f64,
    /// How long a scheduler may take until the change is in force and it is ready.
    pub change_timeout: Duration,
    /// Whether the change replaces the process, whose counts then start at 0. If not, a new process means a
    /// crash.
    pub replaces_process: bool,
    /// How long undoing is attempted before the remaining schedulers are reported.
    pub undo_timeout: Duration,
}

/// Stages by the shares of all schedulers that are changed at the end of each (ascending, the last one 1).
/// The first stage is a single scheduler; the following ones alternate between zones, so that no zone is
/// changed completely while another is unchanged.
pub fn by_shares(zones: &[&str], shares: &[f64]) -> Vec<Vec<usize>> {
    let mut by_zone: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (who, zone) in zones.iter().enumerate() {
        by_zone.entry(zone).or_default().push(who);
    }
    // The relative position of each scheduler within its zone, 0 to 1, so that zones of different size
    // advance evenly.
    let mut order: Vec<(f64, usize)> = Vec::new();
    for members in by_zone.values() {
        let of = members.len() as f64;
        order.extend(members.iter().enumerate().map(|(at, &who)| ((at as f64 + 0.5) / of, who)));
    }
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let ends = shares.iter().map(|share| (share * zones.len() as f64).round() as usize);
    let (mut stages, mut from) = (Vec::new(), 0);
    for to in [1].into_iter().chain(ends).chain([zones.len()]) {
        if from < to && to <= zones.len() {
            stages.push(order[from..to].iter().map(|(_, who)| *who).collect());
            from = to;
        }
    }
    stages
}

#[cfg(test)]
mod tests {
    use super::by_shares;

    #[test]
    fn the_first_stage_is_one_scheduler_zones_alternate_and_none_is_left_out() {
        let six = by_shares(&["a"; 6], &[0.17, 0.5, 1.0]);
        assert_eq!(six, [vec![0], vec![1, 2], vec![3, 4, 5]]);
        // Zones of different size: half of each is changed once half of all are.
        let zones = ["a", "a", "a", "a", "a", "a", "b", "b"];
        let stages = by_shares(&zones, &[0.25, 0.5, 1.0]);
        assert_eq!(stages.iter().map(Vec::len).collect::<Vec<_>>(), [1, 1, 2, 4]);
        let half: Vec<usize> = stages[..3].concat();
        assert_eq!(half.iter().filter(|&&who| zones[who] == "b").count(), 1, "{stages:?}");
        // If the shares end early or are empty, the rest forms a stage of its own.
        assert_eq!(by_shares(&["a"; 3], &[]), [vec![0], vec![1, 2]]);
        assert_eq!(by_shares(&["a"; 3], &[0.4]), [vec![0], vec![1, 2]]);
        assert_eq!(by_shares(&["a"], &[0.5, 1.0]), [vec![0]]);
    }
}
