//! Hosts instances of the decision module on the simulator's wire: decodes frames, maps ids to small
//! indices, keeps the instances apart, encodes replies. It decides nothing.

mod frame;

use frame::{Frame, Reply, Wrong};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::time::Duration;
use tindock::rules::Rules;
use tindock::terms::{Condition, Decision, Ending, News, Site};
use tindock_roster::list_client::{ListClient, Service, Step};
use tindock_words::{self as words, Names, Telling, Word};

const BATCH_HEADER: usize = 20;
const EVENT: usize = 56;
const ENTRY: usize = 23;
/// Names the bell that is for the list; the module's has 0.
const LIST_BELL: u64 = 1;

/// One scheduler: its decisions, and the outside names of its tasks and workers.
struct Instance {
    rules: Rules,
    /// Where the list must be asked for.
    asking: Option<ListClient>,
    /// The call for it that was made last, and the bell asked for on its behalf.
    call: u64,
    asks_at: Option<Duration>,
    workloads: usize,
    position: usize,
    places: HashMap<u64, usize>,
    ids: Vec<u64>,
    given: HashSet<u64>,
    workers: HashMap<[u8; 6], usize>,
    addresses: Vec<[u8; 6]>,
    /// The workers' names in messages between schedulers, and what is to be told.
    names: Names,
    telling: Telling,
    /// Messages of others that could not be read.
    rubbish: u64,
}

impl Instance {
    fn place(&self, id: u64, at: usize) -> Result<Option<usize>, Wrong> {
        match self.places.get(&id) {
            Some(&place) => Ok(Some(place)),
            // Over and forgotten: a batch may still name it.
            None if self.given.contains(&id) => Ok(None),
            None => Err(Wrong::at(at, format!("task id {id} was never given to this instance"))),
        }
    }

    fn worker(&self, address: [u8; 6], at: usize) -> Result<usize, Wrong> {
        let known = self.workers.get(&address).copied();
        known.ok_or_else(|| Wrong::at(at, format!("worker {address:?} is on none of this instance's lists")))
    }

    fn report(frame: &Frame, at: usize) -> Result<([f64; 4], usize), Wrong> {
        let count = frame.u8(at)? as usize;
        if count > 4 {
            return Err(Wrong::at(at, format!("load report of {count} values")));
        }
        let mut values = [0.0; 4];
        for (i, value) in values.iter_mut().enumerate() {
            *value = f64::from(frame.f32(at + 1 + 4 * i)?);
        }
        Ok((values, count))
    }

    fn update(&mut self, frame: &Frame, at: usize, now: Duration) -> Result<(), Wrong> {
        let whole = match frame.u8(at + 2)? {
            1 => {
                if let Some(asking) = &mut self.asking {
                    asking.on_failure(now, self.call);
                }
                return Ok(());
            }
            3 => false,
            0 | 2 => true,
            form => return Err(Wrong::at(at + 2, format!("unknown list form {form}"))),
        };
        let entries = frame.tail(at + 11, ENTRY)?;
        // The list it starts with answers no call; and events come in their order, so none is older than what is held.
        if frame.u8(at + 2)? != 0 {
            let index = frame.u64(at + 3)?;
            if let Some(asking) = &mut self.asking {
                asking.on_response(now, self.call, index, whole);
            }
        }
        self.rules.list_begins(whole);
        for e in entries {
            let e = Frame::over(&frame.bytes[e..e + ENTRY], e);
            let site = Site { zone: e.u8(0)? as usize, cell: e.u16(5)? as usize, kind: e.u8(7)? as usize };
            let address = e.address(8)?;
            let condition = match e.u8(14)? {
                0 => Condition::Gone,
                1 => Condition::Ready,
                2 => Condition::Draining,
                other => return Err(Wrong::at(e.base + 14, format!("unknown condition {other}"))),
            };
            let fresh = self.addresses.len();
            let worker = *self.workers.entry(address).or_insert(fresh);
            if worker == fresh {
                self.addresses.push(address);
            }
            let booted = Some(e.span(15)?).filter(|b| !b.is_zero());
            self.rules.listed(worker, site, f64::from(e.f32(1)?), condition, booted);
            if worker == fresh {
                let mark = self.names.enter(Some(address));
                self.rules.marked(worker, mark);
            }
        }
        Ok(())
    }

    fn event(&mut self, frame: &Frame, at: usize, code: u16, now: Duration) -> Result<(), Wrong> {
        match code {
            1010 => self.update(frame, at, now)?,
            1020 => {
                let id = frame.u64(at + 2)?;
                if !self.given.insert(id) {
                    return Err(Wrong::at(at + 2, format!("task id {id} was given twice")));
                }
                let workload = frame.u8(at + 48)? as usize;
                if workload >= self.workloads {
                    return Err(Wrong::at(at + 48, format!("unknown workload {workload}")));
                }
                let size = frame.f32(at + 30)?.max(frame.f32(at + 26)?);
                let left = frame.span(at + 34)?;
                let customer = frame.u32(at + 44)? as usize;
                let place = self.rules.arrived(workload, f64::from(size), left, customer);
                if place == self.ids.len() {
                    self.ids.push(id);
                } else {
                    self.places.remove(&self.ids[place]);
                    self.ids[place] = id;
                }
                self.places.insert(id, place);
                self.rules.needs(place, frame.u64(at + 18)?);
            }
            1030 => {
                // Streams: no deployment has them; the news that the answer began is a sign of life.
                if let Some(place) = self.place(frame.u64(at + 2)?, at + 2)? {
                    self.rules.started(place, frame.u8(at + 10)? as usize);
                }
            }
            1040 => {
                let place = self.place(frame.u64(at + 2)?, at + 2)?;
                let assignment = frame.u8(at + 10)? as usize;
                let worker = self.worker(frame.address(at + 11)?, at + 11)?;
                let ending = ending(frame, at + 17)?;
                let over = frame.u8(at + 26)? != 0;
                let (values, count) = Self::report(frame, at + 28)?;
                if let Some(place) = place {
                    self.rules.ended(place, assignment, ending, over);
                }
                self.rules.reported(worker, &values[..count]);
            }
            1050 => {
                if let Some(place) = self.place(frame.u64(at + 2)?, at + 2)? {
                    self.rules.left(place);
                }
            }
            1060 => match frame.u64(at + 2)? {
                LIST_BELL => self.asks_at = None,
                _ => self.rules.bell(),
            },
            1070 => {
                // No probes are sent here; what is told of one all the same is checked and left.
                self.worker(frame.address(at + 10)?, at + 10)?;
                ending(frame, at + 16)?;
                Self::report(frame, at + 17)?;
            }
            1080 => {
                let from = frame.u32(at + 2)? as usize;
                self.word(from, frame.tail_text(at + 6)?);
            }
            1100 => {
                let place = self.place(frame.u64(at + 2)?, at + 2)?;
                let (topic, assignment) = (frame.u8(at + 16)?, frame.u8(at + 17)? as usize);
                let share = f64::from(frame.f32(at + 18)?);
                match (place, topic) {
                    (Some(place), 1) => self.rules.started(place, assignment),
                    (Some(place), 2) => self.rules.progressed(place, assignment, share),
                    _ => {}
                }
            }
            other => return Err(Wrong::at(at, format!("unknown event code {other}"))),
        }
        Ok(())
    }

    /// A peer's word. Rubbish is dropped: only its own list makes a worker known to a scheduler.
    fn word(&mut self, from: usize, bytes: &[u8]) {
        match words::read(bytes).filter(|_| from != self.position) {
            Some(Word::Seek) => self.rules.sought(from),
            Some(Word::Leave(address, room)) => {
                if let Some(&worker) = self.workers.get(&address) {
                    self.rules.told(worker, room);
                }
            }
            Some(Word::Held(number, words)) => {
                for (worker, slots) in self.names.told(words) {
                    self.rules.holds(worker, from, number, slots);
                }
            }
            None => self.rubbish += 1,
        }
    }

    /// Subscribes to the list when it is time to; there is no connection to be kept for it here.
    fn ask(&mut self, reply: &mut Reply, now: Duration) {
        let Some(asking) = &mut self.asking else { return };
        while let Some(step) = asking.next_step(now) {
            match step {
                Step::Connect { connection: line } => {
                    self.call = line;
                    asking.connected(line);
                }
                Step::Query { .. } => {
                    reply.record(1110).raw(&[1]);
                }
                Step::Close { .. } => {}
            }
        }
        let due = asking.next_due();
        if due < Duration::MAX && self.asks_at.is_none_or(|at| due < at) {
            self.asks_at = Some(due);
            reply.record(1090).f64(due.saturating_sub(now).as_secs_f64()).u64(LIST_BELL);
        }
    }

    fn pull(&mut self, reply: &mut Reply, now: Duration) {
        self.ask(reply, now);
        while let Some(decision) = self.rules.decide() {
            match decision {
                Decision::Assign { task, worker } => {
                    reply.record(1000).u64(self.ids[task]).raw(&self.addresses[worker]).f64(0.0);
                }
                Decision::Shed { task, come_back } => {
                    let wait = come_back.map_or(0.0, |w| w.as_secs_f64());
                    reply.record(1100).u64(self.ids[task]).f64(wait);
                }
                Decision::BreakOff { task } => {
                    reply.record(1050).u64(self.ids[task]);
                }
                Decision::CallOff { task, assignment } => {
                    reply.record(1060).u64(self.ids[task]).raw(&[assignment as u8]);
                }
                Decision::Leave { to, worker, room } => {
                    reply.tell(to as u32, &words::leave(self.addresses[worker], room));
                }
                Decision::Seek { to } => reply.tell(to as u32, &words::seek()),
                Decision::Tell { worker, slots } => {
                    self.telling.add(self.names.short(worker), slots);
                }
                Decision::Wake { after } => {
                    reply.record(1090).f64(after.as_secs_f64()).u64(0);
                }
                Decision::Log(line) => reply.text(1020, &line),
            }
        }
        for message in self.telling.messages() {
            reply.tell(u32::MAX, &message);
        }
    }
}

fn ending(frame: &Frame, at: usize) -> Result<Ending, Wrong> {
    Ok(match frame.u8(at)? {
        0 => Ending::Finished,
        255 => Ending::Error,
        254 => Ending::Full,
        253 => Ending::TimedOut,
        252 => Ending::ConnectFailed,
        251 => Ending::Reset,
        250 => Ending::Cancelled,
        249 => Ending::Moot,
        other => return Err(Wrong::at(at, format!("unknown outcome code {other}"))),
    })
}

fn answer(
    hosted: &mut BTreeMap<u32, Instance>,
    frame: &Frame,
    count: usize,
    now: Duration,
) -> Result<Reply, Wrong> {
    let mut reply = Reply::new();
    let mut current: Option<u32> = None;
    let mut order: Vec<u32> = Vec::new();
    if frame.bytes.len() < count.saturating_mul(EVENT) {
        return Err(Wrong::at(0, format!("{count} records do not fit in {} bytes", frame.bytes.len())));
    }
    let frame = frame.with_tail(count * EVENT);
    for at in (0..count * EVENT).step_by(EVENT) {
        let code = frame.u16(at)?;
        if code == 1110 {
            let number = frame.u32(at + 2)?;
            current = Some(number);
            if !order.contains(&number) {
                order.push(number);
            }
            continue;
        }
        let number = current.ok_or_else(|| Wrong::at(at, "event before any About".into()))?;
        if code == 1000 {
            let info = frame.tail_text(at + 10)?;
            let sheet = tindock_sheet::read_text(info).map_err(|why| Wrong::at(at + 10, why))?;
            let seed = frame.u64(at + 2)?;
            let asking = match sheet.news {
                News::Pushed => None,
                News::Asked { within } => {
                    Some(ListClient::new(Service::Shared { max_staleness: within }, Some(0), !seed))
                }
            };
            let instance = Instance {
                workloads: sheet.workloads.len(),
                position: sheet.position,
                asking,
                call: 0,
                asks_at: None,
                rules: Rules::new(sheet, seed, now),
                places: HashMap::new(),
                ids: Vec::new(),
                given: HashSet::new(),
                workers: HashMap::new(),
                addresses: Vec::new(),
                names: Names::default(),
                telling: Telling::default(),
                rubbish: 0,
            };
            hosted.insert(number, instance);
            continue;
        }
        let missing = || Wrong::at(at, format!("event {code} for instance {number}, which was not started"));
        if code == 1090 {
            hosted.remove(&number).ok_or_else(missing)?;
            continue;
        }
        let instance = hosted.get_mut(&number).ok_or_else(missing)?;
        instance.rules.clock(now);
        instance.event(&frame, at, code, now)?;
    }
    for number in order {
        if let Some(instance) = hosted.get_mut(&number) {
            let before = reply.len();
            reply.record(1120).raw(&number.to_le_bytes());
            let opened = reply.len();
            instance.pull(&mut reply, now);
            if reply.len() == opened {
                reply.cut(before);
            }
        }
    }
    Ok(reply)
}

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut hosted: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut body: Vec<u8> = Vec::new();
    let mut last = Duration::ZERO;
    loop {
        let mut head = [0u8; BATCH_HEADER];
        let mut got = 0;
        while got < BATCH_HEADER {
            match input.read(&mut head[got..]) {
                Ok(0) if got == 0 => return Ok(()),
                Ok(0) => return Err(format!("input ends after {got} bytes of a batch header")),
                Ok(n) => got += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(format!("reading input: {e}")),
            }
        }
        let header = Frame::over(&head, 0);
        let number = header.u32(0).map_err(|w| w.to_string())?;
        let length = header.u32(4).map_err(|w| w.to_string())? as usize;
        body.clear();
        let read = input.by_ref().take(length as u64).read_to_end(&mut body);
        if read.map_err(|e| format!("reading input: {e}"))? < length {
            return Err(format!("batch {number}: {} of {length} bytes, then the input ends", body.len()));
        }
        let count = header.u32(8).map_err(|w| w.to_string())? as usize;
        let now = header.span(12).map_err(|w| format!("batch {number}, header: {w}"))?;
        if now < last {
            return Err(format!("batch {number}: the clock goes back from {last:?} to {now:?}"));
        }
        last = now;
        let reply = answer(&mut hosted, &Frame::over(&body, 0), count, now)
            .map_err(|wrong| format!("batch {number}: {wrong}"))?;
        let sent = reply.write(number, &mut output).and_then(|()| output.flush());
        sent.map_err(|e| format!("writing a reply: {e}"))?;
    }
}

fn main() {
    if let Err(why) = serve() {
        eprintln!("tindock-simhost: {why}");
        std::process::exit(1);
    }
}
