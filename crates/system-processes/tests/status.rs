//! Whole controllers over loopback: their answers to operators, together, alone and without a majority.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tindock_system_processes::settings::Settings;
use tindock_system_processes::status::{command, run, ControlStatus};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Limit for a condition to be reached.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const HOSTS: [u8; 3] = [21, 22, 23];

fn configuration(revision: u64) -> String {
    format!("{{\"revision\":{revision},\"routes\":[],\"services\":[]}}")
}

/// A controller on a thread of its own; dropping it stops the controller without a shutdown, as SIGKILL does.
struct Controller {
    at: SocketAddr,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Controller {
    fn start(settings: Settings) -> Controller {
        let at = settings.bindings.control_plane.unwrap();
        let (stop, stopped) = tokio::sync::oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            let program = async {
                tokio::select! {
                    ended = tindock_system_processes::controller::run(settings) => panic!("{ended:?}"),
                    _ = stopped => {}
                }
            };
            tokio::task::LocalSet::new().block_on(&runtime, program);
        });
        Controller { at, stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.stop.take().map(|stop| stop.send(()));
        let ended = self.thread.take().map(|thread| thread.join());
        assert!(ended.is_none_or(|ended| ended.is_ok()) || std::thread::panicking());
    }
}

/// A new directory, removed when this is dropped.
struct Directories(PathBuf);

impl Directories {
    fn new(name: &str) -> Directories {
        let folder = std::env::temp_dir().join(format!("tindock-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Directories(folder)
    }
}

impl Drop for Directories {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Ports that are free on all addresses now: for peers, and for operators.
async fn free_ports() -> (u16, u16) {
    for _ in 0..100 {
        let first = TcpListener::bind((Ipv4Addr::new(127, 0, 0, HOSTS[0]), 0)).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let mut all = Vec::new();
        for n in HOSTS {
            for port in [port, port.saturating_add(3)] {
                all.push(TcpListener::bind((Ipv4Addr::new(127, 0, 0, n), port)).await.is_ok());
            }
        }
        // The first port on the first address is in use by `first` itself.
        if all.iter().filter(|free| !**free).count() == 1 && port < 65_000 {
            return (port, port + 3);
        }
    }
    panic!("no free ports");
}

async fn settings(directories: &Directories, more: &str) -> Vec<Settings> {
    let (peer, control) = free_ports().await;
    let seeds = HOSTS.map(|n| format!("\"127.0.0.{n}:{control}\"")).join(",");
    let text = |n: u8| {
        let disk = directories.0.join(n.to_string());
        std::fs::create_dir_all(&disk).unwrap();
        format!(
            "node_name = \"core-{n}\"\nip_address = \"127.0.0.{n}\"\nzone = \"a\"\nregion = \"r\"\n\
             ephemeral_ports = [{peer}, {}]\nseed_peers = [{seeds}]\ninitial_boot = true\n\
             data_directory = {disk:?}\n{more}[bindings]\ncontrol_plane = \"127.0.0.{n}:{control}\"\n",
            peer + 2
        )
    };
    HOSTS.iter().map(|n| Settings::read(&text(*n)).unwrap()).collect()
}

/// The output of `tindock status`.
async fn printed(arguments: &[&str]) -> Result<String, String> {
    let arguments: Vec<String> =
        std::iter::once("status").chain(arguments.iter().copied()).map(str::to_string).collect();
    let command_line = move || run(&command().try_get_matches_from(arguments).map_err(|e| e.to_string())?);
    tokio::task::spawn_blocking(command_line).await.unwrap()
}

async fn status(at: SocketAddr) -> Result<ControlStatus, String> {
    let text = printed(&[&at.to_string(), "--json"]).await?;
    nanoserde::DeJson::deserialize_json(&text).map_err(|e| e.to_string())
}

/// Polls the status until it meets the condition, and returns it.
async fn wait_until(at: SocketAddr, condition: impl Fn(&ControlStatus) -> bool) -> ControlStatus {
    let began = Instant::now();
    loop {
        let reported = status(at).await;
        match reported {
            Ok(reported) if condition(&reported) => return reported,
            reported => assert!(began.elapsed() < TEST_TIMEOUT, "{reported:?}"),
        }
    }
}

/// The answer, with its head, to a call on a connection of its own.
async fn call(at: SocketAddr, method: &str, name: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(at).await.unwrap();
    let head = format!(
        "{method} /v1/Configuration.{name} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).await.unwrap();
    let mut all = String::new();
    stream.read_to_string(&mut all).await.unwrap();
    all
}

fn settled(reported: &ControlStatus) -> bool {
    let voting = reported.members.iter().filter(|member| member.role == "voting").count();
    reported.in_touch && reported.holder.is_some() && voting == HOSTS.len()
}

#[tokio::test]
async fn the_status_has_voters_lease_holder_and_members_that_are_behind() {
    let directories = Directories::new("status");
    let mut controllers: Vec<Controller> =
        settings(&directories, "").await.into_iter().map(Controller::start).collect();
    let at: Vec<SocketAddr> = controllers.iter().map(|controller| controller.at).collect();
    for at in &at {
        let reported = wait_until(*at, settled).await;
        assert!(reported.ready && reported.voting && reported.in_force.revision == 0, "{reported:?}");
    }
    let text = printed(&[&at[0].to_string()]).await.unwrap();
    assert!(text.starts_with("core-21 at 127.0.0.21:") && text.contains("configuration: none\n"), "{text}");

    let taken = call(at[0], "POST", "Replace", &configuration(7)).await;
    assert!(taken.starts_with("HTTP/1.1 200 ") && taken.contains("\"revision\":7"), "{taken}");
    assert!(taken.contains("\"superseded\":false"), "{taken}");
    let digest = tindock_system_processes::operator::digest_text(tindock_control_store::digest(
        configuration(7).as_bytes(),
    ));
    assert!(taken.contains(&digest), "{taken}");
    for at in &at {
        let reported =
            wait_until(*at, |reported| reported.members.iter().all(|m| m.saved.revision == 7)).await;
        assert_eq!((reported.in_force.revision, reported.in_force.digest.as_str()), (7, digest.as_str()));
        assert!(reported.members.iter().all(|member| !member.behind), "{reported:?}");
    }
    // The same revision again, and an older one, at other controllers.
    let again = call(at[1], "POST", "Replace", &configuration(7)).await;
    assert!(again.starts_with("HTTP/1.1 200 ") && again.contains("\"superseded\":false"), "{again}");
    let older = call(at[2], "POST", "Replace", &configuration(3)).await;
    assert!(older.starts_with("HTTP/1.1 200 ") && older.contains("\"superseded\":true"), "{older}");
    assert!(older.contains("\"revision\":7") && older.contains(&digest), "{older}");

    // One is stopped: the others go on, and report it as silent.
    drop(controllers.pop());
    wait_until(at[0], |reported| reported.members.iter().any(|member| member.role == "silent")).await;
    let taken = call(at[0], "POST", "Replace", &configuration(8)).await;
    assert!(taken.starts_with("HTTP/1.1 200 "), "{taken}");
    let reported = wait_until(at[0], |reported| reported.in_force.revision == 8).await;
    let behind: Vec<&str> =
        reported.members.iter().filter(|m| m.behind).map(|member| member.address.as_str()).collect();
    assert_eq!(behind.len(), 1, "{reported:?}");
    assert!(behind[0].starts_with("127.0.0.23:"), "{reported:?}");
    let text = printed(&[&at[0].to_string()]).await.unwrap();
    assert!(text.contains("silent") && text.contains("behind"), "{text}");

    // The majority is lost: calls are refused at once, with a retry time and other addresses.
    drop(controllers.pop());
    // The addresses in the refusal list silent members first, in the order of addresses: both have to be
    // silent.
    wait_until(at[0], |reported| {
        !reported.in_touch && reported.members.iter().filter(|m| m.role == "silent").count() == 2
    })
    .await;
    let text = printed(&[&at[0].to_string()]).await.unwrap();
    assert!(text.contains("cut off: no majority is in touch"), "{text}");
    for (method, name, body) in [("POST", "Replace", configuration(9)), ("GET", "Show", String::new())] {
        let began = Instant::now();
        let answer = call(at[0], method, name, &body).await;
        assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
        assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("Retry-After: 0."), "{answer}");
        let ask = format!("\"ask\":[\"{}\",\"{}\"]", at[1], at[2]);
        assert!(answer.contains("no majority in touch") && answer.contains(&ask), "{answer}");
    }
    let reported = status(at[0]).await.unwrap();
    assert_eq!(reported.in_force.revision, 8, "a configuration refused with 503 was stored: {reported:?}");
}

#[tokio::test]
async fn a_controller_that_never_had_a_majority_reports_that_it_is_not_ready() {
    let directories = Directories::new("status-alone");
    let first = settings(&directories, "config_mode = \"newest\"\n").await.remove(0);
    let controller = Controller::start(first);
    let reported = wait_until(controller.at, |_| true).await;
    assert!(!reported.ready && !reported.in_touch && reported.holder.is_none(), "{reported:?}");
    let answer = call(controller.at, "POST", "Replace", &configuration(1)).await;
    assert!(answer.starts_with("HTTP/1.1 503 ") && answer.contains("not ready yet"), "{answer}");
    let text = printed(&[&controller.at.to_string()]).await.unwrap();
    assert!(text.contains("not ready") && text.contains("lease: no holder is known"), "{text}");
}

#[test]
fn mode_and_conflict_answer_are_read_from_the_settings() {
    use tindock_system_processes::settings::{ConfigMode, ConflictAnswer};
    let base = "node_name = \"core-1\"\nip_address = \"10.0.0.1\"\nzone = \"a\"\nregion = \"r\"\n\
                ephemeral_ports = [7300, 7310]\n";
    let read = |more: &str| Settings::read(&format!("{base}{more}"));
    assert_eq!(read("").unwrap().config_mode(), (ConfigMode::Highest, None));
    assert_eq!(read("config_mode = \"highest\"\n").unwrap().config_mode(), (ConfigMode::Highest, None));
    let unknown = read("config_mode = \"newest\"\n").unwrap();
    assert_eq!(unknown.config_mode(), (ConfigMode::Highest, Some("newest")));
    assert_eq!(read("").unwrap().operators.conflict, ConflictAnswer::Refuse);
    let set = read("[operators]\nconflict = \"acknowledge\"\n").unwrap();
    assert_eq!(set.operators.conflict, ConflictAnswer::Acknowledge);
    assert!(read("[operators]\nconflict = \"perhaps\"\n").is_err());
}
