//! Letters of other schedulers: which life wrote them, and what each line comes to.

use crate::handover::Cause;
use crate::lender::{Loan, Wish};
use crate::lives::Speaker;
use crate::over::Over;
use crate::planted::{planted, Defect};
use crate::words::{kind as hash, Kind, Letter, Line};
use crate::{ms, Call, Lending, Order, Stage, AGAIN, PASSED_OVER, RETURNING};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

impl Lending {
    /// A datagram. What cannot be read is dropped: false.
    pub fn hear(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> bool {
        self.now = now;
        let Some(letter) = Letter::read(bytes) else { return false };
        let speaker = self.lives.hear(now, self.awake, from, letter.life);
        if speaker == Speaker::Disputed {
            self.ask_which_life(from);
        }
        if matches!(speaker, Speaker::Former | Speaker::Disputed) {
            self.hear_former(from, letter);
            return true;
        }
        self.passed_over.remove(&from);
        if self.owners.note_alive(from) {
            self.arrange(Cause::Evidence);
            self.tell_new_lenders(&HashSet::new());
        }
        // What it said while it was cut off is lost: it is asked after what it had then.
        let last = match speaker {
            Speaker::Same { last } | Speaker::New { last } => last,
            Speaker::Unknown | Speaker::Former | Speaker::Disputed => None,
        };
        if last.is_none_or(|heard| heard + PASSED_OVER < now) {
            self.shelves.values_mut().for_each(|shelf| shelf.doubt(now, from));
        }
        // A process that lives anew has forgotten what it lent, and waits for nothing that the one before asked for.
        if matches!(speaker, Speaker::New { .. }) {
            self.tell_new_lenders(&HashSet::from([from]));
            self.shelves.values_mut().for_each(|shelf| shelf.forget_asks(from, letter.life));
        }
        for line in letter.lines {
            self.take_line(from, letter.life, line);
        }
        self.pump();
        true
    }

    /// Which of two lives is the present one: the one that answers a question of a number that was never used.
    pub(crate) fn ask_which_life(&mut self, at: SocketAddr) {
        let now = self.now;
        if self.questions.get(&at).is_some_and(|(_, asked)| now < *asked + AGAIN) {
            return;
        }
        self.questions.retain(|_, (_, asked)| now < *asked + RETURNING);
        let number = self.chance.rand_u32() | 1;
        self.questions.insert(at, (number, now));
        self.say(at, Line::Unwanted { seq: number, kind: 0, instance: 0 });
    }

    /// A late letter of a life that is over can still give back what that life had, and nothing else.
    pub(crate) fn hear_former(&mut self, from: SocketAddr, letter: Letter) {
        for line in letter.lines {
            let answers = |(number, _): &(u32, Duration)| line == Line::Dropped { seq: *number, instance: 0 };
            if self.questions.get(&from).is_some_and(answers) {
                self.questions.remove(&from);
                self.lives.answered(self.now, self.awake, from, letter.life);
                self.shelves.values_mut().for_each(|shelf| shelf.forget_asks(from, letter.life));
                self.tell_new_lenders(&HashSet::from([from]));
            }
            if matches!(line, Line::Return { .. } | Line::Unwanted { .. } | Line::Refused { .. }) {
                self.take_line(from, letter.life, line);
            }
        }
        self.pump();
    }

    pub(crate) fn granted(
        &mut self,
        from: SocketAddr,
        seq: u32,
        instance: String,
        at: SocketAddr,
        free: u8,
        waiting: u8,
    ) {
        let now = self.now;
        // For a process that was here before: the lender holds it back until its call must be over.
        if seq.wrapping_sub(self.first) >= self.next.wrapping_sub(self.first)
            && !planted(Defect::NumbersAgain)
        {
            return;
        }
        let id = hash(&instance);
        let fits = |kind| {
            let entry = self.entries.get(&instance);
            entry.is_none_or(|entry| entry.kind == kind) || planted(Defect::NumbersAgain)
        };
        let may_send = self.may_send_to(&instance);
        match self.calls.get_mut(&seq) {
            Some(call) if matches!(call.stage, Stage::Asking { .. }) && fits(call.kind) && !may_send => {
                let kind = call.kind;
                call.avoid = id;
                self.give_back(from, seq, kind, id, true);
                self.ask_again_elsewhere(seq, from);
            }
            Some(call) if matches!(call.stage, Stage::Asking { .. }) && fits(call.kind) => {
                let kind = call.kind;
                let asked = match call.stage {
                    Stage::Asking { to, .. } => to,
                    _ => from,
                };
                let held = instance.clone();
                call.stage =
                    Stage::Holding { lender: from, gave: from, instance: held, since: now, told: None };
                let left = ms(call.end.saturating_sub(now));
                // Another was quicker than the one asked now.
                if asked != from {
                    self.stray(asked, seq, kind, 0);
                }
                self.note_room(kind, from, free, waiting, 0);
                // From one that lends it no more: who does now counts it as out until it comes back or its call is over.
                let zone = self.entries.get(&instance).map(|entry| entry.zone.clone());
                if let Some(present) = zone.and_then(|zone| self.lender(kind, &zone)).filter(|at| *at != from)
                {
                    self.tell_holds(seq, present, kind, instance.clone(), left);
                }
                self.orders.push_back(Order::Go { call: seq, instance, at });
            }
            // The same grant again: the answer to an ask that was said twice.
            Some(Call { stage: Stage::Holding { instance: held, .. }, .. }) if *held == instance => {}
            // Nobody wants it any more, or another lender was quicker.
            other => {
                let kind = other.map(|call| call.kind);
                let kind = kind.or_else(|| self.entries.get(&instance).map(|entry| entry.kind));
                if let Some(kind) = kind {
                    self.stray(from, seq, kind, id);
                }
            }
        }
    }

    pub(crate) fn take_line(&mut self, from: SocketAddr, life: u32, line: Line) {
        let now = self.now;
        match line {
            Line::Ask { seq, kind, priority, aim, left, avoid, hops } => {
                let wish = Wish {
                    from,
                    life,
                    seq,
                    priority,
                    came: now,
                    aim: now + Duration::from_millis(aim.into()),
                    end: now + Duration::from_millis(left.into()),
                    avoid,
                    late: false,
                    hops,
                };
                self.asked(kind, wish, hops);
            }
            Line::Return { seq, kind, ended, .. } => {
                if from != self.me {
                    self.over.note(self.awake, (from, life, seq), Over::Returned);
                }
                // Without a kind (of a grant that nobody waits for any more) all shelves are looked at.
                let kinds: Vec<Kind> = match kind {
                    0 => self.shelves.keys().copied().collect(),
                    kind => vec![kind],
                };
                let (mut gone, mut kind) = (None, None);
                for k in kinds {
                    let Some(shelf) = self.shelves.get_mut(&k) else { continue };
                    let had = shelf.lent() + shelf.queue.len();
                    gone = shelf.back(now, from, life, seq, ended);
                    if gone.is_some() || shelf.lent() + shelf.queue.len() != had {
                        kind = Some(k);
                        break;
                    }
                }
                if kind.is_none() && !self.parked.is_empty() {
                    let same = |loan: &Loan| (loan.to, loan.life, loan.seq) == (from, life, seq);
                    self.parked.values_mut().for_each(|loans| loans.retain(|loan| !same(loan)));
                }
                if let Some(book) = gone {
                    self.forget(&book.entry.instance);
                    let instance = book.entry.instance;
                    // The list may show it again while others still have calls there.
                    if !book.loans.is_empty() {
                        self.parked.insert(instance.clone(), book.loans);
                    }
                    self.orders.push_back(Order::Gone { instance });
                }
                self.say(from, Line::Noted { seq });
                if let Some(kind) = kind.filter(|_| !planted(Defect::QueueForgotten)) {
                    self.serve(kind);
                }
            }
            Line::Holds { seq, kind, instance, left } => {
                if planted(Defect::HoldsUnheard) {
                    return;
                }
                if self.over.holds_nothing(&(from, life, seq)) {
                    return;
                }
                if let Some(shelf) = self.shelves.get_mut(&kind) {
                    let loan = Loan::told(now, from, life, seq, Duration::from_millis(left.into()));
                    if shelf.holds(now, loan, &instance) {
                        self.say(from, Line::Heard { seq, kind, instance: hash(&instance) });
                    }
                }
            }
            Line::Heard { seq, kind, instance } => match self.calls.get_mut(&seq) {
                Some(Call { stage: Stage::Holding { lender, told, .. }, .. }) => {
                    if *lender == from {
                        *told = None;
                    }
                }
                // It came back before it was heard of.
                _ => self.stray(from, seq, kind, instance),
            },
            Line::Unwanted { seq, kind, instance } => {
                if instance == 0 && from != self.me {
                    self.over.note(self.awake, (from, life, seq), Over::Served);
                }
                if let Some(shelf) = self.shelves.get_mut(&kind) {
                    shelf.unwanted(from, life, seq, instance);
                }
                let parked = self.parked.iter_mut().filter(|(id, _)| hash(id) == instance);
                parked.for_each(|(_, loans)| loans.retain(|l| (l.to, l.life, l.seq) != (from, life, seq)));
                self.say(from, Line::Dropped { seq, instance });
                self.serve(kind);
            }
            Line::Refused { seq, kind, instance } => {
                if let Some(shelf) = self.shelves.get_mut(&kind) {
                    shelf.refused(now, from, life, seq, instance);
                }
                let parked = self.parked.iter_mut().filter(|(id, _)| hash(id) == instance);
                parked.for_each(|(_, loans)| loans.retain(|l| (l.to, l.life, l.seq) != (from, life, seq)));
                self.say(from, Line::Dropped { seq, instance });
                self.serve(kind);
            }
            Line::Dropped { seq, instance } => {
                self.strays.retain(|s| (s.to, s.seq, s.instance) != (from, seq, instance));
            }
            Line::HandsOver { kind, instance, loans, complete } => {
                self.taken_over(from, kind, instance, loans, complete)
            }
            Line::TookOver { instance } => self.handed_over(from, instance),
            Line::Claims { kind, instance } => self.claimed(from, kind, instance),
            Line::GaveTo { kind, instance, owner } => self.gave_to(from, kind, &instance, owner),
            Line::Room { kind, free, waiting, run } => {
                self.note_room(kind, from, free, waiting, run);
                if waiting > 0 {
                    if self.short.len() < 4096 {
                        self.short.insert((kind, from), now);
                    }
                    self.tell_rooms(kind);
                } else if free > 0 {
                    self.hand_on(kind);
                }
            }
            Line::Still { seq, kind, instance, life } => {
                if life != self.life {
                    return;
                }
                match self.calls.get(&seq) {
                    Some(Call { end, stage: Stage::Holding { instance: held, .. }, .. })
                        if hash(held) == instance =>
                    {
                        let (instance, left) = (held.clone(), ms(end.saturating_sub(now)));
                        self.say(from, Line::Holds { seq, kind, instance, left });
                    }
                    // The grant is on its way, or the return.
                    Some(Call { stage: Stage::Asking { .. }, .. }) => {}
                    _ => self.say(from, Line::Unwanted { seq, kind, instance }),
                }
            }
            Line::Grant { seq, instance, at, free, waiting } => {
                self.granted(from, seq, instance, at, free, waiting)
            }
            Line::Waits { seq, free, waiting } => {
                let room = self.calls.get_mut(&seq).and_then(|call| match &mut call.stage {
                    Stage::Asking { to, waits, tries, .. } if *to == from => {
                        (*waits, *tries) = (true, 1);
                        Some(call.kind)
                    }
                    _ => None,
                });
                if let Some(kind) = room {
                    self.note_room(kind, from, free, waiting, 0);
                }
            }
            Line::Elsewhere { seq, zone } => {
                let Some(call) = self.calls.get(&seq) else { return };
                let Stage::Asking { to, hops, .. } = call.stage else { return };
                if to != from {
                    return;
                }
                let mut zones = self.owners.members().iter().map(|m| &m.zone);
                let named = zones.find(|name| hash(name) == zone).cloned();
                match named {
                    Some(zone) => self.ask_in(seq, &zone, hops.saturating_add(1)),
                    None => self.ask(seq, hops.saturating_add(1)),
                }
            }
            Line::Later { seq, after } => {
                let Some(call) = self.calls.get(&seq) else { return };
                if matches!(call.stage, Stage::Asking { to, .. } if to == from) {
                    let kind = call.kind;
                    self.calls.remove(&seq);
                    self.note_room(kind, from, 0, 1, 0);
                    self.orders
                        .push_back(Order::No { call: seq, after: Duration::from_millis(after.into()) });
                }
            }
            Line::Noted { seq } => {
                if matches!(self.calls.get(&seq).map(|c| &c.stage), Some(Stage::Returning { lender, .. }) if *lender == from)
                {
                    self.calls.remove(&seq);
                }
            }
        }
    }
}
