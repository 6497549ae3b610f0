//! The inventory watch on real files, in a folder for each test; the time is passed in.

#[path = "../../inventory/tests/cases/mod.rs"]
mod cases;

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tindock_inventory::{Columns, InputFormat};
use tindock_scheduler::list::inventory_watch::{accept_file, InventoryEvent, InventoryWatch};
use tindock_scheduler_config::InventorySettings;

struct Fixture {
    folder: PathBuf,
    watch: InventoryWatch,
    now: Duration,
}

fn row(n: usize) -> String {
    format!("yard-{n:03},10.0.{}.{}:{},north,std,16\n", n / 100, n % 100, 5000 + n)
}

fn csv(workers: impl Iterator<Item = usize>) -> String {
    format!("name,address,zone,kind,slots\n{}", workers.map(row).collect::<String>())
}

impl Fixture {
    fn new(name: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("inventory-watch-{name}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(folder.join("inventory")).expect("a folder");
        let watch = InventoryWatch::new(Self::settings(&folder), folder.clone());
        Fixture { folder, watch, now: Duration::from_secs(1) }
    }

    fn settings(folder: &Path) -> InventorySettings {
        InventorySettings {
            files: vec![folder.join("inventory")],
            columns: Columns::default(),
            fixed: Vec::new(),
            guard_share: 0.2,
            confirm_after: Duration::from_secs(60),
            health: None,
            last_good: Some(folder.join("last-good.csv")),
        }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.join("inventory").join(name)
    }

    fn write(&self, name: &str, text: impl AsRef<[u8]>) {
        fs::write(self.file(name), text).expect("a file");
    }

    /// One poll, 0.2 s after the previous one: the lines that it reports.
    fn poll(&mut self) -> Vec<String> {
        self.now += Duration::from_millis(200);
        let events = self.watch.poll(self.now);
        let line = |events| match events {
            InventoryEvent::Problem(line) => Some(line),
            InventoryEvent::Note(line) => Some(line),
            InventoryEvent::Changes(_) => None,
        };
        events.into_iter().filter_map(line).collect()
    }

    /// Polls until the writing counts as finished.
    fn settle(&mut self) -> String {
        (0..3).flat_map(|_| self.poll()).collect::<Vec<_>>().join("; ")
    }

    fn names(&self) -> Vec<&str> {
        self.watch.in_force().entries.iter().map(|e| e.name.as_str()).collect()
    }

    fn with_workers(name: &str, workers: usize) -> Self {
        let mut fixture = Fixture::new(name);
        fixture.write("yard.csv", csv(0..workers));
        fixture.settle();
        assert_eq!(fixture.names().len(), workers);
        fixture
    }
}

/// Guards against an invalid file that changes the list: each is rejected with its line, whatever is beside
/// it.
#[test]
fn invalid_files_leave_the_last_good_list_in_force() {
    let mut fixture = Fixture::with_workers("odd", 8);
    for (number, case) in cases::all().into_iter().enumerate() {
        let name = if case.form == InputFormat::Csv { "a.csv" } else { "a.yaml" };
        fixture.write(name, &case.bytes);
        let events = fixture.settle();
        let line = case.at.split(':').next().unwrap_or_default();
        let place = format!("{}:{line}", fixture.file(name).display());
        assert!(
            events.contains(&place) && events.contains(case.message.split(" f:").next().unwrap_or_default()),
            "case {number}: {events:?} lacks {place:?} and {:?}",
            case.message
        );
        assert_eq!(fixture.names().len(), 8, "case {number}");
        fs::remove_file(fixture.file(name)).expect("the file");
        fixture.settle();
    }
}

/// Guards against reading a half-written file: cut anywhere, it is rejected, or the guard limits the
/// removals.
#[test]
fn truncated_file_never_shrinks_the_list_silently() {
    let mut fixture = Fixture::with_workers("cut", 200);
    let whole = csv(0..200);
    let (mut released, mut held) = (0, 0);
    // Each line's end and its neighbours, and one byte within each line.
    let ends: Vec<usize> = whole.match_indices('\n').map(|(at, _)| at).collect();
    for at in ends.into_iter().flat_map(|end| [end - 7, end, end + 1]) {
        fixture.write("yard.csv", &whole.as_bytes()[..at]);
        let events = fixture.settle();
        let left = fixture.names().len();
        let named = whole[..at].matches('\n').count().saturating_sub(1);
        if left < 200 {
            assert!(left == named && left >= 160, "{left} of 200 after a cut at {at}");
            released += 1;
            fixture.write("yard.csv", &whole);
            fixture.settle();
        } else if events.contains("held back") {
            held += 1;
        } else {
            assert!(
                events.contains("yard.csv:") || named == 200 || events.is_empty(),
                "cut at {at}: {events}"
            );
        }
        assert_eq!(fixture.names().len(), 200);
    }
    assert!(released == 40 && held > 100, "{released} applied, {held} held back");
}

/// Guards against reading a file while it is written: nothing is read until two polls agree.
#[test]
fn files_being_written_in_place_are_not_read() {
    let mut fixture = Fixture::with_workers("in-place", 5);
    for workers in 5..12 {
        fixture.write("yard.csv", csv(0..workers));
        assert_eq!(fixture.poll(), [""; 0], "still being written");
    }
    assert_eq!(fixture.names().len(), 5);
    assert!(fixture.settle().contains("11 workers, 6 of them new"));
}

#[test]
fn renamed_files_and_swapped_links_are_detected() {
    let mut fixture = Fixture::with_workers("rename", 5);
    fs::write(fixture.folder.join("new"), csv(0..6)).expect("a file");
    fs::rename(fixture.folder.join("new"), fixture.file("yard.csv")).expect("a rename");
    fixture.settle();
    assert_eq!(fixture.names().len(), 6);
    // As version-managing tools do: the file in the folder is a link.
    for (version, workers) in [("v1", 7), ("v2", 8)] {
        fs::write(fixture.folder.join(version), csv(0..workers)).expect("a version");
        std::os::unix::fs::symlink(fixture.folder.join(version), fixture.folder.join("link"))
            .expect("a link");
        fs::rename(fixture.folder.join("link"), fixture.file("yard.csv")).expect("a swap");
        fixture.settle();
        assert_eq!(fixture.names().len(), workers);
    }
}

#[test]
fn missing_folder_leaves_the_list_unchanged() {
    let mut fixture = Fixture::with_workers("vanish", 5);
    let (there, away) = (fixture.folder.join("inventory"), fixture.folder.join("away"));
    fs::rename(&there, &away).expect("a move");
    assert!(fixture.settle().contains("No such file"));
    assert_eq!((fixture.settle(), fixture.names().len()), (String::new(), 5));
    fs::create_dir(&there).expect("a folder");
    assert!(fixture.settle().contains("holds no file in .csv"));
    fs::remove_dir(&there).expect("empty");
    fs::rename(&away, &there).expect("a move");
    assert_eq!(fixture.settle(), "", "it says what is in force");
    fixture.write("yard.csv", csv(0..6));
    fixture.settle();
    assert_eq!(fixture.names().len(), 6);
}

/// Guards against missed changes when the clock steps back or a file system stores whole seconds.
#[test]
fn files_with_older_or_equal_times_are_reread() {
    let mut fixture = Fixture::with_workers("clock", 5);
    let set = |path: &Path, time: SystemTime| {
        let file = fs::File::options().write(true).open(path).expect("the file");
        file.set_modified(time).expect("a time");
    };
    let path = fixture.file("yard.csv");
    let time = SystemTime::now() - Duration::from_secs(3600);
    fixture.write("yard.csv", csv(0..6));
    set(&path, time);
    fixture.settle();
    assert_eq!(fixture.names().len(), 6);
    // Same size and time: found by the change time of its entry, or by the next periodic reread.
    fixture.write("yard.csv", csv((0..5).chain([7])));
    set(&path, time);
    fixture.now += Duration::from_secs(10);
    fixture.settle();
    assert_eq!(fixture.names().last(), Some(&"yard-007"));
}

#[test]
fn held_back_list_waits_for_time_or_acceptance() {
    let mut fixture = Fixture::with_workers("held", 10);
    fixture.write("yard.csv", csv(0..5));
    let events = fixture.settle();
    assert!(events.contains("held back: it would take out 5 of 10 workers"), "{events}");
    assert_eq!((fixture.settle(), fixture.names().len()), (String::new(), 10), "it is reported once");
    fixture.now += Duration::from_secs(60);
    fixture.settle();
    assert_eq!(fixture.names().len(), 5);
    fixture.write("yard.csv", csv(0..2));
    let events = fixture.settle();
    let digest = events.rsplit_once('(').and_then(|(_, rest)| rest.split(')').next()).expect("a digest");
    fs::write(accept_file(&fixture.folder), format!("{digest}\n")).expect("a word");
    fixture.settle();
    assert_eq!(fixture.names().len(), 2);
}

/// Guards against a start without workers while a file is invalid.
#[test]
fn last_good_list_survives_a_restart() {
    let fixture = Fixture::with_workers("restart", 5);
    fixture.write("yard.csv", "nonsense\n");
    let mut again = Fixture {
        watch: InventoryWatch::new(Fixture::settings(&fixture.folder), fixture.folder.clone()),
        ..fixture
    };
    let events = again.settle();
    assert!(
        events.contains("yard.csv:1:1") && events.contains("last good is in force: 5 workers"),
        "{events}"
    );
    assert_eq!(again.names().len(), 5);
}

/// Guards against workers without an address: a host name that does not resolve is reported.
#[test]
fn unresolvable_host_names_are_reported() {
    let mut fixture = Fixture::new("names");
    let text = "name,address,zone,kind,slots\na,localhost.invalid:5000,n,s,1\n";
    fixture.write("yard.csv", text);
    let events = fixture.settle();
    assert!(events.contains("yard.csv:2:1: host \"localhost.invalid\" cannot be looked up"), "{events}");
}
