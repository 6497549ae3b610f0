//! A scenario: its entries, its closing fault, and its text in the bench's file format.

use crate::kinds::{ClosingKind, Kind, Part, Variant};
use crate::rng::{round_to_hundredths, SeededRng};
use crate::site::Site;
use std::fmt::Write as _;

/// Least time between the start of traffic and an entry, and between an entry's end and the end of traffic.
pub const MARGIN_S: f64 = 1.0;
/// Seconds that machines are down in a closing fault.
const DOWN_S: [f64; 2] = [0.5, 1.6];

/// One fault or piece of planned work.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub part: Part,
    pub kind: String,
    /// Seconds from the start of traffic.
    pub at: f64,
    /// Variant; empty for the unnamed one.
    pub how: String,
    /// On core machines, those whose loss is counted.
    pub on_core: bool,
    pub count: Option<u32>,
    pub share: Option<f64>,
    /// Parameter whose meaning depends on the kind.
    pub x: Option<f64>,
    /// Duration.
    pub for_s: Option<f64>,
    /// Time between two steps.
    pub gap_s: Option<f64>,
    pub class: Option<String>,
}

/// The fault at the end of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Closing {
    pub kind: String,
    pub how: String,
    pub down_s: f64,
}

/// A scenario of the bench (`[[day]]` in its files).
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    pub name: String,
    pub seed: u32,
    pub length_s: f64,
    pub floor: Option<f64>,
    pub closing: Option<Closing>,
    pub entries: Vec<Entry>,
}

impl Entry {
    /// An entry of a variant at the start of the scenario, with parameters sampled from its kind's ranges.
    pub fn sample(variant: &Variant, site: &Site, rng: &mut SeededRng) -> Entry {
        let Kind { name, part, count, share, x, for_s, gap_s, needs_class, .. } = &variant.kind;
        let class = if *needs_class { rng.pick(&site.classes).map(|class| class.name.clone()) } else { None };
        // Core machines are hit one at a time: losing several at once exceeds what a site tolerates.
        let (count, share) = if variant.on_core { (Some([1, 1]), &None) } else { (*count, share) };
        Entry {
            part: *part,
            kind: name.clone(),
            at: MARGIN_S,
            how: variant.how.clone(),
            on_core: variant.on_core,
            count: count.map(|bounds| rng.integer(bounds)),
            share: share.map(|bounds| rng.between(bounds)),
            x: x.map(|bounds| rng.between(bounds)),
            for_s: for_s.map(|bounds| rng.between(bounds)),
            gap_s: gap_s.map(|bounds| rng.between(bounds)),
            class,
        }
    }

    /// A planned change of the configuration.
    pub fn change(how: &str, at: f64) -> Entry {
        Entry::with_defaults(Part::Plan, "config_change", how, at)
    }

    /// An entry without parameters; the bench has defaults for them.
    pub fn with_defaults(part: Part, kind: &str, how: &str, at: f64) -> Entry {
        Entry {
            part,
            kind: kind.into(),
            at: round_to_hundredths(at),
            how: how.into(),
            on_core: false,
            count: None,
            share: None,
            x: None,
            for_s: None,
            gap_s: None,
            class: None,
        }
    }

    pub fn at(mut self, at: f64) -> Entry {
        self.at = round_to_hundredths(at);
        self
    }

    pub fn with_duration(mut self, for_s: f64) -> Entry {
        self.for_s = Some(round_to_hundredths(for_s));
        self
    }

    pub fn with_x(mut self, x: f64) -> Entry {
        self.x = Some(round_to_hundredths(x));
        self
    }

    pub fn with_share(mut self, share: f64) -> Entry {
        self.share = Some(round_to_hundredths(share));
        self
    }

    pub fn repeated(mut self, count: u32, gap_s: f64) -> Entry {
        self.count = Some(count);
        self.gap_s = Some(round_to_hundredths(gap_s));
        self
    }

    pub fn on_core(mut self) -> Entry {
        self.on_core = true;
        self.count = Some(1);
        self.share = None;
        self
    }

    /// Duration in seconds, as far as the entry's own parameters determine it.
    pub fn duration_s(&self) -> f64 {
        let steps = match (self.count, self.gap_s) {
            (Some(count), Some(gap_s)) => f64::from(count) * gap_s,
            (None, Some(gap_s)) => gap_s,
            _ => 0.0,
        };
        self.for_s.unwrap_or(0.0).max(steps)
    }

    /// Kind and variant in one string, as tables and scenario names show them.
    pub fn label(&self) -> String {
        let on = if self.on_core { " core" } else { "" };
        let how = if self.how.is_empty() { String::new() } else { format!(" {}", self.how) };
        format!("{}{on}{how}", self.kind)
    }

    fn text(&self) -> String {
        let mut text = format!("{{ at = {}, kind = {:?}", self.at, self.kind);
        let mut field = |name: &str, value: Option<String>| {
            if let Some(value) = value {
                let _ = write!(text, ", {name} = {value}");
            }
        };
        field("on", self.on_core.then(|| "\"core\"".into()));
        field("class", self.class.as_ref().map(|class| format!("{class:?}")));
        field("count", self.count.map(|count| count.to_string()));
        field("share", self.share.map(|share| share.to_string()));
        field("x", self.x.map(|x| x.to_string()));
        field("for_s", self.for_s.map(|for_s| for_s.to_string()));
        field("gap_s", self.gap_s.map(|gap_s| gap_s.to_string()));
        field("how", (!self.how.is_empty()).then(|| format!("{:?}", self.how)));
        text + " }"
    }
}

impl Closing {
    /// A closing fault of this kind, in this variant.
    pub fn sample(kind: &ClosingKind, how: &str, rng: &mut SeededRng) -> Closing {
        Closing { kind: kind.name.clone(), how: how.into(), down_s: rng.between(DOWN_S) }
    }

    pub fn label(&self) -> String {
        let how = if self.how.is_empty() { String::new() } else { format!(" {}", self.how) };
        format!("closing {}{how}", self.kind)
    }

    fn text(&self) -> String {
        let how = if self.how.is_empty() { String::new() } else { format!(", how = {:?}", self.how) };
        format!("{{ kind = {:?}, down_s = {}{how} }}", self.kind, self.down_s)
    }
}

impl Scenario {
    /// A scenario without entries, of the deployment's length or longer.
    pub fn empty(name: String, site: &Site, min_length_s: f64, rng: &mut SeededRng) -> Scenario {
        let (length_s, floor) = (site.length_s.max(min_length_s), site.floor());
        Scenario { name, seed: rng.seed(), length_s, floor, closing: None, entries: Vec::new() }
    }

    /// Adds an entry, moved and shortened as far as needed to lie inside the scenario.
    pub fn push(&mut self, mut entry: Entry) {
        let available_s = self.length_s - 2.0 * MARGIN_S;
        if let Some(for_s) = entry.for_s {
            entry.for_s = Some(for_s.min(available_s));
        }
        if let (Some(count), Some(gap_s)) = (entry.count, entry.gap_s) {
            if f64::from(count) * gap_s > available_s {
                entry.count = Some((available_s / gap_s) as u32);
            }
        }
        let latest = (self.length_s - MARGIN_S - entry.duration_s()).max(MARGIN_S);
        // Rounded down: rounding to nearest could exceed the end by a hundredth.
        entry.at = (entry.at.clamp(MARGIN_S, latest) * 100.0).floor() / 100.0;
        self.entries.push(entry);
    }

    /// Kinds in their variants, each once.
    pub fn labels(&self) -> Vec<String> {
        let mut labels: Vec<String> = self.entries.iter().map(Entry::label).collect();
        labels.extend(self.closing.as_ref().map(Closing::label));
        labels.sort();
        labels.dedup();
        labels
    }

    /// The scenario in the bench's file format.
    pub fn text(&self) -> String {
        let mut text = format!("[[day]]\nname = {:?}\nseed = {}\n", self.name, self.seed);
        let _ = writeln!(text, "length_s = {:?}", self.length_s);
        if let Some(closing) = &self.closing {
            let _ = writeln!(text, "closing = {}", closing.text());
        }
        if let Some(floor) = self.floor {
            let _ = writeln!(text, "goal = {{ floor = {floor} }}");
        }
        self.list(&mut text, "plan", Part::Plan);
        self.list(&mut text, "faults", Part::Faults);
        text
    }

    fn list(&self, text: &mut String, name: &str, part: Part) {
        let _ = writeln!(text, "{name} = [");
        for entry in self.entries.iter().filter(|entry| entry.part == part) {
            let _ = writeln!(text, "  {},", entry.text());
        }
        text.push_str("]\n");
    }
}
