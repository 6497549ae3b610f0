//! Streams of another release are refused.

use std::net::SocketAddr;
use std::time::Duration;
use tindock_house::stream_header::{StreamHeader, PROTOCOL_VERSION};
use tindock_house::transport::{frame, listen};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

fn speaker() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7300))
}

fn read(bytes: &[u8]) -> Option<SocketAddr> {
    postcard::from_bytes::<StreamHeader>(bytes).ok().and_then(StreamHeader::compatible_sender)
}

#[test]
fn only_this_version_is_accepted_and_a_frame_without_one_is_version_0() {
    let own = postcard::to_stdvec(&StreamHeader::new(speaker())).unwrap();
    assert_eq!(read(&own), Some(speaker()));
    let with = |version: u16| postcard::to_stdvec(&(speaker(), version)).unwrap();
    assert_eq!(with(PROTOCOL_VERSION), own);
    let without = postcard::to_stdvec(&speaker()).unwrap();
    for other in [without, with(0), with(PROTOCOL_VERSION + 1), with(u16::MAX), Vec::new()] {
        assert_eq!(read(&other), None, "{other:?}");
    }
}

#[tokio::test]
async fn a_stream_of_another_release_ends_and_its_notes_are_not_read() {
    let local = tokio::task::LocalSet::new();
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (notes, mut heard) = mpsc::channel::<(SocketAddr, String)>(4);
        tokio::task::spawn_local(listen(listener, notes, 8));
        for version in [0, PROTOCOL_VERSION + 1] {
            let mut other = TcpStream::connect(at).await.unwrap();
            let bytes = [frame(&(speaker(), version)), frame(&"other".to_string())].concat();
            other.write_all(&bytes).await.unwrap();
            // Ended or reset.
            assert!(!matches!(other.read(&mut [0]).await, Ok(1..)));
        }
        let mut own = TcpStream::connect(at).await.unwrap();
        let bytes = [frame(&StreamHeader::new(speaker())), frame(&"own".to_string())].concat();
        own.write_all(&bytes).await.unwrap();
        assert_eq!(heard.recv().await, Some((speaker(), "own".to_string())));
    };
    local.run_until(tokio::time::timeout(Duration::from_secs(30), test)).await.unwrap();
}
