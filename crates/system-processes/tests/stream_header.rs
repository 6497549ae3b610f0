//! Streams of releases with another protocol version are refused.

use std::net::SocketAddr;
use std::time::Duration;
use tindock_system_processes::stream_header::{StreamHeader, PROTOCOL_VERSION};
use tindock_system_processes::transport::{frame, listen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

fn sender() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7300))
}

fn read(bytes: &[u8]) -> Option<SocketAddr> {
    postcard::from_bytes::<StreamHeader>(bytes).ok().and_then(StreamHeader::compatible_sender)
}

#[test]
fn only_this_version_is_accepted_and_a_frame_without_one_is_version_0() {
    let current = postcard::to_stdvec(&StreamHeader::new(sender())).unwrap();
    assert_eq!(read(&current), Some(sender()));
    let with = |version: u16| postcard::to_stdvec(&(sender(), version)).unwrap();
    assert_eq!(with(PROTOCOL_VERSION), current);
    let without = postcard::to_stdvec(&sender()).unwrap();
    for other in [without, with(0), with(PROTOCOL_VERSION + 1), with(u16::MAX), Vec::new()] {
        assert_eq!(read(&other), None, "{other:?}");
    }
}

#[tokio::test]
async fn a_stream_of_another_version_is_closed_and_its_messages_are_not_read() {
    let local = tokio::task::LocalSet::new();
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (messages, mut received) = mpsc::channel::<(SocketAddr, String)>(4);
        tokio::task::spawn_local(listen(listener, messages, 8));
        for version in [0, PROTOCOL_VERSION + 1] {
            let mut other = TcpStream::connect(at).await.unwrap();
            let bytes = [frame(&(sender(), version)), frame(&"other".to_string())].concat();
            other.write_all(&bytes).await.unwrap();
            // Closed or reset.
            assert!(!matches!(other.read(&mut [0]).await, Ok(1..)));
        }
        let mut current = TcpStream::connect(at).await.unwrap();
        let bytes = [frame(&StreamHeader::new(sender())), frame(&"own".to_string())].concat();
        current.write_all(&bytes).await.unwrap();
        assert_eq!(received.recv().await, Some((sender(), "own".to_string())));
    };
    local.run_until(tokio::time::timeout(Duration::from_secs(30), test)).await.unwrap();
}
