//! The operator: sends a configuration until it is accepted, and reads it back. It follows a 307 redirect up
//! to twice, and moves to another controller after a failure, a 5xx, a 408 or 429, or a time-out, with a
//! growing delay.

use crate::platform::Function;
use crate::wire::{call, request, Response};
use nanoserde::SerJson;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Time-out of one call; 1 ms is added for each 100 bytes of the body.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const FIRST_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(1);

/// A route of a configuration.
#[derive(Debug, Clone, SerJson)]
pub struct Route {
    pub name: String,
    pub hostname: String,
    pub path_prefix: String,
    /// `idempotent` or `non_idempotent`.
    pub route_type: String,
    pub timeout_ms: u32,
    pub target_latency_ms: u32,
    pub priority: u32,
    pub service: String,
    pub max_retries: u32,
}

#[derive(SerJson)]
struct Service {
    name: String,
    max_concurrency: usize,
    protocol: String,
    tls_mode: bool,
    memory_mb: u32,
    boot_ms: u64,
    max_inflight: usize,
}

#[derive(SerJson)]
struct Limits {
    max_header_bytes: u32,
    max_body_bytes: u32,
    header_timeout_ms: u32,
    idle_timeout_ms: u32,
}

#[derive(SerJson)]
struct Configuration {
    revision: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
}

/// The complete configuration as the operator sends it, as JSON.
pub fn configuration(revision: u64, routes: &[Route], functions: &[Function]) -> String {
    let service = |f: &Function| Service {
        name: f.name.clone(),
        max_concurrency: f.max_concurrency,
        protocol: "h1".into(),
        tls_mode: false,
        memory_mb: f.memory_mb,
        boot_ms: f.boot.as_millis() as u64,
        max_inflight: f.max_inflight,
    };
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 262_144,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let services = functions.iter().map(service).collect();
    Configuration { revision, routes: routes.to_vec(), services, limits }.serialize_json()
}

/// Why a call was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// A status after which the call is not repeated, and the response's body.
    Response(u16, String),
    /// No conclusive response before the deadline.
    TimedOut,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Response(status, why) => write!(f, "{status}: {why}"),
            CallError::TimedOut => write!(f, "no conclusive response in time"),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Operator {
    /// The processes that serve `controller`.
    pub controllers: Vec<SocketAddr>,
    /// Index of the controller that is called first.
    pub first: usize,
}

impl Operator {
    /// Sends a complete configuration until it is accepted; returns the number of calls that were needed.
    pub async fn replace(&self, text: &str, within: Duration) -> Result<usize, CallError> {
        let headers = [("Content-Type", "application/json")];
        self.repeat("POST", "/v1/Configuration.Replace", &headers, text, within).await.map(|(calls, _)| calls)
    }

    /// Reads the newest configuration.
    pub async fn show(&self, within: Duration) -> Result<String, CallError> {
        let (_, response) = self.repeat("GET", "/v1/Configuration.Show", &[], "", within).await?;
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    async fn repeat(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        within: Duration,
    ) -> Result<(usize, Response), CallError> {
        let until = Instant::now() + within;
        let (mut delay, mut calls, mut refused) = (FIRST_DELAY, 0, 0);
        for index in self.first.. {
            let Some(&at) = self.controllers.get(index % self.controllers.len().max(1)) else { break };
            let call_timeout = CALL_TIMEOUT + Duration::from_millis(body.len() as u64 / 100);
            let (sent, response) = follow(at, call_timeout, method, path, headers, body).await;
            calls += sent;
            if let Some(response) = response {
                let why = || {
                    CallError::Response(response.status, String::from_utf8_lossy(&response.body).into_owned())
                };
                match response.status {
                    200 => return Ok((calls, response)),
                    400 | 409 | 412 | 413 | 422 => return Err(why()),
                    408 | 429 => {}
                    401..=499 => {
                        refused += 1;
                        if refused >= 3 {
                            return Err(why());
                        }
                    }
                    _ => {}
                }
            }
            if Instant::now() + delay >= until {
                break;
            }
            sleep(delay).await;
            delay = (delay * 3 / 2).min(MAX_DELAY);
        }
        Err(CallError::TimedOut)
    }
}

/// Makes one call with at most two redirects, each with the time-out `call_timeout`. Returns the number of
/// requests sent, and the response if there was a complete one.
pub async fn follow(
    mut at: SocketAddr,
    call_timeout: Duration,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (usize, Option<Response>) {
    let mut path = path.to_string();
    for calls in 1..=3 {
        let host = at.to_string();
        let mut all = vec![("Host", host.as_str())];
        all.extend_from_slice(headers);
        let bytes = request(method, &path, &all, body.as_bytes());
        let response = call(at, call_timeout, &bytes, method).await;
        match response {
            Some(response) if response.status == 307 && calls < 3 => {
                let Some(next) = response.headers.get("location").and_then(location) else {
                    return (calls, Some(response));
                };
                (at, path) = next;
            }
            other => return (calls, other),
        }
    }
    (3, None)
}

fn location(text: &str) -> Option<(SocketAddr, String)> {
    let rest = text.strip_prefix("http://")?;
    let slash = rest.find('/').unwrap_or(rest.len());
    let path = if slash == rest.len() { "/" } else { &rest[slash..] };
    Some((rest[..slash].parse().ok()?, path.to_string()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::wire::{read_request, response};
    use rstest::rstest;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    /// A mock controller that answers with these statuses in turn, then always with the last one.
    async fn controller(statuses: &'static [u16], redirect_to: Option<SocketAddr>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let at = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            for index in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let status = statuses[index.min(statuses.len() - 1)];
                let _ = read_request(&mut stream, &mut Vec::new()).await;
                let to =
                    redirect_to.map(|at| format!("http://{at}/v1/Configuration.Replace")).unwrap_or_default();
                let _ = stream.write_all(&response(status, &[("Location", &to)], b"{}")).await;
            }
        });
        at
    }

    #[rstest]
    #[case::at_once(&[200], Ok(1))]
    #[case::after_failures(&[503, 429, 200], Ok(3))]
    #[case::invalid(&[400], Err(400))]
    #[case::refused_three_times(&[404], Err(404))]
    #[tokio::test]
    async fn repeats_until_a_conclusive_status(
        #[case] statuses: &'static [u16],
        #[case] wanted: Result<usize, u16>,
    ) {
        let operator = Operator { controllers: vec![controller(statuses, None).await], first: 0 };
        let got = operator.replace("{}", Duration::from_secs(3)).await;
        let got = got.map_err(|why| match why {
            CallError::Response(status, _) => status,
            CallError::TimedOut => 0,
        });
        assert_eq!(got, wanted);
    }

    #[tokio::test]
    async fn follows_redirects_and_moves_on_from_an_unreachable_controller() {
        let target = controller(&[200], None).await;
        let redirecting = controller(&[307], Some(target)).await;
        // No process listens there.
        let unreachable: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let operator = Operator { controllers: vec![unreachable, redirecting], first: 0 };
        assert_eq!(operator.replace("{}", Duration::from_secs(3)).await, Ok(3));
        let alone = Operator { controllers: vec![unreachable], first: 0 };
        assert_eq!(alone.replace("{}", Duration::from_millis(150)).await, Err(CallError::TimedOut));
    }
}
