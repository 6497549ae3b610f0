//! Ranges of hosts in the notation of configuration tools: `yard-[01:12].example.org`, `rack-[a:f]`,
//! `w[2:20:2]`.

use crate::MAX_ENTRIES;

/// Expands a pattern to its names, in order; a name without brackets expands to itself.
pub(crate) fn expand(pattern: &str) -> Result<Vec<String>, String> {
    let mut names = vec![String::new()];
    let mut rest = pattern;
    while let Some(open) = rest.find('[') {
        let close =
            rest[open..].find(']').ok_or_else(|| format!("{pattern:?} has a [ without its ]"))? + open;
        let steps = range(&rest[open + 1..close]).map_err(|why| format!("{pattern:?}: {why}"))?;
        if names.len().saturating_mul(steps.len()) > MAX_ENTRIES {
            return Err(format!("{pattern:?} names more than {MAX_ENTRIES} workers"));
        }
        let before = &rest[..open];
        names = names.iter().flat_map(|n| steps.iter().map(move |s| format!("{n}{before}{s}"))).collect();
        rest = &rest[close + 1..];
    }
    if rest.contains(']') {
        return Err(format!("{pattern:?} has a ] without its ["));
    }
    names.iter_mut().for_each(|name| name.push_str(rest));
    Ok(names)
}

fn range(text: &str) -> Result<Vec<String>, String> {
    let parts: Vec<&str> = text.split(':').collect();
    let (first, last, step) = match parts[..] {
        [first, last] => (first, last, 1),
        [first, last, step] => {
            let step = step.parse().ok().filter(|&s: &u32| s > 0);
            (first, last, step.ok_or_else(|| format!("the step of [{text}] is not a number from 1"))?)
        }
        _ => return Err(format!("[{text}] is not a range; [first:last] was expected")),
    };
    let letter = |t: &str| t.len() == 1 && t.as_bytes()[0].is_ascii_alphabetic();
    if letter(first) && letter(last) {
        let (a, b) = (first.as_bytes()[0], last.as_bytes()[0]);
        if a.is_ascii_lowercase() != b.is_ascii_lowercase() || a > b {
            return Err(format!("[{text}] runs backwards"));
        }
        return Ok((a..=b).step_by(step as usize).map(|c| char::from(c).to_string()).collect());
    }
    let number = |t: &str| {
        let plain = !t.is_empty() && t.len() <= 9 && t.bytes().all(|b| b.is_ascii_digit());
        plain.then(|| t.parse::<u32>().ok()).flatten()
    };
    let (Some(a), Some(b)) = (number(first), number(last)) else {
        return Err(format!("[{text}] is not a range of numbers or letters"));
    };
    // `[01:12]` keeps its leading zeros, which requires both ends to have the same width.
    let padded = first.len() > 1 && first.starts_with('0');
    if padded && first.len() != last.len() {
        return Err(format!("the ends of [{text}] have different widths"));
    }
    if a > b {
        return Err(format!("[{text}] runs backwards"));
    }
    if ((b - a) / step) as usize >= MAX_ENTRIES {
        return Err(format!("[{text}] names more than {MAX_ENTRIES} workers"));
    }
    let width = if padded { first.len() } else { 0 };
    Ok((a..=b).step_by(step as usize).map(|n| format!("{n:0width$}")).collect())
}

#[cfg(test)]
mod tests {
    use super::expand;

    #[test]
    fn ranges_expand_as_in_configuration_tools() {
        let all = |pattern: &str| expand(pattern).map(|names| names.join(" "));
        assert_eq!(all("yard-7").as_deref(), Ok("yard-7"));
        assert_eq!(all("y[08:11].o").as_deref(), Ok("y08.o y09.o y10.o y11.o"));
        assert_eq!(all("y[8:11]").as_deref(), Ok("y8 y9 y10 y11"));
        assert_eq!(all("[a:c][1:2]").as_deref(), Ok("a1 a2 b1 b2 c1 c2"));
        assert_eq!(all("w[2:7:2]").as_deref(), Ok("w2 w4 w6"));
    }

    #[test]
    fn malformed_and_huge_ranges_are_refused() {
        let malformed =
            ["[", "a]", "[1]", "[3:1]", "[a:C]", "[1:2:0]", "[01:100]", "[-1:2]", "[1:2:3:4]", "[:]"];
        for pattern in malformed.into_iter().chain(["[1:999999999]", "[1:999][1:999]", "[1:99999999999999]"])
        {
            assert!(expand(pattern).is_err(), "{pattern}");
        }
    }
}
