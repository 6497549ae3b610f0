//! Decodes the updates that workers send on their tasks.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;

#[derive(Debug, PartialEq)]
pub struct Update {
    pub id: String,
    pub from: String,
    pub state: State,
    /// The worker's load report, undecoded.
    pub load: Option<String>,
}

#[derive(Debug, PartialEq)]
pub enum State {
    Started,
    Running { share: f64 },
    Done { result: Bytes },
    Failed,
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
    load: Option<Value>,
}

pub fn decode(body: &[u8]) -> Result<Update, String> {
    let doc: Doc = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let state = match doc.state.as_str() {
        "started" => State::Started,
        "running" => State::Running { share: doc.share },
        "done" => State::Done { result: doc.result.ok_or("done without a result")?.into() },
        "failed" => State::Failed,
        "returned" => State::Returned,
        "lost" => State::Lost,
        other => return Err(format!("unknown state {other:?}")),
    };
    // A string, or an object with named values: decoded where the names are known.
    let load = doc.load.map(|load| load.as_str().map_or_else(|| load.to_string(), String::from));
    Ok(Update { id: doc.id, from: doc.from, state, load })
}
