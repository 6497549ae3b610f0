//! Packs the module's announcements to other schedulers into messages.

use std::net::{IpAddr, SocketAddr};
use tindock::types::Decision;
use tindock_peer_messages::{self as peer_messages, Address};

/// A message and the scheduler it is for; none: for all.
pub type Message = (Option<usize>, Vec<u8>);

/// A worker's address as it is encoded in messages; none if it is not IPv4.
pub fn address(of: SocketAddr) -> Option<Address> {
    let IpAddr::V4(ip) = of.ip() else { return None };
    let ([a, b, c, d], [high, low]) = (ip.octets(), of.port().to_be_bytes());
    Some([a, b, c, d, high, low])
}

/// Collects the announcements made at one time; those on usage share messages.
#[derive(Default)]
pub struct Outbox {
    usage: peer_messages::Announcements,
    messages: Vec<Message>,
}

impl Outbox {
    pub fn push(&mut self, decision: &Decision, names: &peer_messages::WorkerNames) {
        match *decision {
            Decision::Grant { to, worker, slots } => {
                let message =
                    names.address(worker).map(|at| (Some(to), peer_messages::grant(at, slots).to_vec()));
                self.messages.extend(message);
            }
            Decision::RequestSlots { to } => {
                self.messages.push((Some(to), peer_messages::slot_request().to_vec()))
            }
            Decision::Announce { worker, slots } => self.usage.add(names.short_id(worker), slots),
            _ => {}
        }
    }

    /// The messages collected since the last call.
    pub fn drain(&mut self) -> impl Iterator<Item = Message> + '_ {
        self.messages.extend(self.usage.messages().into_iter().map(|message| (None, message)));
        self.messages.drain(..)
    }
}
