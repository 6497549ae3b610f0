//! The load: users that keep connections and use them until they are closed, requests of several kinds that come by chance
//! whether earlier ones are answered or not, and further tries as the protocol lets clients have them.

use crate::connection::{Behaviour, Connection, Ending, Outgoing, SECOND_HALF_AFTER};
use crate::record::{Attempt, AttemptEnd};
use crate::scenario::Scenario;
use oorandom::Rand64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tindock_standins::clients::{Class, ProxySelector};
use tindock_standins::ledger::Ledger;
use tindock_standins::wire::hash;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Tries of one request.
const TRIES: usize = 4;
/// Between tries where no time was stated.
const PAUSE: Duration = Duration::from_millis(40);
/// A connection that has rested for longer is not used again: the proxy may be about to close it.
const MAX_REST: Duration = Duration::from_secs(12);
/// How often a request uses a kept connection where its user has one.
const KEEPS: f64 = 0.8;
/// How often a client sends its body slowly, reads its answer late, or hangs up midway.
const SLOW_BODY: f64 = 0.05;
const READS_LATE: f64 = 0.05;
const LEAVES: f64 = 0.05;
const LEAVES_AFTER_MS: [f64; 2] = [10.0, 600.0];

/// What all users have in common.
pub struct Load {
    pub entry: ProxySelector,
    pub ledger: Ledger,
    pub classes: Vec<Class>,
    pub zones: Vec<String>,
    pub start: Instant,
}

struct User {
    zone: String,
    hash: u64,
    /// Connections at rest, and since when.
    kept: Mutex<Vec<(Connection, Instant)>>,
}

/// A request, with how its client behaves in its first try.
struct Request {
    number: u64,
    class: usize,
    user: usize,
    keeps: bool,
    behaviour: Behaviour,
}

impl User {
    fn kept(&self) -> MutexGuard<'_, Vec<(Connection, Instant)>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Option<Connection> {
        let mut kept = self.kept();
        while let Some((connection, since)) = kept.pop() {
            if since.elapsed() < MAX_REST && !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}

/// Plays the load of a scenario: all tries, in the order in which they were sent.
pub async fn play(load: Arc<Load>, scenario: &Scenario) -> Vec<Attempt> {
    let mut chance = Rand64::new(u128::from(scenario.seed) ^ 0x10ad);
    let user = |n: usize| User {
        zone: load.zones.get(n % load.zones.len().max(1)).cloned().unwrap_or_default(),
        hash: hash(&[&n.to_le_bytes()]),
        kept: Mutex::new(Vec::new()),
    };
    let users: Arc<Vec<User>> = Arc::new((0..scenario.clients).map(user).collect());
    let (mut open, mut attempts) = (JoinSet::new(), Vec::new());
    let mut at = Duration::ZERO;
    for number in 0.. {
        let gap_s = -(1.0 - chance.rand_float()).ln() / scenario.rate;
        at += Duration::from_secs_f64(gap_s.min(60.0));
        if at >= scenario.length() {
            break;
        }
        let request = draw(&mut chance, number, &load.classes, users.len());
        sleep_until(load.start + at).await;
        while let Some(ended) = open.try_join_next() {
            attempts.extend(ended.unwrap_or_default());
        }
        let (load, users) = (load.clone(), users.clone());
        open.spawn(async move { run(&load, &users[request.user], request).await });
    }
    while let Some(ended) = open.join_next().await {
        attempts.extend(ended.unwrap_or_default());
    }
    attempts.sort_by_key(|tried| tried.sent);
    attempts
}

fn draw(chance: &mut Rand64, number: u64, classes: &[Class], users: usize) -> Request {
    let all: f64 = classes.iter().map(|class| class.share).sum();
    let mut left = chance.rand_float() * all;
    let class = classes.iter().position(|class| {
        left -= class.share;
        left < 0.0
    });
    let class = class.unwrap_or(0);
    let user = chance.rand_range(0..users as u64) as usize;
    let keeps = chance.rand_float() < KEEPS;
    let (drawn, after) = (chance.rand_float(), chance.rand_float());
    let [least, most] = LEAVES_AFTER_MS;
    let behaviour = if drawn < SLOW_BODY {
        Behaviour::SlowBody
    } else if drawn < SLOW_BODY + READS_LATE {
        Behaviour::SlowRead
    } else if drawn < SLOW_BODY + READS_LATE + LEAVES {
        Behaviour::ClosesEarly(Duration::from_secs_f64((least + (most - least) * after) / 1000.0))
    } else {
        Behaviour::Normal
    };
    Request { number, class, user, keeps, behaviour }
}

/// A request with its further tries.
async fn run(load: &Load, user: &User, request: Request) -> Vec<Attempt> {
    let class = &load.classes[request.class];
    let until = Instant::now() + class.deadline;
    let mut attempts = Vec::new();
    for turn in 0..TRIES {
        let behaviour = if turn == 0 { request.behaviour } else { Behaviour::Normal };
        let kept = if turn == 0 && request.keeps { user.take() } else { None };
        let Some((tried, pause)) = attempt(load, user, &request, class, turn, kept, behaviour, until).await
        else {
            return attempts;
        };
        let again = is_tried_again(class, tried.end);
        attempts.push(tried);
        if !again || Instant::now() + pause >= until {
            return attempts;
        }
        sleep(pause).await;
    }
    attempts
}

/// Whether the protocol lets a client try again.
fn is_tried_again(class: &Class, end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answered { status: 408 | 421 | 429 | 503, .. }
        | AttemptEnd::Reset
        | AttemptEnd::NotConnected => true,
        AttemptEnd::Answered { status, .. } => class.repeatable && status >= 500,
        AttemptEnd::ClosedUnanswered | AttemptEnd::Truncated | AttemptEnd::Malformed => class.repeatable,
        AttemptEnd::DeadlinePassed | AttemptEnd::ClientClosed => false,
    }
}

/// One try, and the pause after it; none where there is no proxy at all.
#[allow(clippy::too_many_arguments)]
async fn attempt(
    load: &Load,
    user: &User,
    request: &Request,
    class: &Class,
    turn: usize,
    kept: Option<Connection>,
    behaviour: Behaviour,
    until: Instant,
) -> Option<(Attempt, Duration)> {
    let attempt_id = format!("{:010x}{turn:02x}", request.number);
    let deadline = until.saturating_duration_since(Instant::now());
    let to = match &kept {
        Some(connection) => connection.to,
        None => load.entry.pick(&user.zone, user.hash, turn)?,
    };
    let sent = Instant::now();
    let mut tried = Attempt {
        attempt_id,
        class: class.name.clone(),
        repeatable: class.repeatable,
        to,
        opened: sent.saturating_duration_since(load.start),
        sent: sent.saturating_duration_since(load.start),
        last_byte: Duration::ZERO,
        ended: Duration::ZERO,
        deadline: until.saturating_duration_since(load.start),
        ran: false,
        end: AttemptEnd::NotConnected,
    };
    let connection = match kept {
        Some(connection) => Some(connection),
        None => Connection::open(to).await,
    };
    let Some(mut connection) = connection else {
        tried.ended = load.start.elapsed();
        return Some((tried, PAUSE));
    };
    tried.opened = connection.opened.saturating_duration_since(load.start);
    tried.sent = load.start.elapsed();
    let sends_for = if behaviour == Behaviour::SlowBody { SECOND_HALF_AFTER } else { Duration::ZERO };
    tried.last_byte = tried.sent + sends_for;
    let target = format!("{}{:x}", class.path, request.number);
    let body = vec![b'a'; class.body_bytes];
    let outgoing = Outgoing {
        class,
        request: request.number,
        attempt_id: &tried.attempt_id,
        target: &target,
        body: &body,
        deadline,
        behaviour,
    };
    let ending = connection.send(&load.ledger, outgoing).await;
    tried.ended = load.start.elapsed();
    if Connection::stays(&ending) {
        user.kept().push((connection, Instant::now()));
    }
    let pause = match &ending {
        Ending::Answered(answer) => answer.headers.retry_after().unwrap_or(PAUSE),
        _ => PAUSE,
    };
    tried.end = end_of(&ending);
    tried.ran = load.ledger.has_run(&tried.attempt_id);
    Some((tried, pause))
}

fn end_of(ending: &Ending) -> AttemptEnd {
    match ending {
        Ending::Answered(answer) => AttemptEnd::Answered {
            status: answer.status,
            retry_after: answer.headers.retry_after().is_some(),
        },
        Ending::ClosedUnanswered => AttemptEnd::ClosedUnanswered,
        Ending::Truncated => AttemptEnd::Truncated,
        Ending::Reset => AttemptEnd::Reset,
        Ending::Malformed => AttemptEnd::Malformed,
        Ending::DeadlinePassed => AttemptEnd::DeadlinePassed,
        Ending::ClientClosed => AttemptEnd::ClientClosed,
    }
}
