//! What schedulers tell one another: what is out, and the room that one leaves to another.

use crate::policy::*;

const SOUGHT: usize = 3; // schedulers asked for room at a time: every other one has some
const SEEK_EVERY: Duration = Duration::from_millis(60); // an answer has come by then, if any
const ASKERS: usize = 64; // more who ask at a time than could be answered
const KEPT: f64 = 2.0; // workers with room that are kept for the next arrivals

impl Policy {
    /// Another scheduler leaves this many free slots of a worker to this one.
    pub fn slots_granted(&mut self, i: usize, room: f64) {
        if i < self.workers.len() && self.talk == Talk::ToOne && room > 0.0 {
            self.keep_room(i, room.min(self.slots(i)));
        }
    }

    /// Another scheduler has tasks that wait and asks for room.
    pub fn slots_requested(&mut self, from: usize) {
        if self.talk == Talk::ToOne && from < self.sheet.exchange_size && self.rooms.askers.len() < ASKERS {
            self.rooms.askers.push(from);
        }
    }

    /// Another scheduler has this many slots out at a worker.
    pub fn peer_usage(&mut self, i: usize, peer: usize, number: u16, slots: f64) {
        let known = i < self.workers.len() && peer != self.sheet.position && peer < self.sheet.exchange_size;
        if known && self.talk == Talk::ToAll {
            self.peers.heard(peer, self.now);
            self.workers[i].told.set(peer, number, slots);
        }
    }

    fn keep_room(&mut self, i: usize, room: f64) {
        let (had, most) = (self.room(i), self.slots(i));
        (self.workers[i].room, self.workers[i].left) = ((had + room).min(most), self.now);
        self.rooms.at.retain(|&x| x != i);
        self.rooms.at.push_back(i);
    }

    pub(crate) fn room(&self, i: usize) -> f64 {
        self.workers[i].room_left(self.now, self.span)
    }

    fn waits(&self) -> bool {
        self.lines.iter().any(|line| !line.is_empty())
    }

    /// Own tasks made room: it is kept for the next arrivals, else left to one by chance, or to who asks.
    pub(crate) fn leave(&mut self) -> Option<Decision> {
        if self.rooms.freed.is_empty() && self.rooms.askers.is_empty() {
            return None;
        }
        let waits = self.waits();
        self.rooms.at.retain(|&i| self.workers[i].room_left(self.now, self.span) > 0.0);
        while let Some((worker, room)) = self.rooms.freed.pop() {
            let kept = self.rooms.at.len() as f64;
            if self.talk == Talk::ToAll || (waits || kept < KEPT) && self.out + kept < self.fair {
                self.keep_room(worker, room);
            } else {
                return Some(Decision::Grant { to: self.another(), worker, slots: room });
            }
        }
        let to = self.rooms.askers.pop().filter(|_| !waits)?;
        let worker = self.rooms.at.pop_front()?;
        let room = std::mem::take(&mut self.workers[worker].room);
        Some(Decision::Grant { to, worker, slots: room })
    }

    fn another(&mut self) -> usize {
        let to = self.chance.0.rand_range(0..self.sheet.exchange_size as u64 - 1) as usize;
        to + usize::from(to >= self.sheet.position)
    }

    /// Asks a few others for room while tasks wait here.
    pub(crate) fn seek(&mut self) {
        if self.waits() && self.talk == Talk::ToOne && self.now >= self.rooms.asked + SEEK_EVERY {
            self.rooms.asked = self.now;
            for _ in 0..SOUGHT {
                let to = self.another();
                self.say.push_back(Decision::RequestSlots { to });
            }
        }
    }

    /// Tells the others what is out, so that their n counts it: what changed, and one worker more in turn.
    pub(crate) fn tell(&mut self) {
        if self.talk != Talk::ToAll || self.workers.is_empty() {
            self.changed.clear();
        } else if self.now >= self.peers.told + TELL_EVERY && !self.changed.is_empty() {
            let turn = self.peers.next_turn(self.now, self.workers.len());
            self.changed.push(turn);
            self.changed.sort_unstable();
            self.changed.dedup();
            for worker in self.changed.drain(..) {
                self.say.push_back(Decision::Announce { worker, slots: self.workers[worker].n });
            }
        }
    }
}
