//! Sets of days: every kind singly, in pairs, repeated, packed into few days, and the worst days.

use crate::day::{Closing, Day, Entry, MARGIN_S};
use crate::draw::Draw;
use crate::kinds::{Kind, KindList, Variant};
use crate::mixed;
use crate::restarts;
use crate::site::Site;
use crate::worst;

/// Share of the days that end with a closing fault, where the set doesn't say.
const CLOSED: f64 = 0.6;
/// Changes of the configuration that any day begins and ends with.
const FIRST_CHANGE_S: [f64; 2] = [1.5, 3.5];
const LAST_CHANGE_S: [f64; 2] = [2.0, 5.0];
/// How often a kind comes in a day that repeats it.
const REPEATS: [u32; 2] = [3, 5];
/// Different variants in a day that holds several.
const PACKED: usize = 5;
/// Days in a compact set, of which every second one is a worst day.
const COMPACT_DAYS: usize = 40;

/// What days are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Set {
    /// Each kind in each variant, and each closing, in a day of its own.
    Singles,
    /// Two kinds whose times overlap.
    Pairs,
    /// One kind several times within a day, in variants that change.
    Repeats,
    /// All variants, several to a day.
    Packed,
    /// The worst days.
    Worst,
    /// Worst days and packed ones by turns: a few days that hold as much as they can.
    Compact,
    /// Several troubles of any kind at any hour, beside hosts that drain.
    Mixed,
    /// Long days of hundreds of changes, beside proxies and hosts that come and go.
    Long,
    /// Rounds of restarts that overlap, beside hundreds of changes and hardly any trouble.
    Restarts,
}

impl Set {
    pub const ALL: [Set; 9] = [
        Set::Singles,
        Set::Pairs,
        Set::Repeats,
        Set::Packed,
        Set::Worst,
        Set::Compact,
        Set::Mixed,
        Set::Long,
        Set::Restarts,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Set::Singles => "singles",
            Set::Pairs => "pairs",
            Set::Repeats => "repeats",
            Set::Packed => "packed",
            Set::Worst => "worst",
            Set::Compact => "compact",
            Set::Mixed => "mixed",
            Set::Long => "long",
            Set::Restarts => "restarts",
        }
    }

    pub fn named(name: &str) -> Option<Set> {
        Set::ALL.into_iter().find(|set| set.name() == name)
    }
}

/// What days are drawn from.
pub struct Source<'a> {
    pub kinds: &'a KindList,
    pub site: &'a Site,
    pub seed: u64,
}

/// The days of a set, at most `most` of them; the same source gives the same days.
pub fn days(source: &Source, set: Set, most: Option<usize>) -> Vec<Day> {
    let mut days = match set {
        Set::Singles => singles(source),
        Set::Pairs => pairs(source),
        Set::Repeats => repeats(source),
        Set::Packed => packed(source),
        Set::Worst => worst::days(source, most.unwrap_or(worst::DAYS)),
        Set::Compact => compact(source, most.unwrap_or(COMPACT_DAYS)),
        Set::Mixed => mixed::mixed(source, most.unwrap_or(mixed::MIXED_DAYS)),
        Set::Long => mixed::long(source, most.unwrap_or(mixed::LONG_DAYS)),
        Set::Restarts => restarts::restarts(source, most.unwrap_or(restarts::RESTART_DAYS)),
    };
    days.truncate(most.unwrap_or(usize::MAX));
    days
}

impl Source<'_> {
    /// Chance for the day of this name.
    pub fn chance(&self, name: &str) -> Draw {
        Draw::new(self.seed, name)
    }

    /// Kinds that the deployment may meet.
    pub fn allowed(&self) -> Vec<&Kind> {
        self.kinds.kinds.iter().filter(|kind| self.site.allows(kind)).collect()
    }

    /// Those kinds in all of their variants.
    pub fn variants(&self) -> Vec<Variant> {
        self.kinds.variants(|kind| self.site.allows(kind))
    }

    /// An entry of any variant.
    pub fn entry(&self, variant: &Variant, draw: &mut Draw) -> Entry {
        Entry::draw(variant, self.site, draw)
    }

    /// Any of the closing faults.
    pub fn closing(&self, draw: &mut Draw) -> Option<Closing> {
        let kind = draw.pick(&self.kinds.closings)?.clone();
        let how = draw.pick(&kind.hows)?.clone();
        Some(Closing::draw(&kind, &how, draw))
    }

    /// A day with a change of the configuration near its start and one near its end.
    pub fn day(&self, name: String, draw: &mut Draw) -> Day {
        self.long_day(name, 0.0, draw)
    }

    /// Such a day, at least so long.
    pub fn long_day(&self, name: String, least_s: f64, draw: &mut Draw) -> Day {
        let mut day = Day::empty(name, self.site, least_s, draw);
        day.push(Entry::change("idle", draw.between(FIRST_CHANGE_S)));
        let last = day.length_s - draw.between(LAST_CHANGE_S);
        day.push(Entry::change("timeout", last));
        day
    }
}

/// A moment of the day, well before its end.
pub fn moment(day: &Day, draw: &mut Draw) -> f64 {
    draw.between([4.0 * MARGIN_S, (day.length_s - 8.0).max(5.0 * MARGIN_S)])
}

fn single_name(variant: &Variant) -> String {
    let on = if variant.on_core { "-core" } else { "" };
    let how =
        if variant.how.is_empty() { String::new() } else { format!("-{}", variant.how.replace(' ', "-")) };
    format!("single-{}{on}{how}", variant.kind.name)
}

fn singles(source: &Source) -> Vec<Day> {
    let mut days = Vec::new();
    for variant in source.variants() {
        let name = single_name(&variant);
        let mut draw = source.chance(&name);
        let mut day = source.day(name, &mut draw);
        let at = moment(&day, &mut draw);
        day.push(source.entry(&variant, &mut draw).at(at));
        if draw.chance(CLOSED) {
            day.closing = source.closing(&mut draw);
        }
        days.push(day);
    }
    for closing in &source.kinds.closings {
        for how in &closing.hows {
            let name =
                format!("single-closing-{}-{}", closing.name, if how.is_empty() { "plain" } else { how });
            let mut draw = source.chance(&name);
            let mut day = source.day(name, &mut draw);
            day.closing = Some(Closing::draw(closing, how, &mut draw));
            days.push(day);
        }
    }
    days
}

/// Every pair of kinds, in an order by chance; the second begins while the first lasts, or just after it.
fn pairs(source: &Source) -> Vec<Day> {
    let kinds = source.allowed();
    let mut chosen: Vec<(&Kind, &Kind)> = Vec::new();
    for (index, first) in kinds.iter().enumerate() {
        chosen.extend(kinds[index + 1..].iter().map(|second| (*first, *second)));
    }
    source.chance("pairs").shuffle(&mut chosen);
    chosen.into_iter().map(|(first, second)| pair(source, first, second)).collect()
}

fn pair(source: &Source, first: &Kind, second: &Kind) -> Day {
    let name = format!("pair-{}-{}", first.name, second.name);
    let mut draw = source.chance(&name);
    let mut day = source.day(name, &mut draw);
    let mut both = [any_of(source, first, &mut draw), any_of(source, second, &mut draw)];
    draw.shuffle(&mut both);
    let [earlier, later] = both;
    let at = moment(&day, &mut draw);
    let apart = draw.between([0.0, earlier.reach_s() + MARGIN_S]);
    day.push(earlier.at(at));
    day.push(later.at(at + apart));
    if draw.chance(CLOSED) {
        day.closing = source.closing(&mut draw);
    }
    day
}

/// An entry of a kind, in any of its variants.
pub fn any_of(source: &Source, kind: &Kind, draw: &mut Draw) -> Entry {
    let variants = kind.variants();
    let chosen = draw.pick(&variants).unwrap_or(&variants[0]);
    source.entry(chosen, draw)
}

fn repeats(source: &Source) -> Vec<Day> {
    source.allowed().into_iter().map(|kind| repeated(source, kind)).collect()
}

fn repeated(source: &Source, kind: &Kind) -> Day {
    let name = format!("repeat-{}", kind.name);
    let mut draw = source.chance(&name);
    let mut day = source.day(name, &mut draw);
    let mut variants = kind.variants();
    draw.shuffle(&mut variants);
    for variant in variants.iter().cycle().take(draw.whole(REPEATS) as usize) {
        let at = moment(&day, &mut draw);
        day.push(source.entry(variant, &mut draw).at(at));
    }
    if draw.chance(CLOSED) {
        day.closing = source.closing(&mut draw);
    }
    day
}

/// All variants in an order by chance, several to a day, each day with another closing fault.
fn packed(source: &Source) -> Vec<Day> {
    let mut variants = source.variants();
    source.chance("packed").shuffle(&mut variants);
    let closings: Vec<(&str, &str)> = source
        .kinds
        .closings
        .iter()
        .flat_map(|kind| kind.hows.iter().map(|how| (&*kind.name, &**how)))
        .collect();
    let mut days = Vec::new();
    for (index, group) in variants.chunks(PACKED).enumerate() {
        let name = format!("packed-{:02}", index + 1);
        let mut draw = source.chance(&name);
        let mut day = source.day(name, &mut draw);
        for variant in group {
            let at = moment(&day, &mut draw);
            day.push(source.entry(variant, &mut draw).at(at));
        }
        let (kind, how) = closings[index % closings.len()];
        day.closing = source
            .kinds
            .closings
            .iter()
            .find(|closing| closing.name == kind)
            .map(|closing| Closing::draw(closing, how, &mut draw));
        days.push(day);
    }
    days
}

/// Packed days and worst ones by turns; where one sort ends, more of the other.
fn compact(source: &Source, most: usize) -> Vec<Day> {
    let packed = packed(source);
    let worst_days = most.saturating_sub(packed.len()).max(most / 2);
    let mut worst = worst::days(source, worst_days).into_iter();
    let mut packed = packed.into_iter();
    let mut days = Vec::new();
    while days.len() < most {
        let before = days.len();
        days.extend(worst.next());
        days.extend(packed.next());
        if days.len() == before {
            break;
        }
    }
    days
}
