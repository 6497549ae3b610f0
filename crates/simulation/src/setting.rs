//! Sets one setting of a scenario by name in its text: `timers.grace`, `service.dock.slots`, `edge.a`,
//! `length`.

use crate::scenario::ScenarioErrorKind;

/// Returns the text with this value; [`crate::Scenario::read`] validates the result.
pub fn set(text: &str, name: &str, value: &str) -> Result<String, ScenarioErrorKind> {
    let no_such = || Err(ScenarioErrorKind::NoSuch(name.to_string()));
    let parts: Vec<&str> = name.split('.').collect();
    // Leading words of the line, and what the value follows: a key, or a position among the words.
    let (line_start, key, position): (Vec<&str>, Option<&str>, usize) = match parts.as_slice() {
        [word @ ("length" | "lead")] => (vec![*word], None, 1),
        [word @ ("net" | "platform" | "timers"), key] => (vec![*word], Some(*key), 0),
        [word @ ("edge" | "core" | "hosts"), zone] => (vec![*word, *zone], None, 2),
        [word @ ("hosts" | "service" | "route"), named, key] => (vec![*word, *named], Some(*key), 0),
        _ => return no_such(),
    };
    if value.is_empty() || value.contains(|c: char| c.is_whitespace() || c == '#') {
        return Err(ScenarioErrorKind::NotANumber(value.to_string()));
    }
    let mut lines: Vec<String> = text.lines().map(str::to_string).collect();
    let words = |line: &str| -> Vec<String> {
        line.split('#').next().unwrap_or_default().split_whitespace().map(str::to_string).collect()
    };
    let matching: Vec<usize> = (0..lines.len())
        .filter(|n| {
            words(&lines[*n]).iter().zip(&line_start).filter(|(a, b)| a == b).count() == line_start.len()
        })
        .collect();
    let has = |n: &usize| key.is_none_or(|key| words(&lines[*n]).iter().skip(1).any(|word| word == key));
    let Some(n) = matching.iter().copied().find(has).or(matching.first().copied()) else {
        if line_start.len() > 1 {
            return no_such();
        }
        lines.push([line_start[0], key.unwrap_or_default(), value].join(" "));
        return Ok(lines.join("\n") + "\n");
    };
    let mut words_of_line = words(&lines[n]);
    let at = match key {
        Some(key) => match words_of_line.iter().skip(1).position(|word| word == key) {
            Some(at) => at + 2,
            None => {
                words_of_line.push(key.to_string());
                words_of_line.len()
            }
        },
        None => position,
    };
    match words_of_line.get_mut(at) {
        Some(word) => *word = value.to_string(),
        None => words_of_line.push(value.to_string()),
    }
    lines[n] = words_of_line.join(" ");
    Ok(lines.join("\n") + "\n")
}

/// Mean, and half the width of its 95 % confidence interval by Student's t; None for a single value.
pub fn mean(values: &[f64]) -> (f64, Option<f64>) {
    const T: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    let n = values.len();
    let mean = values.iter().sum::<f64>() / n.max(1) as f64;
    if n < 2 {
        return (mean, None);
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
    let t = T.get(n - 2).copied().unwrap_or(1.96);
    (mean, Some(t * (variance / n as f64).sqrt()))
}
