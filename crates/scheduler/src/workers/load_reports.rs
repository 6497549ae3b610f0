//! Decodes a worker's load report in the ORCA formats: a format name, then the named metrics.
//!
//! `TEXT backlog=0, x0=3.8` or `JSON {"named_metrics": {"backlog": 0, "x0": 3.8}}`.

use serde_json::Value;

/// The values of these names, in this order; none unless all are present.
pub fn decode(body: &[u8], names: &[String]) -> Option<Vec<f64>> {
    let body = std::str::from_utf8(body).ok()?.trim();
    if let Some(text) = body.strip_prefix("TEXT ") {
        let pairs: Vec<_> = text.split(',').filter_map(|pair| pair.split_once('=')).collect();
        let value = |name: &String| {
            let pair =
                pairs.iter().find(|(key, _)| key.trim().trim_start_matches("named_metrics.") == name)?;
            pair.1.trim().parse().ok().filter(|value: &f64| value.is_finite())
        };
        return names.iter().map(value).collect();
    }
    let whole: Value = serde_json::from_str(body.strip_prefix("JSON ").unwrap_or(body)).ok()?;
    let named = whole.get("named_metrics").unwrap_or(&Value::Null);
    let value = |name: &String| named.get(name).or_else(|| whole.get(name)).and_then(Value::as_f64);
    names.iter().map(value).collect()
}
