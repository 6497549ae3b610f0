//! The load: users that reuse connections until they are closed, requests of several classes that arrive at
//! random whether earlier ones are answered or not, and further attempts as the protocol permits them.

use crate::connection::{Behaviour, Connection, Ending, Outgoing, SECOND_HALF_DELAY};
use crate::record::{Attempt, AttemptEnd};
use crate::scenario::Scenario;
use oorandom::Rand64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tindock_mock_services::clients::{Class, ProxySelector};
use tindock_mock_services::ledger::Ledger;
use tindock_mock_services::wire::hash;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Attempts of one request.
const MAX_ATTEMPTS: usize = 4;
/// Between attempts where the response has no `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// A connection that has been idle for longer is not reused: the proxy may be about to close it.
const MAX_IDLE: Duration = Duration::from_secs(12);
/// Probability that a request reuses an idle connection of its user if there is one.
const REUSE_PROBABILITY: f64 = 0.8;
/// Probabilities that a client sends its request slowly, reads its response late, or closes early.
const SLOW_BODY_PROBABILITY: f64 = 0.05;
const SLOW_READ_PROBABILITY: f64 = 0.05;
const EARLY_CLOSE_PROBABILITY: f64 = 0.05;
const EARLY_CLOSE_AFTER_MS: [f64; 2] = [10.0, 600.0];

/// Shared by all users.
pub struct Load {
    pub selector: ProxySelector,
    pub ledger: Ledger,
    pub classes: Vec<Class>,
    pub zones: Vec<String>,
    pub start: Instant,
}

struct User {
    zone: String,
    hash: u64,
    /// Idle connections, and since when.
    idle: Mutex<Vec<(Connection, Instant)>>,
}

/// A request, and how its client behaves in its first attempt.
struct Request {
    number: u64,
    class: usize,
    user: usize,
    reuse: bool,
    behaviour: Behaviour,
}

impl User {
    fn idle(&self) -> MutexGuard<'_, Vec<(Connection, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some((connection, since)) = idle.pop() {
            if since.elapsed() < MAX_IDLE && !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}

/// Plays the load of a scenario. Returns all attempts, in the order in which they were sent.
pub async fn play(load: Arc<Load>, scenario: &Scenario) -> Vec<Attempt> {
    let mut rng = Rand64::new(u128::from(scenario.seed) ^ 0x10ad);
    let user = |n: usize| User {
        zone: load.zones.get(n % load.zones.len().max(1)).cloned().unwrap_or_default(),
        hash: hash(&[&n.to_le_bytes()]),
        idle: Mutex::new(Vec::new()),
    };
    let users: Arc<Vec<User>> = Arc::new((0..scenario.clients).map(user).collect());
    let (mut open, mut attempts) = (JoinSet::new(), Vec::new());
    let mut at = Duration::ZERO;
    for number in 0.. {
        let gap_s = -(1.0 - rng.rand_float()).ln() / scenario.rate;
        at += Duration::from_secs_f64(gap_s.min(60.0));
        if at >= scenario.duration() {
            break;
        }
        let request = sample_request(&mut rng, number, &load.classes, users.len());
        sleep_until(load.start + at).await;
        while let Some(ended) = open.try_join_next() {
            attempts.extend(ended.unwrap_or_default());
        }
        let (load, users) = (load.clone(), users.clone());
        open.spawn(async move { send_request(&load, &users[request.user], request).await });
    }
    while let Some(ended) = open.join_next().await {
        attempts.extend(ended.unwrap_or_default());
    }
    attempts.sort_by_key(|attempt_record| attempt_record.sent);
    attempts
}

fn sample_request(rng: &mut Rand64, number: u64, classes: &[Class], users: usize) -> Request {
    let all: f64 = classes.iter().map(|class| class.share).sum();
    let mut left = rng.rand_float() * all;
    let class = classes.iter().position(|class| {
        left -= class.share;
        left < 0.0
    });
    let class = class.unwrap_or(0);
    let user = rng.rand_range(0..users as u64) as usize;
    let reuse = rng.rand_float() < REUSE_PROBABILITY;
    let (sampled, after) = (rng.rand_float(), rng.rand_float());
    let [min, max] = EARLY_CLOSE_AFTER_MS;
    let behaviour = if sampled < SLOW_BODY_PROBABILITY {
        Behaviour::SlowBody
    } else if sampled < SLOW_BODY_PROBABILITY + SLOW_READ_PROBABILITY {
        Behaviour::SlowRead
    } else if sampled < SLOW_BODY_PROBABILITY + SLOW_READ_PROBABILITY + EARLY_CLOSE_PROBABILITY {
        Behaviour::ClosesEarly(Duration::from_secs_f64((min + (max - min) * after) / 1000.0))
    } else {
        Behaviour::Normal
    };
    Request { number, class, user, reuse, behaviour }
}

/// Sends a request and repeats it as the protocol permits.
async fn send_request(load: &Load, user: &User, request: Request) -> Vec<Attempt> {
    let class = &load.classes[request.class];
    let until = Instant::now() + class.deadline;
    let mut attempts = Vec::new();
    for attempt_number in 0..MAX_ATTEMPTS {
        let behaviour = if attempt_number == 0 { request.behaviour } else { Behaviour::Normal };
        let idle = if attempt_number == 0 && request.reuse { user.take() } else { None };
        let Some((attempt_record, delay)) =
            send_attempt(load, user, &request, class, attempt_number, idle, behaviour, until).await
        else {
            return attempts;
        };
        let is_repeated = may_be_repeated(class, attempt_record.end);
        attempts.push(attempt_record);
        if !is_repeated || Instant::now() + delay >= until {
            return attempts;
        }
        sleep(delay).await;
    }
    attempts
}

/// Whether the protocol permits a further attempt.
fn may_be_repeated(class: &Class, end: AttemptEnd) -> bool {
    match end {
        AttemptEnd::Answered { status: 408 | 421 | 429 | 503, .. }
        | AttemptEnd::Reset
        | AttemptEnd::NotConnected => true,
        AttemptEnd::Answered { status, .. } => class.repeatable && status >= 500,
        AttemptEnd::ClosedUnanswered | AttemptEnd::Truncated | AttemptEnd::Malformed => class.repeatable,
        AttemptEnd::DeadlinePassed | AttemptEnd::ClientClosed => false,
    }
}

/// Sends one attempt. Returns it with the delay before the next one; None if there is no proxy.
#[allow(clippy::too_many_arguments)]
async fn send_attempt(
    load: &Load,
    user: &User,
    request: &Request,
    class: &Class,
    attempt_number: usize,
    idle: Option<Connection>,
    behaviour: Behaviour,
    until: Instant,
) -> Option<(Attempt, Duration)> {
    let attempt_id = format!("{:010x}{attempt_number:02x}", request.number);
    let deadline = until.saturating_duration_since(Instant::now());
    let to = match &idle {
        Some(connection) => connection.to,
        None => load.selector.pick(&user.zone, user.hash, attempt_number)?,
    };
    let sent = Instant::now();
    let mut attempt_record = Attempt {
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
    let connection = match idle {
        Some(connection) => Some(connection),
        None => Connection::open(to).await,
    };
    let Some(mut connection) = connection else {
        attempt_record.ended = load.start.elapsed();
        return Some((attempt_record, RETRY_DELAY));
    };
    attempt_record.opened = connection.opened.saturating_duration_since(load.start);
    attempt_record.sent = load.start.elapsed();
    let sends_for = if behaviour == Behaviour::SlowBody { SECOND_HALF_DELAY } else { Duration::ZERO };
    attempt_record.last_byte = attempt_record.sent + sends_for;
    let target = format!("{}{:x}", class.path, request.number);
    let body = vec![b'a'; class.body_bytes];
    let outgoing = Outgoing {
        class,
        request: request.number,
        attempt_id: &attempt_record.attempt_id,
        target: &target,
        body: &body,
        deadline,
        behaviour,
    };
    let ending = connection.send(&load.ledger, outgoing).await;
    attempt_record.ended = load.start.elapsed();
    if Connection::can_be_reused(&ending) {
        user.idle().push((connection, Instant::now()));
    }
    let delay = match &ending {
        Ending::Answered(response) => response.headers.retry_after().unwrap_or(RETRY_DELAY),
        _ => RETRY_DELAY,
    };
    attempt_record.end = end_of(&ending);
    attempt_record.ran = load.ledger.has_run(&attempt_record.attempt_id);
    Some((attempt_record, delay))
}

fn end_of(ending: &Ending) -> AttemptEnd {
    match ending {
        Ending::Answered(response) => AttemptEnd::Answered {
            status: response.status,
            retry_after: response.headers.retry_after().is_some(),
        },
        Ending::ClosedUnanswered => AttemptEnd::ClosedUnanswered,
        Ending::Truncated => AttemptEnd::Truncated,
        Ending::Reset => AttemptEnd::Reset,
        Ending::Malformed => AttemptEnd::Malformed,
        Ending::DeadlinePassed => AttemptEnd::DeadlinePassed,
        Ending::ClientClosed => AttemptEnd::ClientClosed,
    }
}
