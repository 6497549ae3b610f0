//! The owner's side: who gets a slot that is free, who waits, and who is sent elsewhere.

use crate::lender::{Shelf, Verdict, Wish};
use crate::owners::weight;
use crate::words::{kind as hash, Kind, Line};
use crate::{ms, room, Lending, Order, CUT_OFF_RETRY, DIAL, HOPS, SHORTAGE};
use std::time::Duration;

impl Lending {
    pub(crate) fn asked(&mut self, kind: Kind, wish: Wish, hops: u8) {
        let now = self.now;
        if self.over.asks_nothing(&(wish.from, wish.life, wish.seq)) {
            return;
        }
        if self.is_fenced() {
            return self.say(wish.from, Line::Later { seq: wish.seq, after: ms(CUT_OFF_RETRY) });
        }
        let Some(function) = self.functions.get(&kind).cloned() else {
            return self.say(wish.from, Line::Later { seq: wish.seq, after: 300 });
        };
        let score = self.score;
        let shelf = self.shelves.entry(kind).or_insert_with(|| Shelf::new(function, now).scored(score));
        let (free, waiting) = room(shelf, now);
        // Said again: the grant or the place it has.
        if let Some(book) = shelf
            .books
            .iter()
            .find(|b| b.loans.iter().any(|l| (l.to, l.life, l.seq) == (wish.from, wish.life, wish.seq)))
        {
            let (instance, at) = (book.entry.instance.clone(), book.entry.at);
            return self.say(wish.from, Line::Grant { seq: wish.seq, instance, at, free, waiting });
        }
        if shelf
            .queue
            .iter()
            .any(|other| (other.from, other.life, other.seq) == (wish.from, wish.life, wish.seq))
        {
            return self.say(wish.from, Line::Waits { seq: wish.seq, free, waiting });
        }
        let origin = self.owners.member(wish.from).map_or(0, |m| hash(&m.zone));
        shelf.counted(now, origin);
        let lends = shelf.lends();
        if !lends {
            self.probe_owner(kind);
        }
        if !lends && hops < HOPS {
            if let Some(zone) = self.elsewhere(kind) {
                return self.say(wish.from, Line::Elsewhere { seq: wish.seq, zone: hash(&zone) });
            }
        }
        let (from, seq) = (wish.from, wish.seq);
        if hops < HOPS && self.shelves.get(&kind).is_some_and(|s| s.wait(now, &wish).is_some()) {
            if let Some(zone) = self.better(kind, &wish) {
                return self.say(from, Line::Elsewhere { seq, zone: hash(&zone) });
            }
        }
        let chance = &mut self.chance;
        let shelf = match self.shelves.get_mut(&kind) {
            Some(shelf) => shelf,
            None => return,
        };
        let mut draw = |n: usize| chance.rand_range(0..n.max(1) as u32) as usize;
        let verdict = shelf.ask(now, wish, &mut draw);
        let granted = matches!(verdict, Verdict::Granted(_));
        match verdict {
            Verdict::Granted(i) => {
                let (free, waiting) = room(shelf, now);
                let (instance, at) = (shelf.books[i].entry.instance.clone(), shelf.books[i].entry.at);
                self.say(from, Line::Grant { seq, instance, at, free, waiting });
            }
            Verdict::Waits => {}
            Verdict::Later(after) => self.say(from, Line::Later { seq, after: ms(after) }),
        }
        if !granted {
            self.tell_rooms(kind);
        }
        // A start takes a second: what lacks slots is told now, not with the next round.
        if !granted {
            let pause = if lends { SHORTAGE } else { SHORTAGE / 2 };
            let told = self
                .shelves
                .get_mut(&kind)
                .filter(|s| !lends || s.is_short(now))
                .and_then(|s| s.tell(now, pause));
            self.orders.extend(told.map(Order::Wanted));
        }
    }

    /// Slots that are free go to who waits.
    pub(crate) fn serve(&mut self, kind: Kind) {
        let now = self.now;
        if self.is_fenced() {
            return;
        }
        loop {
            let Some(shelf) = self.shelves.get_mut(&kind) else { return };
            let chance = &mut self.chance;
            let mut draw = |n: usize| chance.rand_range(0..n.max(1) as u32) as usize;
            let Some((i, wish)) = shelf.serve(now, &mut draw) else { return };
            let (free, waiting) = room(shelf, now);
            let (instance, at) = (shelf.books[i].entry.instance.clone(), shelf.books[i].entry.at);
            self.say(wish.from, Line::Grant { seq: wish.seq, instance, at, free, waiting });
        }
    }

    /// Another zone that has instances which lend.
    pub(crate) fn elsewhere(&self, kind: Kind) -> Option<String> {
        if let Some((zone, ..)) = self.roomy(kind) {
            return Some(zone);
        }
        let ids = self.by_kind.get(&kind)?;
        let others = ids.iter().filter_map(|id| self.entries.get(id)).filter(|e| e.lends);
        let others = others.filter(|e| self.lender(kind, &e.zone) != Some(self.me));
        others.max_by_key(|e| (e.ready, weight(kind, &e.at))).map(|e| e.zone.clone())
    }

    pub(crate) fn sweep(&mut self, kind: Kind) {
        let now = self.now;
        if self.is_fenced() {
            self.turn_away(kind);
        }
        let Some(shelf) = self.shelves.get_mut(&kind) else { return };
        shelf.expire(now);
        let doubts = shelf.doubts(now);
        let mut dials = Vec::new();
        let boot = shelf.function.boot;
        for book in &mut shelf.books {
            let due = book.entry.since + boot.mul_f64(0.5);
            if book.entry.lends && !book.entry.ready && now >= due && now >= book.dialled + DIAL {
                book.refused = book.dialled > Duration::ZERO;
                book.dialled = now;
                dials.push(Order::Dial { instance: book.entry.instance.clone(), at: book.entry.at });
            }
        }
        let hopeless = shelf.hopeless(now);
        let moved = if !shelf.queue.is_empty() && !shelf.lends() { self.elsewhere(kind) } else { None };
        self.orders.extend(dials);
        for (to, life, seq, instance) in doubts {
            self.say(to, Line::Still { seq, kind, instance, life });
        }
        for wish in hopeless {
            self.say(wish.from, Line::Later { seq: wish.seq, after: 250 });
        }
        if let (Some(zone), Some(shelf)) = (moved, self.shelves.get_mut(&kind)) {
            for wish in std::mem::take(&mut shelf.queue) {
                self.say(wish.from, Line::Elsewhere { seq: wish.seq, zone: hash(&zone) });
            }
        }
        self.serve(kind);
        self.tell_rooms(kind);
        self.hand_on(kind);
    }
}
