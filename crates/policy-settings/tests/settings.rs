//! The settings of a deployment: keys that reach the policy settings, and one clear error for an unknown
//! value.

use serde_json::{json, Value};
use tindock_policy_settings::from_json;

fn settings(change: impl Fn(&mut Value)) -> Value {
    let mut settings = json!({
        "instances": 3, "zone": 0, "position": 2, "discovery": "automatic", "weights": "live",
        "caps": {"most_assignments": 3, "peers": true},
        "rules": {"overload_factor": 3.0, "cold_share": 0.2, "warm_within_s": 8.0},
        "penalties": {"peer": 0.01},
        "reporting": {"source": "piggyback", "names": ["backlog", "x0"]},
        "domain": {"report_x0": "free slots", "tells_start": true},
        "workloads": [{"effect": "fragile", "promised_time_s": 1, "hard_limit_s": 5, "utility": 1}]
    });
    change(&mut settings);
    settings
}

#[test]
fn optional_keys_reach_the_policy_settings() {
    let parsed = from_json(&settings(|_| ())).expect("settings");
    assert_eq!((parsed.members, parsed.position, parsed.message_cost), (3, 2, 0.01));
    assert_eq!((parsed.live_weights, parsed.report_free, parsed.report_waiting), (true, Some(1), Some(0)));
    let parsed = from_json(&settings(|s| {
        s["caps"]["peers"] = json!(false);
        s["weights"] = json!("rough");
        s["reporting"] = json!({"source": "silent", "names": []});
    }))
    .expect("settings");
    assert_eq!((parsed.members, parsed.live_weights, parsed.report_free), (0, false, None));
}

#[test]
fn an_unknown_value_is_reported_with_its_key() {
    let wrong =
        |key: &str, value: Value| from_json(&settings(|s| s[key] = value.clone())).expect_err("an error");
    assert_eq!(wrong("weights", json!("heavy")), "settings: unknown weights \"heavy\"");
    let reporting = json!({"source": "post", "names": []});
    assert_eq!(wrong("reporting", reporting), "settings: unknown reporting \"post\"");
    assert_eq!(wrong("position", json!("first")), "settings: no number at /position");
}
