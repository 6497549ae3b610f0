//! Health checks of the workers named in files: `GET` on the configured path, one connection for each check;
//! any status from 200 to 299 is healthy.

use crate::list::connector::Connector;
use crate::list::worker_list::WorkerList;
use crate::scheduler_config::HealthCheckSettings;
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

/// Checks until the process ends.
pub async fn run(worker_list: Rc<WorkerList>, connector: Rc<dyn Connector>, settings: HealthCheckSettings) {
    let settings = Rc::new(settings);
    loop {
        // The worker list limits the number of concurrent checks.
        let (name, number, address) = worker_list.next_check().await;
        let (worker_list, connector, settings) = (worker_list.clone(), connector.clone(), settings.clone());
        tokio::task::spawn_local(async move {
            let check = timeout(settings.timeout, check(&*connector, address, &settings.path));
            let healthy = matches!(check.await, Ok(Some(true)));
            worker_list.record_check(&name, number, healthy);
        });
    }
}

/// Whether the worker responds with success; none if it does not respond.
async fn check(connector: &dyn Connector, address: SocketAddr, path: &str) -> Option<bool> {
    let stream = connector.connect(address).await.ok()?;
    let (mut sender, connection) = http1::Builder::new().handshake(TokioIo::new(stream)).await.ok()?;
    let message = Request::get(path).header(HOST, address.to_string()).header(CONNECTION, "close");
    let message = message.body(Empty::<Bytes>::new()).ok()?;
    // Both on this task, so that dropping it closes the connection; only the head of the response matters.
    let mut answer = pin!(sender.send_request(message));
    let answer = tokio::select! {
        answer = answer.as_mut() => answer,
        // The connection ends with the response, which may have arrived by now.
        _ = connection => answer.await,
    };
    Some(answer.ok()?.status().is_success())
}
