//! What the module says to other schedulers at one time, packed into messages.

use std::net::{IpAddr, SocketAddr};
use tindock::types::Decision;
use tindock_words::{self as words, Address};

/// A message and the scheduler it is for; none: for all.
pub type Message = (Option<usize>, Vec<u8>);

/// A worker's address as it stands in messages; none where it does not fit.
pub fn address(of: SocketAddr) -> Option<Address> {
    let IpAddr::V4(ip) = of.ip() else { return None };
    let ([a, b, c, d], [high, low]) = (ip.octets(), of.port().to_be_bytes());
    Some([a, b, c, d, high, low])
}

/// Collects what the module says at one time: what is out goes into common messages.
#[derive(Default)]
pub struct Outbox {
    usage: words::Announcements,
    messages: Vec<Message>,
}

impl Outbox {
    pub fn push(&mut self, decision: &Decision, names: &words::WorkerNames) {
        match *decision {
            Decision::Grant { to, worker, slots } => {
                let message = names.address(worker).map(|at| (Some(to), words::grant(at, slots).to_vec()));
                self.messages.extend(message);
            }
            Decision::RequestSlots { to } => self.messages.push((Some(to), words::slot_request().to_vec())),
            Decision::Announce { worker, slots } => self.usage.add(names.short_id(worker), slots),
            _ => {}
        }
    }

    /// The messages of this time.
    pub fn drain(&mut self) -> impl Iterator<Item = Message> + '_ {
        self.messages.extend(self.usage.messages().into_iter().map(|message| (None, message)));
        self.messages.drain(..)
    }
}
