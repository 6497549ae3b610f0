//! Sends an open socket to another process over a Unix socket (`SCM_RIGHTS`).

use rustix::cmsg_space;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{Error, ErrorKind, IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};

/// Ancillary data needs at least one byte of ordinary data with it.
const PAYLOAD: [u8; 1] = [b'+'];

pub fn send_socket(channel: impl AsFd, socket: impl AsFd) -> Result<()> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
    let (mut ancillary, sockets) = (SendAncillaryBuffer::new(&mut space), [socket.as_fd()]);
    if !ancillary.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(Error::from(ErrorKind::OutOfMemory));
    }
    sendmsg(channel, &[IoSlice::new(&PAYLOAD)], &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}

pub fn receive_socket(channel: impl AsFd) -> Result<OwnedFd> {
    let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
    let (mut ancillary, mut byte) = (RecvAncillaryBuffer::new(&mut space), [0; 1]);
    recvmsg(channel, &mut [IoSliceMut::new(&mut byte)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let mut received = None;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(mut sockets) = message {
            received = received.or(sockets.next());
        }
    }
    received.ok_or_else(|| Error::new(ErrorKind::InvalidData, "the message carried no socket"))
}
