//! Looks at the workers that files name: `GET` on the stated path, one connection a look, and any answer from 200 to 299
//! is good.

use crate::berth::HealthTerms;
use crate::list::worker_list::WorkerList;
use crate::list::connector::Connector;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::timeout;

/// Looks for as long as the process lives.
pub async fn run(worker_list: Rc<WorkerList>, connector: Rc<dyn Connector>, terms: HealthTerms) {
    let terms = Rc::new(terms);
    loop {
        // How many are under way is bounded by whoever tells whom to look at.
        let (name, number, address) = worker_list.next_check().await;
        let (worker_list, connector, terms) = (worker_list.clone(), connector.clone(), terms.clone());
        tokio::task::spawn_local(async move {
            let check = timeout(terms.within, check(&*connector, address, &terms.path));
            let healthy = matches!(check.await, Ok(Some(true)));
            worker_list.record_check(&name, number, healthy);
        });
    }
}

/// Whether it answers well; none where it does not answer.
async fn check(connector: &dyn Connector, address: SocketAddr, path: &str) -> Option<bool> {
    let stream = connector.connect(address).await.ok()?;
    let (mut sender, connection) = http1::Builder::new().handshake(TokioIo::new(stream)).await.ok()?;
    let message = Request::get(path).header(HOST, address.to_string()).header(CONNECTION, "close");
    let message = message.body(Empty::<Bytes>::new()).ok()?;
    // Both on this task, so that dropping it ends the connection; the head is all that counts.
    let mut answer = pin!(sender.send_request(message));
    let answer = tokio::select! {
        answer = answer.as_mut() => answer,
        // It ends with the answer, which may be there by now.
        _ = connection => answer.await,
    };
    Some(answer.ok()?.status().is_success())
}
