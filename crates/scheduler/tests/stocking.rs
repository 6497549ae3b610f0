//! The inventory's files as they are watched: real files, in a folder of the test's own; the time is handed in.

#[path = "../../inventory/tests/cases/mod.rs"]
mod cases;

use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tindock_berth::Stock;
use tindock_inventory::{Columns, InputFormat};
use tindock_scheduler::list::stocking::{accept_file, Told, Watching};

struct Shelf {
    folder: PathBuf,
    watching: Watching,
    now: Duration,
}

fn row(n: usize) -> String {
    format!("yard-{n:03},10.0.{}.{}:{},north,std,16\n", n / 100, n % 100, 5000 + n)
}

fn csv(workers: impl Iterator<Item = usize>) -> String {
    format!("name,address,zone,kind,slots\n{}", workers.map(row).collect::<String>())
}

impl Shelf {
    fn new(name: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stocking-{name}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(folder.join("inventory")).expect("a folder");
        let watching = Watching::new(Self::stock(&folder), folder.clone());
        Shelf { folder, watching, now: Duration::from_secs(1) }
    }

    fn stock(folder: &Path) -> Stock {
        Stock {
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

    /// One look, 0.2 s after the last one: the lines that it tells.
    fn look(&mut self) -> Vec<String> {
        self.now += Duration::from_millis(200);
        let told = self.watching.look(self.now);
        let line = |told| match told {
            Told::Problem(line) => Some(line),
            Told::Note(line) => Some(line),
            Told::Changes(_) => None,
        };
        told.into_iter().filter_map(line).collect()
    }

    /// Looks until the writing counts as over.
    fn settle(&mut self) -> String {
        (0..3).flat_map(|_| self.look()).collect::<Vec<_>>().join("; ")
    }

    fn names(&self) -> Vec<&str> {
        self.watching.in_force().entries.iter().map(|e| e.name.as_str()).collect()
    }

    fn stocked(name: &str, workers: usize) -> Self {
        let mut shelf = Shelf::new(name);
        shelf.write("yard.csv", csv(0..workers));
        shelf.settle();
        assert_eq!(shelf.names().len(), workers);
        shelf
    }
}

/// Every file of the cases is turned down with its line, whatever else stands beside it, and the list stays.
#[test]
fn odd_files_leave_the_last_good_list_in_force() {
    let mut shelf = Shelf::stocked("odd", 8);
    for (number, case) in cases::all().into_iter().enumerate() {
        let name = if case.form == InputFormat::Csv { "a.csv" } else { "a.yaml" };
        shelf.write(name, &case.bytes);
        let told = shelf.settle();
        let line = case.at.split(':').next().unwrap_or_default();
        let place = format!("{}:{line}", shelf.file(name).display());
        assert!(
            told.contains(&place) && told.contains(case.message.split(" f:").next().unwrap_or_default()),
            "case {number}: {told:?} lacks {place:?} and {:?}",
            case.message
        );
        assert_eq!(shelf.names().len(), 8, "case {number}");
        fs::remove_file(shelf.file(name)).expect("the file");
        shelf.settle();
    }
}

/// Guards against a file read while half written: cut anywhere it is turned down, or the guard judges who may go.
#[test]
fn a_cut_file_never_makes_the_list_silently_smaller() {
    let mut shelf = Shelf::stocked("cut", 200);
    let whole = csv(0..200);
    let (mut let_through, mut held) = (0, 0);
    // Each line's end and its neighbours, and a byte in every line.
    let ends: Vec<usize> = whole.match_indices('\n').map(|(at, _)| at).collect();
    for at in ends.into_iter().flat_map(|end| [end - 7, end, end + 1]) {
        shelf.write("yard.csv", &whole.as_bytes()[..at]);
        let told = shelf.settle();
        let left = shelf.names().len();
        let named = whole[..at].matches('\n').count().saturating_sub(1);
        if left < 200 {
            assert!(left == named && left >= 160, "{left} of 200 after a cut at {at}");
            let_through += 1;
            shelf.write("yard.csv", &whole);
            shelf.settle();
        } else if told.contains("held back") {
            held += 1;
        } else {
            assert!(told.contains("yard.csv:") || named == 200 || told.is_empty(), "cut at {at}: {told}");
        }
        assert_eq!(shelf.names().len(), 200);
    }
    assert!(let_through == 40 && held > 100, "{let_through} let through, {held} held back");
}

/// Writing that goes on is waited for: nothing is read until two looks agree.
#[test]
fn writing_in_place_is_waited_for() {
    let mut shelf = Shelf::stocked("in-place", 5);
    for workers in 5..12 {
        shelf.write("yard.csv", csv(0..workers));
        assert_eq!(shelf.look(), [""; 0], "still being written");
    }
    assert_eq!(shelf.names().len(), 5);
    assert!(shelf.settle().contains("11 workers, 6 of them new"));
}

#[test]
fn a_rename_into_place_and_a_swapped_link_are_seen() {
    let mut shelf = Shelf::stocked("rename", 5);
    fs::write(shelf.folder.join("new"), csv(0..6)).expect("a file");
    fs::rename(shelf.folder.join("new"), shelf.file("yard.csv")).expect("a rename");
    shelf.settle();
    assert_eq!(shelf.names().len(), 6);
    // As tools that keep versions side by side do: the folder's file is a link.
    for (version, workers) in [("v1", 7), ("v2", 8)] {
        fs::write(shelf.folder.join(version), csv(0..workers)).expect("a version");
        std::os::unix::fs::symlink(shelf.folder.join(version), shelf.folder.join("link")).expect("a link");
        fs::rename(shelf.folder.join("link"), shelf.file("yard.csv")).expect("a swap");
        shelf.settle();
        assert_eq!(shelf.names().len(), workers);
    }
}

#[test]
fn a_folder_that_vanishes_and_returns_changes_nothing() {
    let mut shelf = Shelf::stocked("vanish", 5);
    let (there, away) = (shelf.folder.join("inventory"), shelf.folder.join("away"));
    fs::rename(&there, &away).expect("a move");
    assert!(shelf.settle().contains("No such file"));
    assert_eq!((shelf.settle(), shelf.names().len()), (String::new(), 5));
    fs::create_dir(&there).expect("a folder");
    assert!(shelf.settle().contains("holds no file in .csv"));
    fs::remove_dir(&there).expect("empty");
    fs::rename(&away, &there).expect("a move");
    assert_eq!(shelf.settle(), "", "it says what is in force");
    shelf.write("yard.csv", csv(0..6));
    shelf.settle();
    assert_eq!(shelf.names().len(), 6);
}

/// Guards against clocks that step back, and against times of whole seconds.
#[test]
fn an_older_time_and_the_same_time_are_changes_too() {
    let mut shelf = Shelf::stocked("clock", 5);
    let set = |path: &Path, time: SystemTime| {
        let file = fs::File::options().write(true).open(path).expect("the file");
        file.set_modified(time).expect("a time");
    };
    let path = shelf.file("yard.csv");
    let time = SystemTime::now() - Duration::from_secs(3600);
    shelf.write("yard.csv", csv(0..6));
    set(&path, time);
    shelf.settle();
    assert_eq!(shelf.names().len(), 6);
    // As long as before, with the same time: the change of its entry, or the next reading anew, tells.
    shelf.write("yard.csv", csv((0..5).chain([7])));
    set(&path, time);
    shelf.now += Duration::from_secs(10);
    shelf.settle();
    assert_eq!(shelf.names().last(), Some(&"yard-007"));
}

#[test]
fn what_is_held_back_waits_for_time_or_somebodys_word() {
    let mut shelf = Shelf::stocked("held", 10);
    shelf.write("yard.csv", csv(0..5));
    let told = shelf.settle();
    assert!(told.contains("held back: it would take out 5 of 10 workers"), "{told}");
    assert_eq!((shelf.settle(), shelf.names().len()), (String::new(), 10), "it is told once");
    shelf.now += Duration::from_secs(60);
    shelf.settle();
    assert_eq!(shelf.names().len(), 5);
    shelf.write("yard.csv", csv(0..2));
    let told = shelf.settle();
    let digest = told.rsplit_once('(').and_then(|(_, rest)| rest.split(')').next()).expect("a digest");
    fs::write(accept_file(&shelf.folder), format!("{digest}\n")).expect("a word");
    shelf.settle();
    assert_eq!(shelf.names().len(), 2);
}

/// Guards against a start without workers while a file is being mended.
#[test]
fn the_last_good_list_outlives_a_restart() {
    let shelf = Shelf::stocked("restart", 5);
    shelf.write("yard.csv", "nonsense\n");
    let mut again =
        Shelf { watching: Watching::new(Shelf::stock(&shelf.folder), shelf.folder.clone()), ..shelf };
    let told = again.settle();
    assert!(told.contains("yard.csv:1:1") && told.contains("last good is in force: 5 workers"), "{told}");
    assert_eq!(again.names().len(), 5);
}

/// A name is looked up; one that leads nowhere is no worker's.
#[test]
fn names_are_looked_up() {
    let mut shelf = Shelf::new("names");
    let text = "name,address,zone,kind,slots\na,localhost.invalid:5000,n,s,1\n";
    shelf.write("yard.csv", text);
    let told = shelf.settle();
    assert!(told.contains("yard.csv:2:1: host \"localhost.invalid\" cannot be looked up"), "{told}");
}
