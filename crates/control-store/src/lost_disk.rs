//! What a voter whose disk was lost reads from the others before its vote is active again.
//!
//! It sends its read after `LOST_DISK_WAIT` and accepts only replies to that read: a message that another
//! member sent before the wait ended may report less than this member promised in its earlier incarnation,
//! however long it was in transit.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::defects::{injected, Defect};
use crate::{ControlStore, MemberState, Message, TableVersion, JOIN_INTERVAL};

/// A read from the voters of one table, and the members that have replied.
pub(crate) struct LostDiskRead {
    read_number: u64,
    table: TableVersion,
    requested_at: Duration,
    answered: BTreeSet<SocketAddr>,
}

impl ControlStore {
    /// Sends the read to members that have not replied, at intervals, once the wait is over.
    pub(crate) fn step_lost_disk_read(&mut self, now: Duration) {
        if !self.joining() || self.lost_disk_wait_until.is_none_or(|until| now < until) {
            return;
        }
        let table = self.table_version();
        if self.lost_disk_read.as_ref().is_none_or(|read| read.table != table) {
            let (read_number, answered) = (self.next_read_number(), BTreeSet::new());
            self.lost_disk_read = Some(LostDiskRead { read_number, table, requested_at: now, answered });
        } else if self.lost_disk_read.as_ref().is_some_and(|read| now < read.requested_at + JOIN_INTERVAL) {
            return;
        }
        let mut to = self.others();
        let Some(read) = &mut self.lost_disk_read else { return };
        read.requested_at = now;
        to.retain(|at| !read.answered.contains(at));
        let read_number = read.read_number;
        for at in to {
            self.send(at, Message::ReadRequest { read_number });
        }
    }

    /// `echoed`: the sender knew this member's current incarnation. Read numbers start over in each
    /// incarnation.
    pub(crate) fn receive_lost_disk_answer(&mut self, from: SocketAddr, echoed: bool, state: &MemberState) {
        if let Some(read) = self.lost_disk_read.as_mut().filter(|read| read.read_number == state.read_number)
        {
            if echoed && state.counts && state.table_version == read.table {
                read.answered.insert(from);
            }
        }
    }

    /// Whether a voter's reported state may be used: after a loss of the disk, only its reply to the read.
    pub(crate) fn may_read(&self, at: SocketAddr) -> bool {
        let echoed_at = self.peers.get(&at).and_then(|peer| peer.echoed_at);
        let from = self.lost_disk_wait_until.unwrap_or(self.started);
        if self.lost_disk_wait_until.is_none() || injected(Defect::AcceptsStaleReadReplies) {
            return echoed_at.is_some_and(|at| at >= from);
        }
        let read = self.lost_disk_read.as_ref().filter(|read| read.table == self.table_version());
        read.is_some_and(|read| read.answered.contains(&at))
    }
}
