//! Calls to the platform over a kept connection on which an old answer has arrived.

use std::net::SocketAddr;
use std::time::Duration;
use tindock_system_processes::platform::Platform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

fn started(instance: &str) -> Vec<u8> {
    let body = format!(r#"{{"instance_id":"{instance}","address":"127.0.0.1:80"}}"#);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Reads one request; the bodies of the calls in this test end with a brace.
async fn request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"}") {
        assert!(stream.read_buf(&mut bytes).await.unwrap() > 0);
    }
}

#[test]
fn an_answer_received_before_the_call_is_not_taken_for_its_answer() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let test = async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let platform = Platform::new(listener.local_addr().unwrap());
        let (answered, first) = oneshot::channel::<()>();
        let (sent, surplus) = oneshot::channel::<()>();
        tokio::task::spawn_local(async move {
            let (mut kept, _) = listener.accept().await.unwrap();
            request(&mut kept).await;
            kept.write_all(&started("i-1")).await.unwrap();
            first.await.unwrap();
            kept.write_all(&started("i-1")).await.unwrap();
            sent.send(()).unwrap();
            let (mut fresh, _) = listener.accept().await.unwrap();
            request(&mut fresh).await;
            fresh.write_all(&started("i-2")).await.unwrap();
        });
        assert_eq!(platform.start_instance("n", 1, "s", "w", "nonce-1").await.unwrap().instance_id, "i-1");
        answered.send(()).unwrap();
        surplus.await.unwrap();
        assert_eq!(platform.start_instance("n", 1, "s", "w", "nonce-2").await.unwrap().instance_id, "i-2");
    };
    let test = async { tokio::time::timeout(Duration::from_secs(30), test).await.unwrap() };
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
