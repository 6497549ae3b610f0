//! The operator: sends a configuration until it is taken, and reads it back. It follows 307 twice and moves to another
//! scheduler after a failure, a 5xx, a 408 or 429, or silence, with a growing pause.

use crate::platform::Function;
use crate::wire::{call, request, Response};
use nanoserde::SerJson;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Silence is given up after so long; longer for large bodies.
const PATIENCE: Duration = Duration::from_secs(1);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

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
struct Whole {
    revision: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
}

/// A whole configuration as the operator sends it.
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
    Whole { revision, routes: routes.to_vec(), services, limits }.serialize_json()
}

/// Why a call was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Given {
    /// An answer that ends the call, with what it says.
    Response(u16, String),
    /// No clear answer in the time there was.
    Silence,
}

impl fmt::Display for Given {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Given::Response(status, why) => write!(f, "{status}: {why}"),
            Given::Silence => write!(f, "no clear answer in time"),
        }
    }
}

#[derive(Debug, Clone)]
pub struct Operator {
    /// The schedulers that serve `controller`.
    pub controllers: Vec<SocketAddr>,
    /// Where it begins among them.
    pub first: usize,
}

impl Operator {
    /// Sends a whole configuration until it is taken; the number of calls that took.
    pub async fn replace(&self, text: &str, within: Duration) -> Result<usize, Given> {
        let headers = [("Content-Type", "application/json")];
        self.repeat("POST", "/v1/Configuration.Replace", &headers, text, within).await.map(|(calls, _)| calls)
    }

    /// The newest configuration.
    pub async fn show(&self, within: Duration) -> Result<String, Given> {
        let (_, answer) = self.repeat("GET", "/v1/Configuration.Show", &[], "", within).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    async fn repeat(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        within: Duration,
    ) -> Result<(usize, Response), Given> {
        let until = Instant::now() + within;
        let (mut pause, mut calls, mut refused) = (FIRST_PAUSE, 0, 0);
        for turn in self.first.. {
            let Some(&at) = self.controllers.get(turn % self.controllers.len().max(1)) else { break };
            let patience = PATIENCE + Duration::from_millis(body.len() as u64 / 100);
            let (more, answer) = follow(at, patience, method, path, headers, body).await;
            calls += more;
            if let Some(answer) = answer {
                let why =
                    || Given::Response(answer.status, String::from_utf8_lossy(&answer.body).into_owned());
                match answer.status {
                    200 => return Ok((calls, answer)),
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
            if Instant::now() + pause >= until {
                break;
            }
            sleep(pause).await;
            pause = (pause * 3 / 2).min(LONGEST_PAUSE);
        }
        Err(Given::Silence)
    }
}

/// One call with at most two redirects, each given up after `patience`: how many calls went out, and the answer if
/// there was a whole one.
pub async fn follow(
    mut at: SocketAddr,
    patience: Duration,
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
        let answer = call(at, patience, &bytes, method).await;
        match answer {
            Some(answer) if answer.status == 307 && calls < 3 => {
                let Some(next) = answer.headers.get("location").and_then(location) else {
                    return (calls, Some(answer));
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
    use crate::wire::{answer, read_request};
    use rstest::rstest;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpListener;

    /// A controller that says these statuses in turn, then the last one for ever.
    async fn controller(says: &'static [u16], elsewhere: Option<SocketAddr>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let at = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            for turn in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let status = says[turn.min(says.len() - 1)];
                let _ = read_request(&mut stream, &mut Vec::new()).await;
                let to =
                    elsewhere.map(|at| format!("http://{at}/v1/Configuration.Replace")).unwrap_or_default();
                let _ = stream.write_all(&answer(status, &[("Location", &to)], b"{}")).await;
            }
        });
        at
    }

    #[rstest]
    #[case::at_once(&[200], Ok(1))]
    #[case::after_failures(&[503, 429, 200], Ok(3))]
    #[case::invalid(&[400], Err(400))]
    #[case::the_third_time(&[404], Err(404))]
    #[tokio::test]
    async fn goes_on_until_it_is_told(#[case] says: &'static [u16], #[case] wanted: Result<usize, u16>) {
        let operator = Operator { controllers: vec![controller(says, None).await], first: 0 };
        let got = operator.replace("{}", Duration::from_secs(3)).await;
        let got = got.map_err(|why| match why {
            Given::Response(status, _) => status,
            Given::Silence => 0,
        });
        assert_eq!(got, wanted);
    }

    #[tokio::test]
    async fn follows_to_another_and_leaves_the_dead() {
        let taker = controller(&[200], None).await;
        let sender = controller(&[307], Some(taker)).await;
        // Nobody listens there.
        let dead: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let operator = Operator { controllers: vec![dead, sender], first: 0 };
        assert_eq!(operator.replace("{}", Duration::from_secs(3)).await, Ok(3));
        let alone = Operator { controllers: vec![dead], first: 0 };
        assert_eq!(alone.replace("{}", Duration::from_millis(150)).await, Err(Given::Silence));
    }
}
