//! Hosts instances of the scheduling policy for a simulator on standard input and output: decodes frames,
//! maps ids to small indices, separates the instances and encodes replies. It makes no decisions.

mod codes;
mod frame;

use codes::{event, reply as reply_code};
use frame::{Frame, InputError, Reply};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::time::Duration;
use tindock::policy::Policy;
use tindock::types::{Condition, Decision, Discovery, Ending, Site};
use tindock_peer_messages::{self as peer_messages, Announcements, PeerMessage, WorkerNames};
use tindock_worker_list::list_client::{ListClient, Service, Step};

const BATCH_HEADER_BYTES: usize = 20;
const EVENT_BYTES: usize = 56;
const LIST_ENTRY_BYTES: usize = 23;
/// Id of the timer for requesting the list; the policy's timer has id 0.
const LIST_TIMER: u64 = 1;

/// One scheduler: its policy, and the external ids of its tasks and workers.
struct Instance {
    policy: Policy,
    /// Present where the list must be requested.
    list_client: Option<ListClient>,
    /// Its last call, and the time of the timer requested for it.
    list_call: u64,
    list_timer_at: Option<Duration>,
    workloads: usize,
    position: usize,
    tasks: HashMap<u64, usize>,
    task_ids: Vec<u64>,
    received: HashSet<u64>,
    workers: HashMap<[u8; 6], usize>,
    addresses: Vec<[u8; 6]>,
    /// Identifiers of workers in messages between schedulers, and announcements to send.
    names: WorkerNames,
    announcements: Announcements,
    /// Messages of peers that could not be decoded.
    invalid_messages: u64,
}

impl Instance {
    fn task(&self, id: u64, at: usize) -> Result<Option<usize>, InputError> {
        match self.tasks.get(&id) {
            Some(&task) => Ok(Some(task)),
            // A finished task whose entry was reused: a batch may still name it.
            None if self.received.contains(&id) => Ok(None),
            None => Err(InputError::new(at, format!("task id {id} was never given to this instance"))),
        }
    }

    fn worker(&self, address: [u8; 6], at: usize) -> Result<usize, InputError> {
        let known = self.workers.get(&address).copied();
        known.ok_or_else(|| {
            InputError::new(at, format!("worker {address:?} is on none of this instance's lists"))
        })
    }

    fn report(frame: &Frame, at: usize) -> Result<([f64; 4], usize), InputError> {
        let count = frame.u8(at)? as usize;
        if count > 4 {
            return Err(InputError::new(at, format!("load report of {count} values")));
        }
        let mut values = [0.0; 4];
        for (i, value) in values.iter_mut().enumerate() {
            *value = f64::from(frame.f32(at + 1 + 4 * i)?);
        }
        Ok((values, count))
    }

    fn update(&mut self, frame: &Frame, at: usize, now: Duration) -> Result<(), InputError> {
        let whole = match frame.u8(at + 2)? {
            1 => {
                if let Some(client) = &mut self.list_client {
                    client.on_failure(now, self.list_call);
                }
                return Ok(());
            }
            3 => false,
            0 | 2 => true,
            form => return Err(InputError::new(at + 2, format!("unknown list form {form}"))),
        };
        let entries = frame.tail(at + 11, LIST_ENTRY_BYTES)?;
        // The initial list answers no call. Events arrive in order, so no list is older than the current one.
        if frame.u8(at + 2)? != 0 {
            let index = frame.u64(at + 3)?;
            if let Some(client) = &mut self.list_client {
                client.on_response(now, self.list_call, index, whole);
            }
        }
        self.policy.begin_list(whole);
        for e in entries {
            let e = Frame::new(&frame.bytes[e..e + LIST_ENTRY_BYTES], e);
            let site = Site { zone: e.u8(0)? as usize, cell: e.u16(5)? as usize, kind: e.u8(7)? as usize };
            let address = e.address(8)?;
            let condition = match e.u8(14)? {
                0 => Condition::Gone,
                1 => Condition::Ready,
                2 => Condition::Draining,
                other => return Err(InputError::new(e.base + 14, format!("unknown condition {other}"))),
            };
            let fresh = self.addresses.len();
            let worker = *self.workers.entry(address).or_insert(fresh);
            if worker == fresh {
                self.addresses.push(address);
            }
            let booted = Some(e.duration(15)?).filter(|b| !b.is_zero());
            self.policy.listed(worker, site, f64::from(e.f32(1)?), condition, booted);
            if worker == fresh {
                let hash = self.names.insert(Some(address));
                self.policy.set_worker_hash(worker, hash);
            }
        }
        Ok(())
    }

    fn event(&mut self, frame: &Frame, at: usize, code: u16, now: Duration) -> Result<(), InputError> {
        match code {
            event::LIST => self.update(frame, at, now)?,
            event::TASK => {
                let id = frame.u64(at + 2)?;
                if !self.received.insert(id) {
                    return Err(InputError::new(at + 2, format!("task id {id} was given twice")));
                }
                let workload = frame.u8(at + 48)? as usize;
                if workload >= self.workloads {
                    return Err(InputError::new(at + 48, format!("unknown workload {workload}")));
                }
                let size = frame.f32(at + 30)?.max(frame.f32(at + 26)?);
                let left = frame.duration(at + 34)?;
                let tenant = frame.u32(at + 44)? as usize;
                let task = self.policy.arrived(workload, f64::from(size), left, tenant);
                if task == self.task_ids.len() {
                    self.task_ids.push(id);
                } else {
                    self.tasks.remove(&self.task_ids[task]);
                    self.task_ids[task] = id;
                }
                self.tasks.insert(id, task);
                self.policy.set_data_set(task, frame.u64(at + 18)?);
            }
            event::STARTED => {
                // Start of a streamed answer: no deployment streams, but it shows that the task has started.
                if let Some(task) = self.task(frame.u64(at + 2)?, at + 2)? {
                    self.policy.started(task, frame.u8(at + 10)? as usize);
                }
            }
            event::ENDED => {
                let task = self.task(frame.u64(at + 2)?, at + 2)?;
                let assignment = frame.u8(at + 10)? as usize;
                let worker = self.worker(frame.address(at + 11)?, at + 11)?;
                let ending = ending(frame, at + 17)?;
                let over = frame.u8(at + 26)? != 0;
                let (values, count) = Self::report(frame, at + 28)?;
                if let Some(task) = task {
                    self.policy.ended(task, assignment, ending, over);
                }
                self.policy.reported(worker, &values[..count]);
            }
            event::CLIENT_LEFT => {
                if let Some(task) = self.task(frame.u64(at + 2)?, at + 2)? {
                    self.policy.client_left(task);
                }
            }
            event::TIMER => match frame.u64(at + 2)? {
                LIST_TIMER => self.list_timer_at = None,
                _ => self.policy.timer_fired(),
            },
            event::PROBE_ENDED => {
                // No probes are sent; a result is checked and ignored.
                self.worker(frame.address(at + 10)?, at + 10)?;
                ending(frame, at + 16)?;
                Self::report(frame, at + 17)?;
            }
            event::PEER_MESSAGE => {
                let from = frame.u32(at + 2)? as usize;
                self.peer_message(from, frame.tail_text(at + 6)?);
            }
            event::PROGRESS => {
                let task = self.task(frame.u64(at + 2)?, at + 2)?;
                let (topic, assignment) = (frame.u8(at + 16)?, frame.u8(at + 17)? as usize);
                let share = f64::from(frame.f32(at + 18)?);
                match (task, topic) {
                    (Some(task), 1) => self.policy.started(task, assignment),
                    (Some(task), 2) => self.policy.progressed(task, assignment, share),
                    _ => {}
                }
            }
            other => return Err(InputError::new(at, format!("unknown event code {other}"))),
        }
        Ok(())
    }

    /// A message of a peer. Invalid ones are dropped: a scheduler knows only workers on its own list.
    fn peer_message(&mut self, from: usize, bytes: &[u8]) {
        match peer_messages::decode(bytes).filter(|_| from != self.position) {
            Some(PeerMessage::SlotRequest) => self.policy.slots_requested(from),
            Some(PeerMessage::Grant(address, slots)) => {
                if let Some(&worker) = self.workers.get(&address) {
                    self.policy.slots_granted(worker, slots);
                }
            }
            Some(PeerMessage::Usage(number, entries)) => {
                for (worker, slots) in self.names.resolve(entries) {
                    self.policy.peer_usage(worker, from, number, slots);
                }
            }
            None => self.invalid_messages += 1,
        }
    }

    /// Subscribes to the list when due; there is no connection to maintain.
    fn request_list(&mut self, reply: &mut Reply, now: Duration) {
        let Some(client) = &mut self.list_client else { return };
        while let Some(step) = client.next_step(now) {
            match step {
                Step::Connect { connection: line } => {
                    self.list_call = line;
                    client.connected(line);
                }
                Step::Query { .. } => {
                    reply.record(reply_code::SUBSCRIBE).raw(&[1]);
                }
                Step::Close { .. } => {}
            }
        }
        let due = client.next_due();
        if due < Duration::MAX && self.list_timer_at.is_none_or(|at| due < at) {
            self.list_timer_at = Some(due);
            reply.record(reply_code::TIMER).f64(due.saturating_sub(now).as_secs_f64()).u64(LIST_TIMER);
        }
    }

    fn pull(&mut self, reply: &mut Reply, now: Duration) {
        self.request_list(reply, now);
        while let Some(decision) = self.policy.decide() {
            match decision {
                Decision::Assign { task, worker } => {
                    reply
                        .record(reply_code::ASSIGN)
                        .u64(self.task_ids[task])
                        .raw(&self.addresses[worker])
                        .f64(0.0);
                }
                Decision::Shed { task, retry_after } => {
                    let wait = retry_after.map_or(0.0, |w| w.as_secs_f64());
                    reply.record(reply_code::SHED).u64(self.task_ids[task]).f64(wait);
                }
                Decision::Abandon { task } => {
                    reply.record(reply_code::ABANDON).u64(self.task_ids[task]);
                }
                Decision::Cancel { task, assignment } => {
                    reply.record(reply_code::CANCEL).u64(self.task_ids[task]).raw(&[assignment as u8]);
                }
                Decision::Grant { to, worker, slots } => {
                    reply.message(to as u32, &peer_messages::grant(self.addresses[worker], slots));
                }
                Decision::RequestSlots { to } => reply.message(to as u32, &peer_messages::slot_request()),
                Decision::Announce { worker, slots } => {
                    self.announcements.add(self.names.short_id(worker), slots);
                }
                Decision::Wake { after } => {
                    reply.record(reply_code::TIMER).f64(after.as_secs_f64()).u64(0);
                }
                Decision::Log(line) => reply.text(reply_code::LOG, &line),
            }
        }
        for message in self.announcements.messages() {
            reply.message(u32::MAX, &message);
        }
    }
}

fn ending(frame: &Frame, at: usize) -> Result<Ending, InputError> {
    Ok(match frame.u8(at)? {
        0 => Ending::Finished,
        255 => Ending::Error,
        254 => Ending::Full,
        253 => Ending::TimedOut,
        252 => Ending::ConnectFailed,
        251 => Ending::Reset,
        250 => Ending::Cancelled,
        249 => Ending::NotSent,
        other => return Err(InputError::new(at, format!("unknown outcome code {other}"))),
    })
}

fn process_batch(
    instances: &mut BTreeMap<u32, Instance>,
    frame: &Frame,
    count: usize,
    now: Duration,
) -> Result<Reply, InputError> {
    let mut reply = Reply::new();
    let mut current: Option<u32> = None;
    let mut mentioned: Vec<u32> = Vec::new();
    if frame.bytes.len() < count.saturating_mul(EVENT_BYTES) {
        return Err(InputError::new(0, format!("{count} records do not fit in {} bytes", frame.bytes.len())));
    }
    let frame = frame.with_tail(count * EVENT_BYTES);
    for at in (0..count * EVENT_BYTES).step_by(EVENT_BYTES) {
        let code = frame.u16(at)?;
        if code == event::ABOUT {
            let number = frame.u32(at + 2)?;
            current = Some(number);
            if !mentioned.contains(&number) {
                mentioned.push(number);
            }
            continue;
        }
        let number = current.ok_or_else(|| InputError::new(at, "event before any About".into()))?;
        if code == event::START {
            let text = frame.tail_text(at + 10)?;
            let settings =
                tindock_policy_settings::parse(text).map_err(|reason| InputError::new(at + 10, reason))?;
            let seed = frame.u64(at + 2)?;
            let list_client = match settings.discovery {
                Discovery::Pushed => None,
                Discovery::Polled { within } => {
                    Some(ListClient::new(Service::Shared { max_staleness: within }, Some(0), !seed))
                }
            };
            let instance = Instance {
                workloads: settings.workloads.len(),
                position: settings.position,
                list_client,
                list_call: 0,
                list_timer_at: None,
                policy: Policy::new(settings, seed, now),
                tasks: HashMap::new(),
                task_ids: Vec::new(),
                received: HashSet::new(),
                workers: HashMap::new(),
                addresses: Vec::new(),
                names: WorkerNames::default(),
                announcements: Announcements::default(),
                invalid_messages: 0,
            };
            instances.insert(number, instance);
            continue;
        }
        let missing =
            || InputError::new(at, format!("event {code} for instance {number}, which was not started"));
        if code == event::STOP {
            instances.remove(&number).ok_or_else(missing)?;
            continue;
        }
        let instance = instances.get_mut(&number).ok_or_else(missing)?;
        instance.policy.set_time(now);
        instance.event(&frame, at, code, now)?;
    }
    for number in mentioned {
        if let Some(instance) = instances.get_mut(&number) {
            let before = reply.len();
            reply.record(reply_code::ABOUT).raw(&number.to_le_bytes());
            let opened = reply.len();
            instance.pull(&mut reply, now);
            if reply.len() == opened {
                reply.truncate(before);
            }
        }
    }
    Ok(reply)
}

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    let mut instances: BTreeMap<u32, Instance> = BTreeMap::new();
    let mut body: Vec<u8> = Vec::new();
    let mut last = Duration::ZERO;
    loop {
        let mut head = [0u8; BATCH_HEADER_BYTES];
        let mut filled = 0;
        while filled < BATCH_HEADER_BYTES {
            match input.read(&mut head[filled..]) {
                Ok(0) if filled == 0 => return Ok(()),
                Ok(0) => return Err(format!("input ends after {filled} bytes of a batch header")),
                Ok(n) => filled += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(format!("reading input: {e}")),
            }
        }
        let header = Frame::new(&head, 0);
        let number = header.u32(0).map_err(|w| w.to_string())?;
        let length = header.u32(4).map_err(|w| w.to_string())? as usize;
        body.clear();
        let read = input.by_ref().take(length as u64).read_to_end(&mut body);
        if read.map_err(|e| format!("reading input: {e}"))? < length {
            return Err(format!("batch {number}: {} of {length} bytes, then the input ends", body.len()));
        }
        let count = header.u32(8).map_err(|w| w.to_string())? as usize;
        let now = header.duration(12).map_err(|w| format!("batch {number}, header: {w}"))?;
        if now < last {
            return Err(format!("batch {number}: the clock goes back from {last:?} to {now:?}"));
        }
        last = now;
        let reply = process_batch(&mut instances, &Frame::new(&body, 0), count, now)
            .map_err(|e| format!("batch {number}: {e}"))?;
        let written = reply.write(number, &mut output).and_then(|()| output.flush());
        written.map_err(|e| format!("writing a reply: {e}"))?;
    }
}

fn main() {
    if let Err(reason) = serve() {
        eprintln!("tindock-simhost: {reason}");
        std::process::exit(1);
    }
}
