//! Numbers with units, as written in a configuration.

use std::time::Duration;

/// Longer than any time that is configured.
const MAX_SPAN_S: f64 = 366.0 * 24.0 * 3600.0;

fn split(text: &str) -> Option<(f64, &str)> {
    let text = text.trim();
    let unit = text.find(|c: char| !(c.is_ascii_digit() || c == '.'))?;
    let number = text[..unit].parse().ok().filter(|n: &f64| n.is_finite())?;
    Some((number, text[unit..].trim()))
}

/// Parses a time span: a number and one of `us`, `ms`, `s`, `min`, `h`.
pub fn span(text: &str) -> Result<Duration, String> {
    let expected =
        || format!("{text:?}; a time with its unit was expected, as \"500ms\", \"2s\" or \"1min\"");
    let (number, unit) = split(text).ok_or_else(expected)?;
    let seconds = number
        * match unit {
            "us" => 1e-6,
            "ms" => 1e-3,
            "s" => 1.0,
            "min" => 60.0,
            "h" => 3600.0,
            _ => return Err(expected()),
        };
    if seconds > MAX_SPAN_S {
        return Err(format!("{text:?} is longer than a year"));
    }
    Ok(Duration::from_secs_f64(seconds))
}

/// Parses a size: a number and one of `B`, `KB`, `MB`, `GB` (powers of 1000) or `KiB`, `MiB`, `GiB` (powers
/// of 1024).
pub fn bytes(text: &str) -> Result<u64, String> {
    let expected = || format!("{text:?}; a size with its unit was expected, as \"64KiB\" or \"192MB\"");
    let (number, unit) = split(text).ok_or_else(expected)?;
    let bytes = number
        * match unit {
            "B" => 1.0,
            "KB" => 1e3,
            "MB" => 1e6,
            "GB" => 1e9,
            "KiB" => 1024.0,
            "MiB" => 1024.0 * 1024.0,
            "GiB" => 1024.0 * 1024.0 * 1024.0,
            _ => return Err(expected()),
        };
    if bytes >= 1e15 {
        return Err(format!("{text:?} is more than any machine has"));
    }
    Ok(bytes as u64)
}

#[cfg(test)]
mod tests {
    use super::{bytes, span};
    use std::time::Duration;

    #[test]
    fn values_without_a_known_unit_are_rejected() {
        assert_eq!(span("500ms"), Ok(Duration::from_millis(500)));
        assert_eq!(span("1.5 s"), Ok(Duration::from_millis(1500)));
        assert_eq!(span("2min"), Ok(Duration::from_secs(120)));
        assert_eq!(bytes("64KiB"), Ok(65536));
        assert_eq!(bytes("192MB"), Ok(192_000_000));
        for invalid in ["", "5", "ms", "-1s", "1e3s", "1d", "1 m s", "..s", "9999999h", "NaNs"] {
            assert!(span(invalid).is_err(), "{invalid}");
            assert!(bytes(invalid).is_err(), "{invalid}");
        }
    }
}
