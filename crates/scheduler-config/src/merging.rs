//! Applies common settings to a configuration: settings shared by all schedulers are taken from another file,
//! while those of one scheduler (name, position, addresses, limits) are kept.

use crate::is_toml;
use serde_json::Value;
use std::path::Path;
use toml_edit::DocumentMut;

/// In the platform's settings: the position of this scheduler among the others.
const LOCAL_SETTINGS: [&str; 2] = ["zone", "position"];
/// In an installation's TOML: keys that SIGHUP applies and that all schedulers share.
const COMMON_KEYS: [&str; 4] = ["workload", "customer", "utility-beyond-share", "workers"];

/// Returns the text of the configuration at `path` with the settings of `next`, a file of the same format.
/// Comments and other keys are kept. An error is one line.
pub fn merge_settings(path: &Path, local: &str, next_path: &Path, next: &str) -> Result<String, String> {
    let (local_name, next_name) = (path.display(), next_path.display());
    if is_toml(path) != is_toml(next_path) {
        return Err(format!("{local_name} and {next_name} have different formats"));
    }
    if !is_toml(path) {
        let read = |name: &dyn std::fmt::Display, text: &str| {
            serde_json::from_str::<Value>(text).map_err(|e| format!("{name}: {e}"))
        };
        let (mut local, mut next) = (read(&local_name, local)?, read(&next_name, next)?);
        let settings = next.get_mut("settings").map(Value::take);
        let mut settings = settings.ok_or_else(|| format!("{next_name}: no settings"))?;
        let kept = local.get("settings").ok_or_else(|| format!("{local_name}: no settings"))?;
        let fields =
            settings.as_object_mut().ok_or_else(|| format!("{next_name}: settings are no object"))?;
        for key in LOCAL_SETTINGS {
            match kept.get(key) {
                Some(value) => drop(fields.insert(key.into(), value.clone())),
                None => drop(fields.remove(key)),
            }
        }
        local["settings"] = settings;
        return serde_json::to_string_pretty(&local).map(|text| text + "\n").map_err(|e| e.to_string());
    }
    let read = |name: &dyn std::fmt::Display, text: &str| {
        text.parse::<DocumentMut>().map_err(|e| format!("{name}: {}", e.message()))
    };
    let (mut local, next) = (read(&local_name, local)?, read(&next_name, next)?);
    for key in COMMON_KEYS {
        match next.get(key) {
            Some(item) => local[key] = item.clone(),
            None => drop(local.remove(key)),
        }
    }
    Ok(local.to_string())
}

#[cfg(test)]
mod tests {
    use super::merge_settings;
    use std::path::Path;

    /// Guards against a scheduler that takes the name, position or address of another one along with its
    /// settings.
    #[test]
    fn local_settings_are_kept() {
        let (local, next) = (Path::new("n0.json"), Path::new("next.json"));
        let text = r#"{"name":"n0","listen":"a","settings":{"zone":3,"workloads":["x"],"caps":1}}"#;
        let other = r#"{"name":"n9","listen":"b","settings":{"zone":0,"position":7,"workloads":["y"]}}"#;
        let got: serde_json::Value =
            serde_json::from_str(&merge_settings(local, text, next, other).expect("a text")).expect("JSON");
        let wanted = serde_json::json!({"name":"n0","listen":"a","settings":{"zone":3,"workloads":["y"]}});
        assert_eq!(got, wanted);

        let text = "name = \"n0\" # mine\nlisten = \"a\"\n\n[workers]\nschedulers = 2\n\n\
                    [[workload]]\nname = \"x\"\n\n\
                    [management]\nlisten = \"m\"\n";
        let other = "name = \"n9\"\n\n[[workload]]\nname = \"y\"\n\n[[workload]]\nname = \"z\"\n";
        let got = merge_settings(Path::new("n0.toml"), text, Path::new("next.toml"), other).expect("a text");
        let table: toml::de::DeTable = toml::de::DeTable::parse(&got).expect("TOML").into_inner();
        assert!(got.starts_with("name = \"n0\" # mine") && got.contains("listen = \"m\""), "{got}");
        assert!(!table.contains_key("workers") && got.matches("[[workload]]").count() == 2, "{got}");
    }

    #[test]
    fn invalid_input_gives_one_line_of_error() {
        let merge = |local: &str, text, next: &str, other| {
            merge_settings(Path::new(local), text, Path::new(next), other).expect_err("an error")
        };
        let errors = [
            merge("a.json", "{}", "b.toml", ""),
            merge("a.json", r#"{"settings":{}}"#, "b.json", "{}"),
            merge("a.json", "{}", "b.json", r#"{"settings":{}}"#),
            merge("a.json", r#"{"settings":{}}"#, "b.json", r#"{"settings":[]}"#),
            merge("a.json", "{", "b.json", r#"{"settings":{}}"#),
            merge("a.toml", "a = ", "b.toml", ""),
        ];
        assert!(errors.iter().all(|why| why.starts_with("a.") || why.starts_with("b.")), "{errors:?}");
    }
}
