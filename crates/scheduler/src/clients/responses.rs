//! Encodes responses to clients and workers.

use crate::clients::requests::Rejection;
use crate::exchange::Answer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode};

pub type Reply = Response<Full<Bytes>>;

fn plain(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}

pub fn answer(answer: Answer) -> Reply {
    match answer {
        Answer::Finished(result) => plain(StatusCode::OK, result),
        Answer::Shed { retry_after } => {
            let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            if let Some(wait) = retry_after {
                let seconds = HeaderValue::try_from(wait.as_secs_f64().to_string());
                seconds.into_iter().for_each(|s| drop(reply.headers_mut().insert(RETRY_AFTER, s)));
            }
            reply
        }
        Answer::Rejected(status) => {
            plain(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST), Bytes::new())
        }
        Answer::Aborted => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

pub fn accepted() -> Reply {
    plain(StatusCode::NO_CONTENT, Bytes::new())
}

/// 500, not 503, if nothing can be decided yet: a 503 means shed, and only the module sheds.
pub fn health(ready: bool) -> Reply {
    plain(if ready { StatusCode::OK } else { StatusCode::INTERNAL_SERVER_ERROR }, Bytes::new())
}

/// Closes the connection after this response.
pub fn close(reply: &mut Reply) {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// The sender of an unusable request has to reconnect, so that it does not hold a connection until its next
/// try.
pub fn rejected(rejection: Rejection) -> Reply {
    let mut reply = plain(rejection.0, Bytes::new());
    close(&mut reply);
    if rejection.0 == StatusCode::METHOD_NOT_ALLOWED {
        reply.headers_mut().insert(ALLOW, HeaderValue::from_static("GET, POST"));
    }
    reply
}
