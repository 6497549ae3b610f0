//! Formats figures as a plain table.

/// One measured figure of one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    pub name: &'static str,
    pub value: f64,
    pub unit: &'static str,
}

impl Figure {
    pub fn new(name: &'static str, value: f64, unit: &'static str) -> Figure {
        Figure { name, value, unit }
    }
}

/// The value of a figure by its name, if there is one.
pub fn value(figures: &[Figure], name: &str) -> Option<f64> {
    figures.iter().find(|figure| figure.name == name).map(|figure| figure.value)
}

/// The figures of one run, one per line, each preceded by the run's name and size.
pub fn lines(run: &str, schedulers: usize, figures: &[Figure]) -> String {
    let line = |figure: &Figure| {
        format!("{run:<14} {schedulers:>5}  {:<42} {:>14.4} {}\n", figure.name, figure.value, figure.unit)
    };
    figures.iter().map(line).collect()
}
