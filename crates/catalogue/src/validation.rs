//! From a JSON tree to a catalogue, by hand, so that each fault names its place.

use std::collections::HashMap;

use crate::error::{clipped, FieldError, Location, ReadError};
use crate::json::Value;
use crate::{Catalogue, Limits, Route, RouteKind, Service, Share};

/// Fields in which a route may be split among services.
const SPLITS: [&str; 3] = ["services", "weights", "split"];

/// What the largest weight of a split becomes where some weight has a fraction.
const FINEST: f64 = 1e9;

/// The fields of one object, with its place for faults.
struct Fields<'a> {
    of: &'a [(String, Value)],
    place: Location,
}

impl<'a> Fields<'a> {
    fn fault(&self, field: &str, wrong: FieldError) -> ReadError {
        ReadError::Invalid { place: self.place.clone(), field: clipped(field), wrong }
    }

    /// A field that is there and not null.
    fn get(&self, field: &str) -> Option<&'a Value> {
        self.of.iter().find(|(key, _)| key == field).map(|(_, v)| v).filter(|v| !matches!(v, Value::Null))
    }

    fn text(&self, field: &str) -> Result<Option<&'a str>, ReadError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(self.fault(field, FieldError::NotText)),
        }
    }

    fn full_text(&self, field: &str) -> Result<&'a str, ReadError> {
        match self.text(field)? {
            None => Err(self.fault(field, FieldError::Missing)),
            Some("") => Err(self.fault(field, FieldError::Empty)),
            Some(text) => Ok(text),
        }
    }

    fn whole(&self, field: &str) -> Result<Option<u64>, ReadError> {
        // Up to here every whole number has its own f64.
        const EXACT: f64 = 9_007_199_254_740_992.0;
        match self.get(field) {
            None => Ok(None),
            Some(Value::Whole(number)) => Ok(Some(*number)),
            Some(Value::Number(n)) if n.fract() == 0.0 && (0.0..=EXACT).contains(n) => Ok(Some(*n as u64)),
            Some(_) => Err(self.fault(field, FieldError::NotWhole)),
        }
    }

    /// A number that is read as the largest `u32` if above.
    fn small(&self, field: &str) -> Result<Option<u32>, ReadError> {
        Ok(self.whole(field)?.map(|n| u32::try_from(n).unwrap_or(u32::MAX)))
    }

    fn byte(&self, field: &str) -> Result<Option<u8>, ReadError> {
        Ok(self.whole(field)?.map(|n| u8::try_from(n).unwrap_or(u8::MAX)))
    }

    fn list(&self, field: &str) -> Result<&'a [Value], ReadError> {
        match self.get(field) {
            None => Err(self.fault(field, FieldError::Missing)),
            Some(Value::Array(values)) => Ok(values),
            Some(_) => Err(self.fault(field, FieldError::NotList)),
        }
    }

    /// The entry of a list; its place is made with its name, as far as it has one.
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
        fields.place = place(fields.text("name").ok().flatten().map_or(String::new(), clipped));
        Ok(fields)
    }
}

pub(crate) fn catalogue(value: &Value) -> Result<Catalogue, ReadError> {
    let whole = Fields::entry(value, |_| Location::Whole)?;
    let revision = whole.whole("revision")?.ok_or_else(|| whole.fault("revision", FieldError::Missing))?;
    let (routes, services) = (whole.list("routes")?, whole.list("services")?);

    let mut indexes = HashMap::new();
    let mut read_services = Vec::with_capacity(services.len());
    for (index, value) in (0..).zip(services) {
        let fields = Fields::entry(value, |name| Location::Service { index: u64::from(index), name })?;
        let service = service(&fields)?;
        if let Some(other) = indexes.insert(service.name.clone(), index) {
            return Err(fields.fault("name", FieldError::SameName { other: u64::from(other) }));
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
            return Err(fields.fault("path_prefix", FieldError::SameTarget { other }));
        }
        read_routes.push(route);
    }

    let limits = match whole.get("limits") {
        None => Limits::default(),
        Some(Value::Object(of)) => limits(&Fields { of, place: Location::Limits })?,
        Some(_) => return Err(whole.fault("limits", FieldError::NotObject)),
    };
    Ok(Catalogue { revision, routes: read_routes, services: read_services, limits })
}

fn limits(fields: &Fields) -> Result<Limits, ReadError> {
    let usual = Limits::default();
    Ok(Limits {
        max_header_bytes: fields.small("max_header_bytes")?.unwrap_or(usual.max_header_bytes),
        max_body_bytes: fields.small("max_body_bytes")?.unwrap_or(usual.max_body_bytes),
        header_timeout_ms: fields.small("header_timeout_ms")?.unwrap_or(usual.header_timeout_ms),
        idle_timeout_ms: fields.small("idle_timeout_ms")?.unwrap_or(usual.idle_timeout_ms),
    })
}

fn service(fields: &Fields) -> Result<Service, ReadError> {
    let name = fields.full_text("name")?.to_string();
    let health_path = fields.text("health_path")?.filter(|path| !path.is_empty());
    // It becomes part of a request line.
    if let Some(path) = health_path.filter(|path| !path.starts_with('/')) {
        return Err(fields.fault("health_path", FieldError::NotPath(clipped(path))));
    }
    let max_inflight = match fields.small("max_inflight")? {
        // Such a worker could never be given a request.
        Some(0) => return Err(fields.fault("max_inflight", FieldError::Zero)),
        Some(given) => given,
        None => fields.small("slots")?.unwrap_or(0),
    };
    Ok(Service {
        name,
        health_path: health_path.map(str::to_string),
        max_concurrency: fields.small("max_concurrency")?.unwrap_or(0),
        memory_mb: fields.small("memory_mb")?.unwrap_or(0),
        boot_ms: fields.small("boot_ms")?.unwrap_or(0),
        max_inflight,
    })
}

fn route(fields: &Fields, services: &HashMap<String, u32>) -> Result<Route, ReadError> {
    let name = fields.text("name")?.unwrap_or_default().to_string();
    let hostname = fields.full_text("hostname")?.to_string();
    let path_prefix = fields.full_text("path_prefix")?;
    if !path_prefix.starts_with('/') || !path_prefix.ends_with('/') {
        return Err(fields.fault("path_prefix", FieldError::NotPath(clipped(path_prefix))));
    }
    let kind = match fields.full_text("route_type")? {
        "idempotent" => RouteKind::Idempotent,
        "non_idempotent" => RouteKind::NonIdempotent,
        other => return Err(fields.fault("route_type", FieldError::UnknownKind(clipped(other)))),
    };
    let timeout_ms = match fields.small("timeout_ms")? {
        None => return Err(fields.fault("timeout_ms", FieldError::Missing)),
        Some(0) => return Err(fields.fault("timeout_ms", FieldError::Zero)),
        Some(timeout_ms) => timeout_ms,
    };
    Ok(Route {
        name,
        hostname,
        path_prefix: path_prefix.to_string(),
        kind,
        timeout_ms,
        target_latency_ms: fields.small("target_latency_ms")?.unwrap_or(timeout_ms),
        priority: fields.byte("priority")?.unwrap_or(0),
        max_retries: fields.byte("max_retries")?.unwrap_or(1).max(1),
        shares: shares(fields, services)?,
    })
}

/// Where a route leads: by a split if it has one, else to its one service.
fn shares(fields: &Fields, services: &HashMap<String, u32>) -> Result<Vec<Share>, ReadError> {
    let index = |name: &str| match services.get(name) {
        Some(index) => Ok(*index),
        None => Err(fields.fault("service", FieldError::UnknownService(clipped(name)))),
    };
    let alone = fields.text("service")?.map(index).transpose()?;
    let (mut split, mut last) = (Vec::new(), None);
    for field in SPLITS {
        let Some(value) = fields.get(field) else { continue };
        let found = weights(fields, field, value)?;
        if !found.is_empty() && !split.is_empty() {
            return Err(fields.fault(field, FieldError::SplitTwice));
        }
        for (name, weight) in found {
            split.push((index(name)?, weight));
        }
        last = Some(field);
    }
    match (last, alone) {
        // An empty split beside a service says nothing.
        (_, Some(service)) if split.is_empty() => Ok(vec![Share { service, weight: 1 }]),
        (None, _) => Err(fields.fault("service", FieldError::Missing)),
        (Some(field), _) => proportioned(&split).ok_or_else(|| fields.fault(field, FieldError::NoWeight)),
    }
}

/// The names and weights of a split: `[{"service": "x", "weight": 3}]` (or `name`) or `{"x": 3}`.
fn weights<'a>(fields: &Fields, field: &str, value: &'a Value) -> Result<Vec<(&'a str, f64)>, ReadError> {
    let weight = |name: &'a str, value: Option<&Value>| match value {
        Some(Value::Whole(n)) => Ok((name, *n as f64)),
        // Such as -1, and 1e999, which is infinite.
        Some(Value::Number(n)) if n.is_finite() && *n >= 0.0 => Ok((name, *n)),
        _ => Err(fields.fault(field, FieldError::BadWeight { service: clipped(name) })),
    };
    match value {
        Value::Object(of) => of.iter().map(|(name, value)| weight(name, Some(value))).collect(),
        Value::Array(entries) => entries
            .iter()
            .map(|entry| {
                let Value::Object(of) = entry else { return Err(fields.fault(field, FieldError::NotSplit)) };
                let entry = Fields { of, place: fields.place.clone() };
                let name = match entry.text("service")? {
                    Some(name) => Some(name),
                    None => entry.text("name")?,
                };
                weight(name.ok_or_else(|| fields.fault(field, FieldError::NotSplit))?, entry.get("weight"))
            })
            .collect(),
        _ => Err(fields.fault(field, FieldError::NotSplit)),
    }
}

/// Whole weights as they are; others, and those too large, in proportion to the largest, with none that was
/// above 0 lost. None if there is no weight at all.
fn proportioned(split: &[(u32, f64)]) -> Option<Vec<Share>> {
    let largest = split.iter().map(|(_, weight)| *weight).fold(0.0, f64::max);
    if largest == 0.0 {
        return None;
    }
    let exact = split.iter().all(|(_, weight)| weight.fract() == 0.0 && *weight <= f64::from(u32::MAX));
    let whole = |weight: f64| match weight {
        _ if exact => weight as u32,
        0.0 => 0,
        _ => ((weight / largest * FINEST).round() as u32).max(1),
    };
    Some(split.iter().map(|&(service, weight)| Share { service, weight: whole(weight) }).collect())
}
