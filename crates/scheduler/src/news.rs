//! What workers tell of their tasks, decoded once.

use bytes::Bytes;
use serde::Deserialize;

#[derive(Debug, PartialEq)]
pub struct News {
    pub id: String,
    pub from: String,
    pub state: State,
}

#[derive(Debug, PartialEq)]
pub enum State {
    Started,
    Running { share: f64 },
    Done { result: Bytes },
    Erred,
    Returned,
    Lost,
}

#[derive(Deserialize)]
struct Doc {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    share: f64,
    result: Option<String>,
}

pub fn decode(body: &[u8]) -> Result<News, String> {
    let doc: Doc = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let state = match doc.state.as_str() {
        "started" => State::Started,
        "running" => State::Running { share: doc.share },
        "done" => State::Done { result: doc.result.ok_or("done without a result")?.into() },
        "failed" => State::Erred,
        "returned" => State::Returned,
        "lost" => State::Lost,
        other => return Err(format!("unknown state {other:?}")),
    };
    Ok(News { id: doc.id, from: doc.from, state })
}
