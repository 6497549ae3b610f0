//! The requester's side: in which zone a call asks for a slot, whom, how often, and when it is given up.

use crate::owners::weight;
use crate::planted::{planted, Defect};
use crate::words::{kind as hash, Kind, Line};
use crate::{
    ms, Call, Lending, Order, Stage, AGAIN, AGAIN_WAITING, CALLS, CUT_OFF_RETRY, FAR, GIVEN_UP, NEAR,
    RETURNING, SPEAKS, TRIES,
};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

impl Lending {
    /// A call wants a slot; its number is what `Go` and `No` name. `aim` and `end` are times by the same clock.
    pub fn want(
        &mut self,
        now: Duration,
        kind: Kind,
        priority: u8,
        aim: Duration,
        end: Duration,
        avoid: &str,
    ) -> u32 {
        self.now = now;
        let seq = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        if self.calls.len() >= CALLS || !self.functions.contains_key(&kind) {
            self.orders.push_back(Order::No { call: seq, after: Duration::from_millis(300) });
            return seq;
        }
        let avoid = if avoid.is_empty() { 0 } else { hash(avoid) };
        let stage = Stage::Asking { to: self.me, sent: now, tries: 0, waits: false, hops: 0 };
        self.calls.insert(seq, Call { kind, priority, aim, end, came: now, avoid, stage });
        self.ask(seq, 0);
        self.pump();
        seq
    }

    /// Zones with instances of this function that lend; whether one of them has started, and the highest weight.
    pub(crate) fn zones_of(&self, kind: Kind) -> BTreeMap<&str, (bool, u64)> {
        let mut zones: BTreeMap<&str, (bool, u64)> = BTreeMap::new();
        for id in self.by_kind.get(&kind).into_iter().flatten() {
            let Some(entry) = self.entries.get(id).filter(|entry| entry.lends) else { continue };
            let (ready, heavy) = zones.entry(&entry.zone).or_default();
            // The weight is of those that count: started ones where there are any.
            if entry.ready && !*ready {
                (*ready, *heavy) = (true, weight(kind, &entry.at));
            } else if entry.ready == *ready {
                *heavy = (*heavy).max(weight(kind, &entry.at));
            }
        }
        zones
    }

    /// The zone to ask in: the nearest that has instances and room, as far as is known.
    pub(crate) fn zone_for(&self, kind: Kind) -> String {
        let own = self.region(&self.zone);
        let cost = |zone: &str, ready: bool| {
            let far = if zone == self.zone { 0 } else { 2 + 2 * u32::from(self.region(zone) != own) };
            let starting = if ready { 0 } else { 8 };
            let full = self.room_at(kind, zone).is_some_and(|room| room.free == 0 || room.waiting > 0);
            let silent = self.lender(kind, zone).is_none_or(|at| self.passed_over.contains_key(&at));
            far + starting + if full { 5 } else { 0 } + if silent { 30 } else { 0 }
        };
        let zones = self.zones_of(kind);
        let best = zones.iter().min_by_key(|(zone, (ready, heavy))| (cost(zone, *ready), *heavy));
        best.map_or_else(|| self.zone.clone(), |(zone, _)| zone.to_string())
    }

    /// What the way to a zone costs a call.
    pub(crate) fn way(&self, zone: &str) -> Duration {
        if self.region(zone) == self.region(&self.zone) {
            NEAR
        } else {
            FAR
        }
    }

    pub(crate) fn ask(&mut self, seq: u32, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        let zone = self.zone_for(call.kind);
        self.ask_in(seq, &zone, hops);
    }

    pub(crate) fn ask_in(&mut self, seq: u32, zone: &str, hops: u8) {
        let Some(call) = self.calls.get(&seq) else { return };
        // Before any owner is known a call waits for one; it is no sign of a lack of instances.
        let Some(to) = self.lender(call.kind, zone) else { return };
        if to != self.me && self.is_isolated() {
            // No word would come: the client may find one that is not cut off.
            self.calls.remove(&seq);
            self.orders.push_back(Order::No { call: seq, after: CUT_OFF_RETRY });
            return;
        }
        let line = self.ask_line(seq, call, hops);
        let now = self.now;
        if let Some(call) = self.calls.get_mut(&seq) {
            call.stage = Stage::Asking { to, sent: now, tries: 1, waits: false, hops };
        }
        self.say(to, line);
    }

    pub(crate) fn ask_line(&self, seq: u32, call: &Call, hops: u8) -> Line {
        let (aim, left) = (call.aim.saturating_sub(self.now), call.end.saturating_sub(self.now));
        Line::Ask {
            seq,
            kind: call.kind,
            priority: call.priority,
            aim: ms(aim),
            left: ms(left),
            avoid: call.avoid,
            hops,
        }
    }

    /// Calls that were asked of one that owns nothing of their function any more are asked of the owners.
    pub(crate) fn ask_owners(&mut self) {
        let asked = self.calls.values().filter_map(|call| match call.stage {
            Stage::Asking { to, .. } if to != self.me => Some((call.kind, to)),
            _ => None,
        });
        let asked: HashSet<(Kind, SocketAddr)> = asked.collect();
        let owns = |(kind, at): &(Kind, SocketAddr)| {
            self.zones_of(*kind).keys().any(|zone| self.lender(*kind, zone) == Some(*at))
        };
        let owners: HashSet<(Kind, SocketAddr)> = asked.into_iter().filter(owns).collect();
        self.ask_anew(|kind, to| !owners.contains(&(kind, to)));
    }

    /// Calls that came before any owner was known.
    pub(crate) fn ask_first_owners(&mut self) {
        let unasked = |call: &Call| matches!(call.stage, Stage::Asking { tries: 0, .. });
        let unasked: Vec<u32> =
            self.calls.iter().filter(|(_, call)| unasked(call)).map(|(seq, _)| *seq).collect();
        unasked.into_iter().for_each(|seq| self.ask(seq, 0));
    }

    /// Calls that wait for a word of others for which this holds are asked anew.
    pub(crate) fn ask_anew(&mut self, which: impl Fn(Kind, SocketAddr) -> bool) {
        let waits = |(&seq, call): (&u32, &Call)| match call.stage {
            Stage::Asking { to, .. } if to != self.me && which(call.kind, to) => Some((seq, call.kind, to)),
            _ => None,
        };
        let lost: Vec<(u32, Kind, SocketAddr)> = self.calls.iter().filter_map(waits).collect();
        for (seq, kind, to) in lost {
            if self.owners.member(to).is_some() {
                self.stray(to, seq, kind, 0);
            }
            self.ask(seq, 0);
        }
    }

    /// A call whose grant was refused: the one that gave it rests the instance. Where it has no other, the call is sent on or
    /// waits there, as any does.
    pub(crate) fn ask_again_elsewhere(&mut self, seq: u32, gave: SocketAddr) {
        let Some(Call { stage: Stage::Asking { to, hops, .. }, .. }) = self.calls.get(&seq) else { return };
        // Another was asked meanwhile, and answers too.
        if *to == gave {
            let hops = hops.saturating_add(1);
            self.ask(seq, hops);
        }
    }

    /// Asks and returns without a word so far are said again; lenders that say nothing are passed over.
    pub(crate) fn again(&mut self) {
        let now = self.now;
        let (mut lines, mut silent, mut over, mut ended) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        let mut holds = Vec::new();
        for (&seq, call) in &mut self.calls {
            match &mut call.stage {
                Stage::Asking { to, sent, tries, waits, hops } => {
                    if call.end <= now && !planted(Defect::EndUnseen) {
                        over.push(seq);
                        continue;
                    }
                    if *tries == 0 {
                        if now >= call.came + GIVEN_UP {
                            over.push(seq);
                        }
                        continue;
                    }
                    // What is known to wait is asked after now and then; once that is not answered, as often as any.
                    let known = *waits && *tries == 1;
                    let pause = if known { AGAIN_WAITING } else { AGAIN * (1 << (*tries - 1).min(3)) };
                    if *to != self.me && now >= *sent + pause {
                        // One that was heard since speaks, and has only missed this: it is asked again.
                        let speaks = self.lives.heard(to).is_some_and(|heard| heard + SPEAKS > now);
                        if *tries >= TRIES && speaks {
                            (*sent, *tries) = (now, 1);
                            lines.push((*to, seq, *hops));
                        } else if *tries >= TRIES {
                            silent.push(*to);
                        } else {
                            (*sent, *tries) = (now, *tries + 1);
                            lines.push((*to, seq, *hops));
                        }
                    }
                }
                Stage::Holding { lender, instance, told: Some((sent, tries)), .. } => {
                    if now >= *sent + AGAIN * (1 << (*tries - 1).min(4)) {
                        (*sent, *tries) = (now, *tries + 1);
                        let left = ms(call.end.saturating_sub(now));
                        let line = Line::Holds { seq, kind: call.kind, instance: instance.clone(), left };
                        holds.push((*lender, line));
                    }
                }
                Stage::Holding { .. } => {}
                Stage::Returning { lender, ended: how, ms, sent, tries, began } => {
                    if now > *began + RETURNING {
                        ended.push(seq);
                    } else if now >= *sent + AGAIN * (1 << (*tries - 1).min(4)) {
                        (*sent, *tries) = (now, *tries + 1);
                        let line = Line::Return { seq, kind: call.kind, ended: *how, ms: *ms };
                        self.out.entry(*lender).or_default().push(line);
                    }
                }
            }
        }
        for (to, line) in holds {
            self.say(to, line);
        }
        self.strays.retain(|stray| now <= stray.began + RETURNING);
        for stray in &mut self.strays {
            if now >= stray.sent + AGAIN * (1 << (stray.tries - 1).min(4)) {
                (stray.sent, stray.tries) = (now, stray.tries + 1);
                let line = stray.line();
                self.out.entry(stray.to).or_default().push(line);
            }
        }
        for (to, seq, hops) in lines {
            if let Some(line) = self.calls.get(&seq).map(|call| self.ask_line(seq, call, hops)) {
                self.say(to, line);
            }
        }
        for seq in ended {
            self.calls.remove(&seq);
        }
        for seq in over {
            if let Some(Call { kind, stage: Stage::Asking { to, .. }, .. }) = self.calls.remove(&seq) {
                self.stray(to, seq, kind, 0);
            }
            self.orders.push_back(Order::No { call: seq, after: Duration::from_millis(200) });
        }
        self.pass_over(silent);
    }
}
