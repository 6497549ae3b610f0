//! The platform's calls: the list of instances, the worker machines, starts and stops. HTTP/1.1, one call a connection
//! at a time, connections kept.

// What nanoserde derives is written that way.
#![allow(clippy::question_mark)]

use nanoserde::DeJson;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tindock_folio::{answer_head, Body, Read};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A call without an answer for so long may have been done or not.
const PATIENCE: Duration = Duration::from_millis(1200);
/// The longest answer that is read.
const LONGEST: usize = 4 << 20;
/// Connections kept for the next call.
const KEPT: usize = 4;

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
pub struct Page {
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
pub struct Pool {
    pub worker_pool: Vec<Host>,
}

#[derive(Debug, Clone, DeJson)]
pub struct Begun {
    pub instance_id: String,
    pub address: String,
}

/// Why a call brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failed {
    /// An answer with this status.
    Status(u16),
    /// No whole answer: it may have been done.
    Unclear,
}

pub struct Platform {
    at: SocketAddr,
    kept: RefCell<Vec<TcpStream>>,
}

impl Platform {
    pub fn new(at: SocketAddr) -> Self {
        Platform { at, kept: RefCell::new(Vec::new()) }
    }

    /// A kept connection on which nothing has come: what is there before a call is no answer to it.
    fn take_quiet(&self) -> Option<TcpStream> {
        let mut kept = self.kept.borrow_mut();
        while let Some(stream) = kept.pop() {
            if crate::transport::is_quiet(&stream) {
                return Some(stream);
            }
        }
        None
    }

    async fn over(&self, mut stream: TcpStream, request: &[u8]) -> Result<(u16, Vec<u8>), bool> {
        // False: nothing was heard on a kept connection, which may just have been closed under it.
        stream.write_all(request).await.map_err(|_| false)?;
        let mut buf = Vec::with_capacity(4096);
        let mut body: Option<(tindock_folio::AnswerHead, Body)> = None;
        loop {
            let got = stream.read_buf(&mut buf).await.map_err(|_| !buf.is_empty())?;
            if body.is_none() {
                match answer_head(&buf, 64 << 10, false) {
                    Read::Partial if got == 0 => return Err(!buf.is_empty()),
                    Read::Partial => continue,
                    Read::Bad(_) => return Err(true),
                    Read::Done { value, used } => {
                        buf.drain(..used);
                        let framing = value.framing;
                        body = Some((value, Body::new(framing, LONGEST)));
                    }
                }
            }
            let Some((head, reader)) = body.as_mut() else { continue };
            match reader.push(&buf) {
                Read::Bad(_) => return Err(true),
                Read::Partial => {
                    buf.clear();
                    if got == 0 && !reader.ended() {
                        return Err(true);
                    }
                    if got > 0 {
                        continue;
                    }
                }
                Read::Done { used, .. } => {
                    if used == buf.len() && !head.close && self.kept.borrow().len() < KEPT {
                        self.kept.borrow_mut().push(stream);
                    }
                }
            }
            let Some((head, reader)) = body else { return Err(true) };
            return Ok((head.status, reader.bytes()));
        }
    }

    async fn call(&self, request: Vec<u8>) -> Result<Vec<u8>, Failed> {
        let whole = async {
            if let Some(stream) = self.take_quiet() {
                match self.over(stream, &request).await {
                    Err(false) => {}
                    other => return other,
                }
            }
            let stream = TcpStream::connect(self.at).await.map_err(|_| true)?;
            crate::transport::set_stream_timeouts(&stream, PATIENCE);
            self.over(stream, &request).await
        };
        match timeout(PATIENCE, whole).await {
            Ok(Ok((200, body))) => Ok(body),
            Ok(Ok((status, _))) => Err(Failed::Status(status)),
            _ => Err(Failed::Unclear),
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
    pub async fn instances(&self, token: Option<&str>) -> Result<Page, Failed> {
        let path =
            token.map_or_else(|| "/instances".to_string(), |token| format!("/instances?page_token={token}"));
        read(&self.call(self.get(&path)).await?)
    }

    pub async fn hosts(&self) -> Result<Pool, Failed> {
        read(&self.call(self.get("/v1/workers")).await?)
    }

    pub async fn begin(
        &self,
        by: &str,
        number: u64,
        service: &str,
        host: &str,
        nonce: &str,
    ) -> Result<Begun, Failed> {
        let body = format!(
            "{{\"service\":{},\"worker_id\":{},\"request_nonce\":{}}}",
            quoted(service),
            quoted(host),
            quoted(nonce)
        );
        read(&self.call(self.post("/v1/begin", by, number, &body)).await?)
    }

    pub async fn stop(&self, by: &str, number: u64, instance: &str) -> Result<(), Failed> {
        let body = format!("{{\"instance_id\":{}}}", quoted(instance));
        self.call(self.post("/v1/stop", by, number, &body)).await.map(|_| ())
    }
}

fn read<T: DeJson>(body: &[u8]) -> Result<T, Failed> {
    let text = std::str::from_utf8(body).map_err(|_| Failed::Unclear)?;
    T::deserialize_json(text).map_err(|_| Failed::Unclear)
}

fn quoted(text: &str) -> String {
    nanoserde::SerJson::serialize_json(&text.to_string())
}
