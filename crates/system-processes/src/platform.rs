//! A client of the platform's API: the list of instances, the worker machines, starts and stops. HTTP/1.1
//! with kept connections, one call at a time on each.

// Triggered by the code that nanoserde derives.
#![allow(clippy::question_mark)]

use nanoserde::DeJson;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_http1::{answer_head, Body, Read};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// After so long without an answer the outcome of a call is unknown.
const CALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Longer answers are refused.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Idle connections kept for later calls.
const MAX_IDLE_CONNECTIONS: usize = 4;

#[derive(Debug, Clone, DeJson)]
pub struct Instance {
    pub instance_id: String,
    pub service: String,
    pub address: String,
    pub zone: Option<String>,
    pub oper_state: Option<String>,
    pub worker_id: Option<String>,
}

#[derive(Debug, Clone, DeJson)]
pub struct InstancePage {
    pub instances: Vec<Instance>,
    pub next_token: Option<String>,
}

#[derive(Debug, Clone, DeJson)]
pub struct Host {
    pub name: String,
    pub zone: Option<String>,
    pub memory_mb: f64,
    pub free_memory_mb: f64,
    pub oper_state: Option<String>,
}

#[derive(Debug, Clone, DeJson)]
pub struct WorkerPool {
    pub worker_pool: Vec<Host>,
}

#[derive(Debug, Clone, DeJson)]
pub struct StartedInstance {
    pub instance_id: String,
    pub address: String,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The answer had this status.
    Status(u16),
    /// No complete answer: the call may have been executed.
    OutcomeUnknown,
}

pub struct Platform {
    at: SocketAddr,
    idle: RefCell<Vec<TcpStream>>,
}

impl Platform {
    pub fn new(at: SocketAddr) -> Self {
        Platform { at, idle: RefCell::new(Vec::new()) }
    }

    /// An idle connection without unread bytes: bytes received before a call cannot be its answer.
    fn take_idle(&self) -> Option<TcpStream> {
        let mut kept = self.idle.borrow_mut();
        while let Some(stream) = kept.pop() {
            if crate::transport::is_quiet(&stream) {
                return Some(stream);
            }
        }
        None
    }

    async fn exchange(&self, mut stream: TcpStream, request: &[u8]) -> Result<(u16, Vec<u8>), bool> {
        // The error is false if nothing was received: the platform may just have closed the idle connection.
        stream.write_all(request).await.map_err(|_| false)?;
        let mut buf = Vec::with_capacity(4096);
        let mut body: Option<(tindock_http1::AnswerHead, Body)> = None;
        loop {
            let got = stream.read_buf(&mut buf).await.map_err(|_| !buf.is_empty())?;
            if body.is_none() {
                match answer_head(&buf, 64 << 10, false) {
                    Read::Partial if got == 0 => return Err(!buf.is_empty()),
                    Read::Partial => continue,
                    Read::Invalid(_) => return Err(true),
                    Read::Done { value, used } => {
                        buf.drain(..used);
                        let framing = value.framing;
                        body = Some((value, Body::new(framing, MAX_ANSWER_BYTES)));
                    }
                }
            }
            let Some((head, reader)) = body.as_mut() else { continue };
            match reader.push(&buf) {
                Read::Invalid(_) => return Err(true),
                Read::Partial => {
                    buf.clear();
                    if got == 0 && !reader.end_of_input() {
                        return Err(true);
                    }
                    if got > 0 {
                        continue;
                    }
                }
                Read::Done { used, .. } => {
                    if used == buf.len() && !head.close && self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
                        self.idle.borrow_mut().push(stream);
                    }
                }
            }
            let Some((head, reader)) = body else { return Err(true) };
            return Ok((head.status, reader.bytes()));
        }
    }

    async fn call(&self, request: Vec<u8>) -> Result<Vec<u8>, CallError> {
        let whole = async {
            if let Some(stream) = self.take_idle() {
                match self.exchange(stream, &request).await {
                    Err(false) => {}
                    other => return other,
                }
            }
            let stream = TcpStream::connect(self.at).await.map_err(|_| true)?;
            crate::transport::set_stream_timeouts(&stream, CALL_TIMEOUT);
            self.exchange(stream, &request).await
        };
        match timeout(CALL_TIMEOUT, whole).await {
            Ok(Ok((200, body))) => Ok(body),
            Ok(Ok((status, _))) => Err(CallError::Status(status)),
            _ => Err(CallError::OutcomeUnknown),
        }
    }

    fn get(&self, path: &str) -> Vec<u8> {
        format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.at).into_bytes()
    }

    fn post(&self, path: &str, holder: &str, number: u64, body: &str) -> Vec<u8> {
        format!(
            "POST {path} HTTP/1.1\r\nHost: {}\r\nDuty-Holder: {holder}\r\nFence-Token: {number}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.at,
            body.len()
        )
        .into_bytes()
    }

    /// One page of the list of instances.
    pub async fn instance_page(&self, token: Option<&str>) -> Result<InstancePage, CallError> {
        let path =
            token.map_or_else(|| "/instances".to_string(), |token| format!("/instances?page_token={token}"));
        read(&self.call(self.get(&path)).await?)
    }

    pub async fn hosts(&self) -> Result<WorkerPool, CallError> {
        read(&self.call(self.get("/v1/workers")).await?)
    }

    pub async fn start_instance(
        &self,
        by: &str,
        number: u64,
        service: &str,
        host: &str,
        nonce: &str,
    ) -> Result<StartedInstance, CallError> {
        let body = format!(
            "{{\"service\":{},\"worker_id\":{},\"request_nonce\":{}}}",
            quoted(service),
            quoted(host),
            quoted(nonce)
        );
        read(&self.call(self.post("/v1/begin", by, number, &body)).await?)
    }

    pub async fn stop_instance(&self, by: &str, number: u64, instance: &str) -> Result<(), CallError> {
        let body = format!("{{\"instance_id\":{}}}", quoted(instance));
        self.call(self.post("/v1/stop", by, number, &body)).await.map(|_| ())
    }
}

fn read<T: DeJson>(body: &[u8]) -> Result<T, CallError> {
    let text = std::str::from_utf8(body).map_err(|_| CallError::OutcomeUnknown)?;
    T::deserialize_json(text).map_err(|_| CallError::OutcomeUnknown)
}

fn quoted(text: &str) -> String {
    nanoserde::SerJson::serialize_json(&text.to_string())
}
