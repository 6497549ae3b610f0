//! Parses a request into a message, or into the status that rejects it.

use crate::exchange::TaskRequest;
use crate::workers::updates::{self, Update};
use crate::workload_table::TaskNames;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// An ordinary body is no longer than this, so it never waits for memory.
pub const SHORT_BODY_BYTES: usize = 4 * 1024;
/// No machine has more slots than this; sums of sizes must stay meaningful.
const MAX_SLOTS: f64 = 1024.0;
const WRONG_METHOD: &str = "with a method that is not allowed";
const INVALID_PROPS: &str = "with invalid x-props";
const BODY_TOO_LONG: &str = "with a body that is too long";
/// An id becomes part of a path at the worker, so it is short and plain.
const MAX_ID_BYTES: usize = 64;

#[derive(Debug)]
pub enum Message {
    /// With the memory reserved for its body for as long as the task is in flight.
    Task(TaskRequest, Option<OwnedSemaphorePermit>),
    /// With the undecoded body.
    Update(Update, Bytes),
    Health,
}

/// A rejected request, and the reason for the log: a fixed text, because occurrences are counted by it.
#[derive(Debug, PartialEq)]
pub struct Rejection(pub StatusCode, pub &'static str);

fn reject<T>(status: StatusCode, why: &'static str) -> Result<T, Rejection> {
    Err(Rejection(status, why))
}

/// Memory for bodies above the ordinary length, of tasks in flight and of updates. Short bodies count as part
/// of their connection. Updates have a budget of their own: without it, the tasks that hold the other one
/// could not end.
pub struct BodyBudget {
    tasks: Arc<Semaphore>,
    updates: Arc<Semaphore>,
}

impl BodyBudget {
    /// Both budgets have this many bytes.
    pub fn new(bytes_each: usize) -> Self {
        let semaphore = || Arc::new(Semaphore::new(bytes_each.clamp(MAX_BODY_BYTES, Semaphore::MAX_PERMITS)));
        BodyBudget { tasks: semaphore(), updates: semaphore() }
    }
}

/// Waits for memory for a body; a short one needs none.
async fn reserve<B: Body>(
    body: &B,
    budget: &Arc<Semaphore>,
) -> Result<Option<OwnedSemaphorePermit>, Rejection> {
    let hint = body.size_hint();
    if hint.lower() > MAX_BODY_BYTES as u64 {
        return reject(StatusCode::PAYLOAD_TOO_LARGE, BODY_TOO_LONG);
    }
    let max_length = hint.upper().map_or(MAX_BODY_BYTES, |upper| MAX_BODY_BYTES.min(upper as usize));
    if max_length <= SHORT_BODY_BYTES {
        return Ok(None);
    }
    let permit = budget.clone().acquire_many_owned(max_length as u32).await;
    permit.map(Some).or_else(|_| reject(StatusCode::INTERNAL_SERVER_ERROR, "without memory for the body"))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Rejection> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value
        .map(|v| v.map(str::trim))
        .or_else(|_| reject(StatusCode::BAD_REQUEST, "with a header that is not text"))
}

/// Reads a whole body, up to the limit.
pub async fn body<B: Body<Data = Bytes>>(body: B) -> Result<Bytes, Rejection>
where
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return reject(StatusCode::PAYLOAD_TOO_LARGE, BODY_TOO_LONG);
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            reject(StatusCode::PAYLOAD_TOO_LARGE, BODY_TOO_LONG)
        }
        Err(_) => reject(StatusCode::BAD_REQUEST, "with a body that broke off"),
    }
}

pub async fn read(
    request: Request<Incoming>,
    names: &RefCell<TaskNames>,
    budget: &BodyBudget,
) -> Result<Message, Rejection> {
    let (head, rest) = request.into_parts();
    let path = head.uri.path();
    match path {
        "/healthz" if head.method == Method::GET => return Ok(Message::Health),
        "/_jobs/news" if head.method == Method::POST => {
            let _permit = reserve(&rest, &budget.updates).await?;
            let body_bytes = body(rest).await?;
            return updates::decode(&body_bytes)
                .map(|update| Message::Update(update, body_bytes))
                .or_else(|_| reject(StatusCode::BAD_REQUEST, "with an invalid update"));
        }
        "/healthz" | "/_jobs/news" => return reject(StatusCode::METHOD_NOT_ALLOWED, WRONG_METHOD),
        _ => {}
    }
    let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    // The workloads may change while the body is read: those in force at its end apply.
    let row = || {
        names.borrow().row(first).map_or_else(|| reject(StatusCode::NOT_FOUND, "for an unknown workload"), Ok)
    };
    row()?;
    if head.method != Method::POST {
        return reject(StatusCode::METHOD_NOT_ALLOWED, WRONG_METHOD);
    }
    let id = text(&head.headers, "x-trace-id")?.unwrap_or_default();
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.chars().all(plain) {
        return reject(StatusCode::BAD_REQUEST, "without a valid x-trace-id");
    }
    let time_left = match text(&head.headers, "x-expires-in-ms")?.map(str::parse) {
        None => None,
        Some(Ok(ms)) => Some(Duration::from_millis(ms)),
        Some(Err(_)) => return reject(StatusCode::BAD_REQUEST, "with an x-expires-in-ms that is no number"),
    };
    let size = size(text(&head.headers, "x-props")?.unwrap_or_default())?;
    // A tenant that is not configured has no share to keep to.
    let tenant = text(&head.headers, "x-customer")?;
    let tenant = names.borrow().tenants.iter().position(|name| Some(name.as_str()) == tenant);
    let target = head.uri.path_and_query().map_or(path, |whole| whole.as_str()).to_owned();
    let (id, tenant) = (id.into(), tenant.unwrap_or(usize::MAX));
    let headers = forwarded(head.headers);
    let permit = reserve(&rest, &budget.tasks).await?;
    let body = body(rest).await?;
    let workload = row()?;
    Ok(Message::Task(TaskRequest { id, workload, tenant, size, time_left, target, headers, body }, permit))
}

/// Headers that concern one connection only, or are set anew for each assignment.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
    header::HOST,
];

/// Guards against effects applied twice at the worker: the deduplication key of a task is a header, so all
/// end-to-end headers are forwarded.
fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_owned()))
        .collect();
    HOP_BY_HOP_HEADERS.iter().for_each(|name| drop(headers.remove(name)));
    named.iter().for_each(|name| drop(headers.remove(name.as_str())));
    headers
}

/// The size of a task: slots, or units of memory if that is more, since each slot has one unit.
fn size(props: &str) -> Result<f64, Rejection> {
    let mut size: f64 = 1.0;
    for prop in props.split(',').map(str::trim).filter(|prop| !prop.is_empty()) {
        let Some((name, value)) = prop.split_once('=') else {
            return reject(StatusCode::BAD_REQUEST, INVALID_PROPS);
        };
        if matches!(name.trim(), "slots" | "memory") {
            match value.trim().parse::<f64>() {
                Ok(value) if (0.0..=MAX_SLOTS).contains(&value) => size = size.max(value),
                _ => return reject(StatusCode::BAD_REQUEST, INVALID_PROPS),
            }
        }
    }
    Ok(size)
}
