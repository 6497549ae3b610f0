//! A world of members outside of which nothing is known of their inside but what they keep, say and serve under: plays
//! them with losses, doubles, delays, cuts, crashes and stops, and holds every step against what the accord promises.
//! Used by the crate's tests and by `examples/orders.rs`.

use std::cmp::Reverse;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::hash::{Hash, Hasher};
use std::time::Duration;
use tindock_accord::{
    Ballot, CheckedProposal, Chosen, Digest, DurableState, Id, Member, Members, Message, Outcome,
    ServiceStatus, Timing,
};

pub const MS: Duration = Duration::from_millis(1);
pub const TERMS: Timing = Timing { lease: Duration::from_secs(6), response_timeout: Duration::from_secs(2) };
/// Longest time in which an older number is still served under once a newer one is decided.
const BOUND: Duration = Duration::from_millis(6_120);

pub fn digest(of: u64) -> Digest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&of.to_le_bytes());
    Digest(bytes)
}

/// Members with these ids, the first few of them voters.
pub fn members(all: impl IntoIterator<Item = Id>, voters: usize) -> Members {
    let all: BTreeSet<Id> = all.into_iter().collect();
    Members { voters: all.iter().copied().take(voters).collect(), all }
}

/// What happened, as nobody inside can know it.
#[derive(Clone, Debug, Default, Hash)]
struct Truth {
    accepted: BTreeMap<(u64, Ballot, Digest), BTreeSet<Id>>,
    chosen: BTreeMap<u64, (Digest, Duration)>,
    staged: BTreeSet<(Id, Digest)>,
    last: BTreeMap<Id, u64>,
    voters: BTreeMap<u64, BTreeSet<Id>>,
}

#[derive(Clone, Hash)]
struct Node {
    member: Option<Member>,
    disk: DurableState,
    /// Its clock beside the true one, in millionths.
    rate: u64,
}

impl Node {
    fn clock(&self, now: Duration) -> Duration {
        Duration::from_nanos((now.as_nanos() as u64 / 1_000_000).wrapping_mul(self.rate))
    }
}

/// Defects of the host, beside those of the decider.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Host {
    Sound,
    /// What is kept reaches the disk after the words that it permits: a crash loses the last of it.
    SaysBeforeItWrites,
    /// A member that lost its folder goes on under the same life.
    KeepsItsLife,
    /// Clocks run further apart than was promised.
    CountsNoDrift,
}

#[derive(Clone)]
pub struct World {
    nodes: BTreeMap<Id, Node>,
    texts: BTreeMap<Digest, CheckedProposal>,
    unfit: BTreeSet<(Id, Digest)>,
    flying: Vec<(Id, Id, Message)>,
    now: Duration,
    truth: Truth,
    host: Host,
    starts: u64,
    /// Whether each step goes to standard error.
    trace: bool,
    before: BTreeMap<Id, DurableState>,
    pub wrong: Option<String>,
}

impl World {
    /// A group that has decided number 1, at rest; `outside` are no members yet.
    pub fn founded(all: usize, outside: usize, voters: usize, host: Host) -> World {
        let first = members(1..=all as Id, voters);
        let mut world = World::empty(host);
        let chosen = Chosen { number: 1, digest: digest(1) };
        world
            .texts
            .insert(digest(1), CheckedProposal { number: 1, members: first.clone(), eligibility: Ok(()) });
        world.truth.chosen.insert(1, (digest(1), Duration::ZERO));
        world.truth.voters.insert(1, first.voters);
        for id in 1..=(all + outside) as Id {
            let mut disk = DurableState::new(id);
            if id <= all as Id {
                (disk.decided, disk.history) = (chosen, vec![chosen]);
            }
            world.nodes.insert(id, Node { member: None, disk, rate: 1_000_000 });
            world.start(id, true);
        }
        world
    }

    fn empty(host: Host) -> World {
        World {
            nodes: BTreeMap::new(),
            texts: BTreeMap::new(),
            unfit: BTreeSet::new(),
            flying: Vec::new(),
            now: Duration::ZERO,
            truth: Truth::default(),
            host,
            starts: 0,
            trace: false,
            before: BTreeMap::new(),
            wrong: None,
        }
    }

    /// A group with no number yet.
    pub fn unfounded(all: usize, host: Host) -> World {
        let mut world = World::empty(host);
        for id in 1..=all as Id {
            world.nodes.insert(id, Node { member: None, disk: DurableState::new(id), rate: 1_000_000 });
            world.start(id, true);
        }
        world
    }

    fn reading(&self, id: Id, digest: Digest) -> Option<CheckedProposal> {
        let mut reading = self.texts.get(&digest)?.clone();
        if self.unfit.contains(&(id, digest)) {
            reading.eligibility = Err("another program".into());
        }
        Some(reading)
    }

    fn start(&mut self, id: Id, fresh: bool) {
        self.tell(|| format!("{id} starts"));
        let Some(node) = self.nodes.get(&id) else { return };
        let (disk, clock) = (node.disk.clone(), node.clock(self.now));
        let known =
            disk.active_digests().into_iter().filter_map(|d| Some((d, self.reading(id, d)?))).collect();
        self.starts += 1;
        let member = Member::new(TERMS, disk, known, fresh, id ^ (self.starts << 32), clock);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.member = Some(member);
        }
        self.act(id, |_, _| ());
    }

    fn crash(&mut self, id: Id) {
        self.tell(|| format!("{id} crashes"));
        if let Some(node) = self.nodes.get_mut(&id) {
            if self.host == Host::SaysBeforeItWrites {
                if let Some(before) = self.before.get(&id) {
                    node.disk = before.clone();
                }
            }
            if self.host == Host::KeepsItsLife && node.disk.decided.number > 0 {
                let (id, decided, history) = (node.disk.id, node.disk.decided, node.disk.history.clone());
                node.disk = DurableState { id, decided, history, ..DurableState::default() };
            }
            node.member = None;
        }
    }

    /// An input for one member; what it keeps goes to its disk, what it says into the air. Then all is looked at.
    fn act(&mut self, id: Id, input: impl FnOnce(&mut Member, Duration)) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let clock = node.clock(self.now);
        let Some(member) = &mut node.member else { return };
        input(member, clock);
        loop {
            let wanted = member.take_text_requests();
            if wanted.is_empty() {
                break;
            }
            for (digest, _) in wanted {
                let mut reading = self.texts[&digest].clone();
                if self.unfit.contains(&(id, digest)) {
                    reading.eligibility = Err("another program".into());
                }
                member.text_available(clock, digest, reading);
            }
        }
        if node.disk != *member.durable_state() {
            self.before.insert(id, std::mem::replace(&mut node.disk, member.durable_state().clone()));
        }
        let said = member.take_messages();
        self.flying.extend(said.into_iter().map(|(to, message)| (id, to, message)));
        self.look_at(id);
    }

    /// Who is at work, and under which number it serves now.
    fn serves(&self, id: Id) -> Option<u64> {
        let node = &self.nodes[&id];
        let clock = node.clock(self.now);
        // Guards the check itself: a member that counts its lease from elsewhere is asked by its own clock.
        match node.member.as_ref()?.service_status(clock) {
            ServiceStatus::Allowed(number) => Some(number),
            ServiceStatus::Denied(_) => None,
        }
    }

    fn say_wrong(&mut self, what: String) {
        self.wrong.get_or_insert(what);
    }

    fn look_at(&mut self, id: Id) {
        let disk = self.nodes[&id].disk.clone();
        if let Some((_, digest)) = disk.staged {
            self.truth.staged.insert((id, digest));
        }
        let number = disk.decided.number;
        if let Some((ballot, digest)) = disk.accepted {
            let of = (number + 1, ballot, digest);
            if self.truth.accepted.entry(of).or_default().insert(id) {
                self.look_at_choice(of);
            }
        }
        // A proposer's own voice may be the last one needed: it has learned the number before it kept that it accepted.
        let own = |(of, ballot, text): &(u64, Ballot, Digest)| {
            (*of, ballot.by, *text) == (number, id, disk.decided.digest)
        };
        if !self.truth.chosen.contains_key(&number) {
            if let Some(of) = self.truth.accepted.keys().copied().find(own) {
                self.truth.accepted.entry(of).or_default().insert(id);
                self.look_at_choice(of);
            }
        }
        // One history, never undone.
        let last = self.truth.last.insert(id, number).unwrap_or_default();
        if number < last {
            self.say_wrong(format!("{id} went back from number {last} to {number}"));
        }
        if number > 0 && self.truth.chosen.get(&number).map(|(known, _)| *known) != Some(disk.decided.digest)
        {
            self.say_wrong(format!(
                "{id} has number {number} as {:?}, which was not decided",
                disk.decided.digest
            ));
        }
        self.look_at_service(id);
    }

    /// No old one after a new one.
    fn look_at_service(&mut self, id: Id) {
        let Some(number) = self.serves(id) else { return };
        let newer = self.truth.chosen.range(number + 1..).next().map(|(newer, (_, at))| (*newer, *at));
        if let Some((newer, at)) = newer.filter(|(_, at)| self.now > *at + BOUND) {
            let since = self.now - at;
            self.say_wrong(format!("{id} serves under {number}, {since:?} after {newer} was decided"));
        }
    }

    /// The very step by which a majority has accepted.
    fn look_at_choice(&mut self, of: (u64, Ballot, Digest)) {
        let (number, _, digest) = of;
        let first = || self.texts[&digest].members.voters.clone();
        let voters = self.truth.voters.get(&(number - 1)).cloned().unwrap_or_else(first);
        let accepted = self.truth.accepted[&of].intersection(&voters).count();
        if accepted <= voters.len() / 2 {
            return;
        }
        if let Some((known, _)) = self.truth.chosen.get(&number) {
            if *known != digest {
                self.say_wrong(format!("number {number} was decided twice, as {known:?} and {digest:?}"));
            }
            return;
        }
        self.truth.chosen.insert(number, (digest, self.now));
        self.truth.voters.insert(number, self.texts[&digest].members.voters.clone());
        // Everywhere or nowhere.
        let ids: Vec<Id> = self.nodes.keys().copied().collect();
        for id in ids {
            let unfit = self.unfit.contains(&(id, digest));
            let staged = self.truth.staged.contains(&(id, digest)) && !unfit;
            if let Some(under) = self.serves(id).filter(|under| *under + 1 == number && !staged) {
                self.say_wrong(format!(
                    "number {number} was decided while {id} served under {under}, unstaged"
                ));
            }
        }
    }

    /// A new text for the number after the one that `by` knows.
    fn draft(&mut self, by: Id, of: u64, members: Members) -> Digest {
        let number = self.nodes[&by].disk.decided.number + 1;
        let name = digest(of);
        self.texts.insert(name, CheckedProposal { number, members, eligibility: Ok(()) });
        name
    }

    fn propose(&mut self, by: Id, text: Digest) {
        let Some(reading) = self.reading(by, text) else { return };
        self.act(by, |member, now| {
            member.text_available(now, text, reading);
            // Turned away where another is under way: that is an answer, too.
            let _ = member.propose(now, text);
        });
    }

    fn tell(&self, what: impl FnOnce() -> String) {
        if self.trace {
            eprintln!("{:?} {}", self.now, what());
        }
    }

    fn deliver(&mut self, (from, to, message): (Id, Id, Message)) {
        self.tell(|| format!("{from} to {to}: {message:?}"));
        self.act(to, |member, now| member.receive(now, from, message));
    }

    fn fingerprint(&self, budget: &Budget) -> u64 {
        let mut hasher = DefaultHasher::new();
        let mut flying: Vec<u64> = self
            .flying
            .iter()
            .map(|one| {
                let mut one_hasher = DefaultHasher::new();
                one.hash(&mut one_hasher);
                one_hasher.finish()
            })
            .collect();
        flying.sort_unstable();
        (&self.nodes, flying, self.now, &self.truth, budget).hash(&mut hasher);
        hasher.finish()
    }
}

/// How much may still go wrong in an exploration.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Budget {
    pub doubles: u8,
    pub crashes: u8,
    pub waits: u8,
}

/// All orders of things from a beginning, to a depth. A message that is never taken is one that was lost.
pub struct Exploration {
    pub states: u64,
    seen: HashMap<u64, u8>,
    most: u64,
}

impl Exploration {
    pub fn new(most: u64) -> Self {
        Exploration { states: 0, seen: HashMap::new(), most }
    }

    /// What is wrong, with the steps that led there.
    pub fn explore(&mut self, world: &World, budget: Budget, depth: u8) -> Option<String> {
        if let Some(wrong) = &world.wrong {
            return Some(wrong.clone());
        }
        if depth == 0 || self.states >= self.most {
            return None;
        }
        let known = self.seen.entry(world.fingerprint(&budget)).or_default();
        if *known >= depth {
            return None;
        }
        *known = depth;
        self.states += 1;
        let mut tried = BTreeSet::new();
        for at in 0..world.flying.len() {
            let one = &world.flying[at];
            let mut hasher = DefaultHasher::new();
            one.hash(&mut hasher);
            if !tried.insert(hasher.finish()) {
                continue;
            }
            for doubled in [false, true] {
                if doubled && budget.doubles == 0 {
                    continue;
                }
                let mut next = world.clone();
                let one = if doubled { next.flying[at].clone() } else { next.flying.swap_remove(at) };
                let says = format!("{} to {}: {:?}", one.0, one.1, one.2);
                next.deliver(one);
                let budget = Budget { doubles: budget.doubles - u8::from(doubled), ..budget };
                if let Some(wrong) = self.explore(&next, budget, depth - 1) {
                    return Some(format!("{says}\n{wrong}"));
                }
            }
        }
        let alive: Vec<Id> = world.nodes.keys().copied().collect();
        for &id in &alive {
            let up = world.nodes[&id].member.is_some();
            if up && budget.crashes == 0 {
                continue;
            }
            let mut next = world.clone();
            match up {
                true => next.crash(id),
                false => next.start(id, false),
            }
            let budget = Budget { crashes: budget.crashes - u8::from(up), ..budget };
            if let Some(wrong) = self.explore(&next, budget, depth - 1) {
                return Some(format!("{id} {}\n{wrong}", if up { "crashes" } else { "starts" }));
            }
        }
        if budget.waits > 0 {
            let due = world.nodes.values().filter_map(|n| n.member.as_ref()).map(Member::next_tick).min();
            if let Some(due) = due.filter(|due| *due < Duration::MAX) {
                let mut next = world.clone();
                next.now = next.now.max(due);
                for &id in &alive {
                    next.act(id, |member, now| {
                        if member.next_tick() <= now {
                            member.tick(now);
                        }
                    });
                    next.look_at_service(id);
                }
                let budget = Budget { waits: budget.waits - 1, ..budget };
                if let Some(wrong) = self.explore(&next, budget, depth - 1) {
                    return Some(format!("time goes on to {due:?}\n{wrong}"));
                }
            }
        }
        None
    }
}

/// Delivers all that flies and passes this, again and again.
fn run_until_still(world: &mut World, passes: impl Fn(&(Id, Id, Message)) -> bool) {
    while let Some(at) = world.flying.iter().position(&passes) {
        let one = world.flying.remove(at);
        world.deliver(one);
    }
}

/// Time goes on for one member, which ticks whenever that is due; of what it says, the last words alone are on their way.
fn pass_time(world: &mut World, id: Id, span: Duration) {
    let end = world.now + span;
    while let Some(due) = world.nodes[&id].member.as_ref().map(Member::next_tick).filter(|due| *due <= end) {
        world.now = world.now.max(due);
        world.flying.clear();
        world.act(id, |member, now| member.tick(now));
    }
    world.now = end;
}

/// Three members at rest, and moments in the midst of two proposals, from which all orders are explored.
pub fn beginnings(host: Host) -> Vec<(&'static str, World)> {
    let rest = || {
        let mut world = World::founded(3, 0, 3, host);
        for id in 1..=3 {
            world.act(id, |member, now| member.tick(now));
        }
        run_until_still(&mut world, |_| true);
        world
    };
    let proposed = |both: bool| {
        let mut world = rest();
        for (by, of) in [(1, 100), (2, 200)].into_iter().take(1 + usize::from(both)) {
            let text = world.draft(by, of, members(1..=3, 3));
            world.propose(by, text);
        }
        world
    };
    let (mut found, mut staged, mut half) = (Vec::new(), proposed(false), proposed(false));
    found.push(("two proposals at once", proposed(true)));
    run_until_still(&mut staged, |(.., m)| !matches!(m, Message::Fence { .. }));
    found.push(("all have staged one", staged.clone()));
    let mut second = staged.clone();
    let text = second.draft(2, 200, members(1..=3, 3));
    second.propose(2, text);
    found.push(("all have staged one, and a second is proposed", second));
    run_until_still(&mut staged, |(.., m)| !matches!(m, Message::Accept { .. }));
    found.push(("fenced, and about to be accepted", staged.clone()));
    // The proposer alone has accepted; it dies. The second one comes to find out.
    staged.flying.clear();
    staged.crash(1);
    found.push(("accepted by one, who died", staged.clone()));
    staged.start(1, false);
    found.push(("accepted by one, who is back", staged));
    // The third hears nothing from the beginning on, and serves.
    run_until_still(&mut half, |(_, to, m)| *to != 3 && !matches!(m, Message::Fence { .. }));
    half.flying.retain(|(from, to, _)| *from != 3 && *to != 3);
    pass_time(&mut half, 1, 2_200 * MS);
    found.push(("one of three is cut off and serves", half));
    // A proposal that changes the voters, decided, and another right after it.
    let mut voters = rest();
    let text = voters.draft(1, 100, members([1, 2], 2));
    voters.propose(1, text);
    run_until_still(&mut voters, |(.., m)| !matches!(m, Message::Decided { .. }));
    let text = voters.draft(1, 200, members([1, 2], 2));
    voters.propose(1, text);
    found.push(("a member was taken out, and the next proposal begins", voters));
    // The third has its lease from the first alone, which forgets that it gave one.
    let mut forgets = rest();
    for _ in 0..4 {
        forgets.now += 2_000 * MS;
        for id in 1..=3 {
            forgets.act(id, |member, now| member.tick(now));
        }
        run_until_still(&mut forgets, |(from, to, _)| from.max(to) != &3 || from.min(to) != &2);
        forgets.flying.clear();
    }
    forgets.crash(1);
    forgets.start(1, false);
    let text = forgets.draft(2, 100, members(1..=3, 3));
    forgets.propose(2, text);
    run_until_still(&mut forgets, |(from, to, m)| from.max(to) != &3 && !matches!(m, Message::Fence { .. }));
    pass_time(&mut forgets, 2, 2_200 * MS);
    forgets.flying.retain(|(from, to, _)| from.max(to) != &3);
    found.push(("one is cut off, and who gave it its lease has begun anew", forgets));
    // Other voters than before; one of before, who has learned it, is cut off with the lease of before.
    let mut others = World::founded(5, 0, 3, host);
    for id in 1..=5 {
        others.act(id, |member, now| member.tick(now));
    }
    run_until_still(&mut others, |_| true);
    let changed = Members { voters: (3..=5).collect(), ..members(1..=5, 3) };
    let text = others.draft(1, 100, changed.clone());
    others.propose(1, text);
    run_until_still(&mut others, |(.., m)| !matches!(m, Message::Renew { number: 2, .. }));
    others.flying.clear();
    let text = others.draft(4, 200, changed);
    others.propose(4, text);
    run_until_still(&mut others, |(from, to, m)| *from > 2 && *to > 2 && !matches!(m, Message::Fence { .. }));
    pass_time(&mut others, 4, 2_200 * MS);
    others.flying.retain(|(from, to, _)| *from > 2 && *to > 2);
    found.push(("other voters than before, and one of before is cut off", others));
    found
}

/// What happens at a time in a run by chance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Hear(Id, Id, u64),
    Tick(Id),
    Fault,
    Propose,
    Look,
    Calm,
}

#[derive(Default)]
pub struct Figures {
    pub decided: u64,
    pub nowhere: u64,
    pub messages: u64,
    pub steps: u64,
}

impl Figures {
    #[cfg(not(test))]
    pub fn add(&mut self, other: &Figures) {
        self.decided += other.decided;
        self.nowhere += other.nowhere;
        self.messages += other.messages;
        self.steps += other.steps;
    }
}

/// A run by chance: proposals, changes of members and faults for a minute, then calm, by the end of which all that are
/// left serve under one number.
pub struct Run {
    world: World,
    chance: oorandom::Rand64,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    letters: HashMap<u64, Message>,
    next: u64,
    texts: u64,
    stopped: BTreeMap<Id, Duration>,
    cut: BTreeSet<(Id, Id)>,
    ticks: BTreeMap<Id, Duration>,
    loss: f64,
    calm: bool,
    proposed: Vec<(Id, Digest)>,
    figures: Figures,
}

const FAULTS: Duration = Duration::from_secs(60);
const WHOLE: Duration = Duration::from_secs(150);

impl Run {
    pub fn play(seed: u64, size: usize, host: Host, trace: bool) -> Result<Figures, String> {
        let mut chance = oorandom::Rand64::new(u128::from(seed));
        let voters = size.min(if chance.rand_float() < 0.5 { 3 } else { 5 });
        // One in four begins with the founding.
        let mut world = match seed % 4 {
            3 => World::unfounded(size, host),
            _ => World::founded(size, 2, voters, host),
        };
        world.trace = trace;
        let spread = if host == Host::CountsNoDrift { 200_000 } else { 10_000 };
        for node in world.nodes.values_mut() {
            // Clocks run up to 1% apart each way; a defect of the host is one that runs further.
            node.rate = 1_000_000 - spread + chance.rand_range(0..2 * spread + 1);
        }
        let mut run = Run {
            world,
            loss: [0.0, 0.05, 0.3][chance.rand_range(0..3) as usize],
            chance,
            queue: BinaryHeap::new(),
            letters: HashMap::new(),
            next: 0,
            texts: 1000,
            stopped: BTreeMap::new(),
            cut: BTreeSet::new(),
            ticks: BTreeMap::new(),
            calm: false,
            proposed: Vec::new(),
            figures: Figures::default(),
        };
        run.at(Duration::ZERO, Event::Look);
        run.at(300 * MS, Event::Propose);
        run.at(1500 * MS, Event::Fault);
        run.at(FAULTS, Event::Calm);
        let ids: Vec<Id> = run.world.nodes.keys().copied().collect();
        ids.iter().for_each(|id| run.after(*id));
        run.go()
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, event)));
    }

    fn span(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.chance.rand_range(low..high))
    }

    fn pick(&mut self, of: &[Id]) -> Id {
        of[self.chance.rand_range(0..of.len() as u64) as usize]
    }

    /// What a member has said goes on its way; its next tick is set.
    fn after(&mut self, id: Id) {
        let now = self.world.now;
        for (from, to, message) in std::mem::take(&mut self.world.flying) {
            self.figures.messages += 1;
            let copies = if self.chance.rand_float() < 0.02 { 2 } else { 1 };
            for _ in 0..copies {
                let lost = self.cut.contains(&(from, to)) || self.chance.rand_float() < self.loss;
                if lost && !self.calm {
                    continue;
                }
                let late = !self.calm && self.chance.rand_float() < 0.01;
                let delay = if late { self.span(50, 60_000) } else { self.span(1, 40) };
                let number = self.next;
                self.letters.insert(number, message.clone());
                self.at(now + delay, Event::Hear(from, to, number));
            }
        }
        let node = &self.world.nodes[&id];
        if let Some(member) = &node.member {
            // Its wake is of its own clock, which may be slow: a little later then.
            let next_tick = member.next_tick();
            let left = next_tick.saturating_sub(node.clock(now));
            let due = now + if next_tick == Duration::MAX { WHOLE } else { left + left / 80 + MS };
            if self.ticks.get(&id).is_none_or(|set| due < *set || *set <= now) {
                self.ticks.insert(id, due);
                self.at(due, Event::Tick(id));
            }
        }
    }

    fn go(mut self) -> Result<Figures, String> {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > WHOLE {
                break;
            }
            self.world.now = at;
            self.figures.steps += 1;
            match event {
                Event::Hear(from, to, letter) => self.hear(at, from, to, letter),
                Event::Tick(id) => self.tick(at, id),
                Event::Propose => self.propose(),
                Event::Fault => self.fault(),
                Event::Look => {
                    let ids: Vec<Id> = self.world.nodes.keys().copied().collect();
                    for id in ids.into_iter().filter(|id| !self.stopped.contains_key(id)) {
                        self.world.look_at_service(id);
                    }
                    self.at(at + 100 * MS, Event::Look);
                }
                Event::Calm => {
                    (self.calm, self.cut) = (true, BTreeSet::new());
                    let ids: Vec<Id> = self.world.nodes.keys().copied().collect();
                    for id in ids {
                        self.stopped.remove(&id);
                        if self.world.nodes[&id].member.is_none() {
                            self.world.start(id, false);
                        }
                        self.ticks.remove(&id);
                        self.after(id);
                    }
                }
            }
            if let Some(wrong) = self.world.wrong.take() {
                return Err(wrong);
            }
        }
        self.end()
    }

    fn hear(&mut self, at: Duration, from: Id, to: Id, letter: u64) {
        if let Some(until) = self.stopped.get(&to).copied().filter(|until| at < *until) {
            return self.at(until, Event::Hear(from, to, letter));
        }
        if let Some(message) = self.letters.remove(&letter) {
            if self.world.nodes.contains_key(&to) {
                self.world.deliver((from, to, message));
                self.after(to);
            }
        }
    }

    fn tick(&mut self, at: Duration, id: Id) {
        if self.ticks.get(&id) != Some(&at) {
            return;
        }
        self.ticks.remove(&id);
        if let Some(until) = self.stopped.get(&id).copied().filter(|until| at < *until) {
            self.ticks.insert(id, until);
            return self.at(until, Event::Tick(id));
        }
        self.stopped.remove(&id);
        self.world.act(id, |member, now| member.tick(now));
        self.after(id);
    }

    fn propose(&mut self) {
        let now = self.world.now;
        let wait = self.span(200, 9_000);
        if now + wait < FAULTS {
            self.at(now + wait, Event::Propose);
        }
        let up = |(id, node): (&Id, &Node)| node.member.is_some().then_some(*id);
        let ids: Vec<Id> = self.world.nodes.iter().filter_map(up).collect();
        let ids: Vec<Id> = ids.into_iter().filter(|id| !self.stopped.contains_key(id)).collect();
        if ids.is_empty() {
            return;
        }
        let twice = 1 + usize::from(self.chance.rand_float() < 0.3);
        for _ in 0..twice {
            let by = self.pick(&ids);
            let is = self.world.nodes[&by].member.as_ref().map(|member| member.members().clone());
            let mut is = is.unwrap_or_default();
            if is.all.is_empty() {
                is = members(self.world.nodes.keys().copied(), 5);
            }
            let (count, change) = (is.voters.len(), self.chance.rand_float());
            let outside: Vec<Id> =
                self.world.nodes.keys().copied().filter(|id| !is.all.contains(id)).collect();
            let number = self.world.nodes[&by].disk.decided.number;
            if number > 0 && change < 0.15 && is.all.len() > 3 {
                let all: Vec<Id> = is.all.iter().copied().collect();
                let out = self.pick(&all);
                is.all.remove(&out);
                if is.voters.remove(&out) {
                    let another = is.all.iter().copied().find(|id| !is.voters.contains(id));
                    is.voters.extend(another);
                }
            } else if number > 0 && change < 0.3 && !outside.is_empty() {
                let new = self.pick(&outside);
                is.all.insert(new);
                if count < 3 {
                    is.voters.insert(new);
                }
            }
            self.texts += 1;
            let text = self.world.draft(by, self.texts, is);
            if self.chance.rand_float() < 0.1 {
                let who = self.pick(&ids);
                self.world.unfit.insert((who, text));
            }
            self.world.propose(by, text);
            self.proposed.push((by, text));
            self.after(by);
        }
    }

    fn fault(&mut self) {
        let now = self.world.now;
        let wait = self.span(100, 4_000);
        if now + wait < FAULTS {
            self.at(now + wait, Event::Fault);
        }
        let ids: Vec<Id> = self.world.nodes.keys().copied().collect();
        let (id, kind) = (self.pick(&ids), self.chance.rand_float());
        if kind < 0.3 {
            if self.world.nodes[&id].member.is_some() {
                self.world.crash(id);
            } else {
                self.world.start(id, false);
                self.ticks.remove(&id);
                self.after(id);
            }
        } else if kind < 0.5 {
            let until = now + self.span(100, 20_000);
            if self.world.nodes[&id].member.is_some() {
                self.stopped.insert(id, until);
            }
        } else if kind < 0.9 {
            // One, or a part, cut off from the rest, both ways or one.
            let part: BTreeSet<Id> = match self.chance.rand_float() < 0.5 {
                true => BTreeSet::from([id]),
                false => ids.iter().copied().filter(|_| self.chance.rand_float() < 0.5).collect(),
            };
            let ways = self.chance.rand_range(0..3);
            for &a in &part {
                for &b in ids.iter().filter(|b| !part.contains(b)) {
                    if ways != 0 {
                        self.cut.insert((a, b));
                    }
                    if ways != 1 {
                        self.cut.insert((b, a));
                    }
                }
            }
        } else {
            self.cut.clear();
        }
    }

    /// After the calm: one number, served by all its members that can.
    fn end(mut self) -> Result<Figures, String> {
        let number = self.world.truth.chosen.keys().max().copied().unwrap_or_default();
        self.figures.decided = number;
        if number > 0 {
            let (digest, _) = self.world.truth.chosen[&number];
            for &id in &self.world.texts[&digest].members.all.clone() {
                let able = !self.world.unfit.contains(&(id, digest));
                if able && self.world.serves(id) != Some(number) {
                    let node = &self.world.nodes[&id];
                    let service_status =
                        node.member.as_ref().map(|m| m.service_status(node.clock(self.world.now)));
                    return Err(format!(
                        "{id} does not serve under {number} after the calm: {service_status:?}"
                    ));
                }
            }
        }
        for (by, text) in &self.proposed {
            let member = self.world.nodes[by].member.as_ref();
            match member.and_then(|member| member.outcome(*text)) {
                Some((_, Outcome::NotDecided(_))) => {
                    self.figures.nowhere += 1;
                    if self.world.truth.chosen.values().any(|(chosen, _)| chosen == text) {
                        return Err(format!("{by} says nowhere of {text:?}, which was decided"));
                    }
                }
                Some((number, Outcome::Decided { .. })) => {
                    if self.world.truth.chosen.get(&number).map(|(chosen, _)| chosen) != Some(text) {
                        return Err(format!("{by} says decided of {text:?}, which was not"));
                    }
                }
                Some((_, Outcome::InProgress)) => return Err(format!("{by} has no outcome of {text:?}")),
                Some((_, Outcome::Unknown)) | None => {}
            }
        }
        Ok(self.figures)
    }
}
