//! Opens connections: over TCP in production, scripted in tests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

pub type Connecting = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>>>>;

pub trait Connector {
    /// Opens a connection; dropping the future cancels it.
    fn connect(&self, to: SocketAddr) -> Connecting;
}

pub struct Tcp;

impl Connector for Tcp {
    fn connect(&self, to: SocketAddr) -> Connecting {
        Box::pin(async move {
            let stream = TcpStream::connect(to).await?;
            let _ = stream.set_nodelay(true);
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    }
}
