//! Converts a JSON tree to a configuration, without a derive, so that each error names its location.

use std::collections::HashMap;

use crate::error::{truncate_name, FieldError, Location, ReadError};
use crate::json::Value;
use crate::{Catalogue, Limits, Route, RouteKind, Service, Share};

/// Fields in which a route may be split among services.
const SPLITS: [&str; 3] = ["services", "weights", "split"];

/// The scaled value of the largest weight of a split if some weight has a fraction.
const MAX_SCALED_WEIGHT: f64 = 1e9;

/// The fields of one object, with its location for errors.
struct Fields<'a> {
    of: &'a [(String, Value)],
    place: Location,
}

impl<'a> Fields<'a> {
    fn error(&self, field: &str, wrong: FieldError) -> ReadError {
        ReadError::Invalid { place: self.place.clone(), field: truncate_name(field), wrong }
    }

    /// A field that is present and not null.
    fn get(&self, field: &str) -> Option<&'a Value> {
        self.of.iter().find(|(key, _)| key == field).map(|(_, v)| v).filter(|v| !matches!(v, Value::Null))
    }

    fn text(&self, field: &str) -> Result<Option<&'a str>, ReadError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.error(field, FieldError::NotText)),
        }
    }

    fn required_text(&self, field: &str) -> Result<&'a str, ReadError> {
        match self.text(field)? {
            None => Err(self.error(field, FieldError::Missing)),
            Some("") => Err(self.error(field, FieldError::Empty)),
            Some(text) => Ok(text),
        }
    }

    fn whole_number(&self, field: &str) -> Result<Option<u64>, ReadError> {
        // Up to here every whole number has an exact f64.
        const EXACT: f64 = 9_007_199_254_740_992.0;
        match self.get(field) {
            None => Ok(None),
            Some(Value::Whole(number)) => Ok(Some(*number)),
            Some(Value::Number(n)) if n.fract() == 0.0 && (0.0..=EXACT).contains(n) => Ok(Some(*n as u64)),
            Some(_) => Err(self.error(field, FieldError::NotWhole)),
        }
    }

    /// A number; values above the range are read as the largest `u32`.
    fn u32_number(&self, field: &str) -> Result<Option<u32>, ReadError> {
        Ok(self.whole_number(field)?.map(|n| u32::try_from(n).unwrap_or(u32::MAX)))
    }

    fn u8_number(&self, field: &str) -> Result<Option<u8>, ReadError> {
        Ok(self.whole_number(field)?.map(|n| u8::try_from(n).unwrap_or(u8::MAX)))
    }

    fn list(&self, field: &str) -> Result<&'a [Value], ReadError> {
        match self.get(field) {
            None => Err(self.error(field, FieldError::Missing)),
            Some(Value::Array(values)) => Ok(values),
            Some(_) => Err(self.error(field, FieldError::NotList)),
        }
    }

    /// An entry of a list; its location includes its name, if it has one.
    fn entry(value: &'a Value, place: impl Fn(String) -> Location) -> Result<Fields<'a>, ReadError> {
        let Value::Object(of) = value else {
            let place = place(String::new());
            return Err(ReadError::Invalid {
                place,
                field: "this".to_string(),
                wrong: FieldError::NotObject,
            });
        };
        let mut fields = Fields { of, place: Location::Whole };
        fields.place = place(fields.text("name").ok().flatten().map_or(String::new(), truncate_name));
        Ok(fields)
    }
}

pub(crate) fn catalogue(value: &Value) -> Result<Catalogue, ReadError> {
    let root = Fields::entry(value, |_| Location::Whole)?;
    let revision =
        root.whole_number("revision")?.ok_or_else(|| root.error("revision", FieldError::Missing))?;
    let (routes, services) = (root.list("routes")?, root.list("services")?);

    let mut indexes = HashMap::new();
    let mut read_services = Vec::with_capacity(services.len());
    for (index, value) in (0..).zip(services) {
        let fields = Fields::entry(value, |name| Location::Service { index: u64::from(index), name })?;
        let service = service(&fields)?;
        if let Some(other) = indexes.insert(service.name.clone(), index) {
            return Err(fields.error("name", FieldError::SameName { other: u64::from(other) }));
        }
        read_services.push(service);
    }

    let mut targets = HashMap::new();
    let mut read_routes = Vec::with_capacity(routes.len());
    for (index, value) in (0..).zip(routes) {
        let fields = Fields::entry(value, |name| Location::Route { index, name })?;
        let route = route(&fields, &indexes)?;
        let target = (route.hostname.to_ascii_lowercase(), route.path_prefix.clone());
        if let Some(other) = targets.insert(target, index) {
            return Err(fields.error("path_prefix", FieldError::SameTarget { other }));
        }
        read_routes.push(route);
    }

    let limits = match root.get("limits") {
        None => Limits::default(),
        Some(Value::Object(of)) => limits(&Fields { of, place: Location::Limits })?,
        Some(_) => return Err(root.error("limits", FieldError::NotObject)),
    };
    Ok(Catalogue { revision, routes: read_routes, services: read_services, limits })
}

fn limits(fields: &Fields) -> Result<Limits, ReadError> {
    let defaults = Limits::default();
    Ok(Limits {
        max_header_bytes: fields.u32_number("max_header_bytes")?.unwrap_or(defaults.max_header_bytes),
        max_body_bytes: fields.u32_number("max_body_bytes")?.unwrap_or(defaults.max_body_bytes),
        header_timeout_ms: fields.u32_number("header_timeout_ms")?.unwrap_or(defaults.header_timeout_ms),
        idle_timeout_ms: fields.u32_number("idle_timeout_ms")?.unwrap_or(defaults.idle_timeout_ms),
    })
}

fn service(fields: &Fields) -> Result<Service, ReadError> {
    let name = fields.required_text("name")?.to_string();
    let health_path = fields.text("health_path")?.filter(|path| !path.is_empty());
    // It becomes part of a request line.
    if let Some(path) = health_path.filter(|path| !path.starts_with('/')) {
        return Err(fields.error("health_path", FieldError::NotPath(truncate_name(path))));
    }
    let max_inflight = match fields.u32_number("max_inflight")? {
        // Such a worker could never receive a request.
        Some(0) => return Err(fields.error("max_inflight", FieldError::Zero)),
        Some(given) => given,
        None => fields.u32_number("slots")?.unwrap_or(0),
    };
    Ok(Service {
        name,
        health_path: health_path.map(str::to_string),
        max_concurrency: fields.u32_number("max_concurrency")?.unwrap_or(0),
        memory_mb: fields.u32_number("memory_mb")?.unwrap_or(0),
        boot_ms: fields.u32_number("boot_ms")?.unwrap_or(0),
        max_inflight,
    })
}

fn route(fields: &Fields, services: &HashMap<String, u32>) -> Result<Route, ReadError> {
    let name = fields.text("name")?.unwrap_or_default().to_string();
    let hostname = fields.required_text("hostname")?.to_string();
    let path_prefix = fields.required_text("path_prefix")?;
    if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
        return Err(fields.error("path_prefix", FieldError::NotPath(truncate_name(path_prefix))));
    }
    let kind = match fields.required_text("route_type")? {
        "idempotent" => RouteKind::Idempotent,
        "non_idempotent" => RouteKind::NonIdempotent,
        other => return Err(fields.error("route_type", FieldError::UnknownKind(truncate_name(other)))),
    };
    let timeout_ms = match fields.u32_number("timeout_ms")? {
        None => return Err(fields.error("timeout_ms", FieldError::Missing)),
        Some(0) => return Err(fields.error("timeout_ms", FieldError::Zero)),
        Some(timeout_ms) => timeout_ms,
    };
    Ok(Route {
        name,
        hostname,
        path_prefix: path_prefix.to_string(),
        kind,
        timeout_ms,
        target_latency_ms: fields.u32_number("target_latency_ms")?.unwrap_or(timeout_ms),
        priority: fields.u8_number("priority")?.unwrap_or(0),
        max_retries: fields.u8_number("max_retries")?.unwrap_or(1).max(1),
        shares: shares(fields, services)?,
    })
}

/// The services of a route: its split if it has one, otherwise its single service.
fn shares(fields: &Fields, services: &HashMap<String, u32>) -> Result<Vec<Share>, ReadError> {
    let index = |name: &str| match services.get(name) {
        Some(index) => Ok(*index),
        None => Err(fields.error("service", FieldError::UnknownService(truncate_name(name)))),
    };
    let single_service = fields.text("service")?.map(index).transpose()?;
    let (mut split, mut last_field) = (Vec::new(), None);
    for field in SPLITS {
        let Some(value) = fields.get(field) else { continue };
        let found = weights(fields, field, value)?;
        if !found.is_empty() && !split.is_empty() {
            return Err(fields.error(field, FieldError::SplitTwice));
        }
        for (name, weight) in found {
            split.push((index(name)?, weight));
        }
        last_field = Some(field);
    }
    match (last_field, single_service) {
        // An empty split beside a service is ignored.
        (_, Some(service)) if split.is_empty() => Ok(vec![Share { service, weight: 1 }]),
        (None, _) => Err(fields.error("service", FieldError::Missing)),
        (Some(field), _) => {
            normalized_weights(&split).ok_or_else(|| fields.error(field, FieldError::NoWeight))
        }
    }
}

/// The names and weights of a split: `[{"service": "x", "weight": 3}]` (or `name`) or `{"x": 3}`.
fn weights<'a>(fields: &Fields, field: &str, value: &'a Value) -> Result<Vec<(&'a str, f64)>, ReadError> {
    let weight = |name: &'a str, value: Option<&Value>| match value {
        Some(Value::Whole(n)) => Ok((name, *n as f64)),
        // Rejects for example -1, and 1e999, which is infinite.
        Some(Value::Number(n)) if n.is_finite() && *n >= 0.0 => Ok((name, *n)),
        _ => Err(fields.error(field, FieldError::BadWeight { service: truncate_name(name) })),
    };
    match value {
        Value::Object(of) => of.iter().map(|(name, value)| weight(name, Some(value))).collect(),
        Value::Array(entries) => entries
            .iter()
            .map(|entry| {
                let Value::Object(of) = entry else { return Err(fields.error(field, FieldError::NotSplit)) };
                let entry = Fields { of, place: fields.place.clone() };
                let name = match entry.text("service")? {
                    Some(name) => Some(name),
                    None => entry.text("name")?,
                };
                weight(name.ok_or_else(|| fields.error(field, FieldError::NotSplit))?, entry.get("weight"))
            })
            .collect(),
        _ => Err(fields.error(field, FieldError::NotSplit)),
    }
}

/// Keeps whole weights; scales fractions, and weights that are too large, relative to the largest, so that no
/// weight above 0 becomes 0. None if all weights are 0.
fn normalized_weights(split: &[(u32, f64)]) -> Option<Vec<Share>> {
    let largest = split.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    if largest == 0.0 {
        return None;
    }
    let exact = split.iter().all(|(_, weight)| weight.fract() == 0.0 && *weight <= f64::from(u32::MAX));
    let to_weight = |weight: f64| match weight {
        _ if exact => weight as u32,
        0.0 => 0,
        _ => ((weight / largest * MAX_SCALED_WEIGHT).round() as u32).max(1),
    };
    Some(split.iter().map(|&(service, weight)| Share { service, weight: to_weight(weight) }).collect())
}
