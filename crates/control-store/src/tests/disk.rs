use std::fs;
use std::path::PathBuf;

use crate::files::Folder;
use crate::planted::{Defect, PLANTED};
use crate::tests::sim::addr;
use crate::voters::{Voter, VoterTable, VoterTables};
use crate::{Ballot, Configuration, Stored};

struct Temp(PathBuf);

impl Temp {
    fn new(name: &str) -> Temp {
        let path = std::env::temp_dir().join(format!("tindock-vault-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Temp(path)
    }

    fn names(&self) -> Vec<String> {
        let all = fs::read_dir(&self.0).expect("a folder");
        let mut names: Vec<String> =
            all.map(|entry| entry.expect("an entry").file_name().into_string().expect("a name")).collect();
        names.sort();
        names
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn tables(epoch: u64, next: Option<u64>) -> VoterTables {
    let voters = |epoch, number| VoterTable { epoch, number, voters: vec![Voter { at: addr(0), since: 1 }] };
    VoterTables { base: voters(epoch, 0), next: next.map(|number| voters(epoch + 1, number)) }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, incarnation: u64::MAX - round, proposer: addr(0) }
}

#[test]
fn the_highest_ballot_beats_the_highest_revision() {
    let temp = Temp::new("ballots");
    let folder = Folder::open(&temp.0).expect("a folder");
    let configuration = |revision| Configuration::new(revision, format!("text {revision}").into_bytes());
    // As an earlier release wrote it.
    let old = configuration(9);
    folder.save(&Stored::Configuration(old.clone())).expect("saved");
    assert_eq!(temp.names(), [format!("word-9-{:016x}", old.digest)]);
    assert_eq!(folder.read().expect("kept").configuration, Some(old.clone()));
    for round in [9, 10] {
        folder.save(&Stored::Promise(ballot(round))).expect("saved");
    }
    for (round, revision) in [(9, 8), (10, 7)] {
        let new = configuration(revision).under(ballot(round));
        folder.save(&Stored::Configuration(new.clone())).expect("saved");
        let kept = folder.read().expect("kept");
        assert_eq!(kept.configuration, Some(new));
        assert_eq!(kept.promised, ballot(10));
    }
    assert_eq!(temp.names().len(), 2, "{:?}", temp.names());
    // An old release's copy comes back, say from a backup: it is below all that have a ballot.
    folder.save(&Stored::Configuration(old)).expect("saved");
    assert_eq!(folder.read().expect("kept").configuration, Some(configuration(7).under(ballot(10))));
}

/// A file under a ballot that was cut at any byte is passed over for the older one.
#[test]
fn passes_over_a_torn_ballot() {
    let temp = Temp::new("torn-ballot");
    let folder = Folder::open(&temp.0).expect("a folder");
    let [old, new] = [1, 2].map(|round| Configuration::new(5, vec![b'a'; 20]).under(ballot(round)));
    let steps = [
        (Stored::Configuration(old.clone()), Stored::Configuration(new)),
        (Stored::Promise(ballot(1)), Stored::Promise(ballot(2))),
    ];
    for (old, new) in &steps {
        folder.save(old).expect("saved");
        let before = read_all(&temp);
        folder.save(new).expect("saved");
        let (name, whole) =
            read_all(&temp).into_iter().find(|(name, _)| !before.contains_key(name)).expect("a new file");
        for (old, bytes) in &before {
            fs::write(temp.0.join(old), bytes).expect("written");
        }
        for end in 0..whole.len() {
            fs::write(temp.0.join(&name), &whole[..end]).expect("written");
            let kept = folder.read().expect("kept");
            assert_eq!(kept.configuration.map(|kept| kept.ballot), Some(ballot(1)), "cut at {end}");
            assert!(kept.promised <= ballot(1), "cut at {end}");
        }
        fs::remove_file(temp.0.join(&name)).expect("removed");
    }
    let kept = folder.read().expect("kept");
    assert_eq!((kept.configuration, kept.promised), (Some(old), ballot(1)));
}

#[test]
fn keeps_the_highest_of_each_kind() {
    let temp = Temp::new("highest");
    let folder = Folder::open(&temp.0).expect("a folder");
    let empty = folder.read().expect("nothing");
    assert!(empty.configuration.is_none() && empty.voters.is_none() && empty.lease_number == 0);
    for number in [9, 10, 4097] {
        let configuration = Configuration::new(number, vec![b'x'; number as usize]);
        folder.save(&Stored::Configuration(configuration)).expect("saved");
        folder.save(&Stored::LeaseNumber(number)).expect("saved");
    }
    for tables in [tables(1, None), tables(1, Some(7)), tables(2, None)] {
        folder.save(&Stored::Voters(tables)).expect("saved");
    }
    folder.save(&Stored::Voters(tables(2, None))).expect("saved again");
    let kept = folder.read().expect("kept");
    assert_eq!(
        kept.configuration.map(|configuration| (configuration.revision, configuration.text.len())),
        Some((4097, 4097))
    );
    assert_eq!(kept.voters, Some(tables(2, None)));
    assert_eq!(kept.lease_number, 4097);
    assert_eq!(temp.names().len(), 3, "{:?}", temp.names());
}

#[test]
fn passes_over_what_is_torn() {
    let temp = Temp::new("torn");
    let folder = Folder::open(&temp.0).expect("a folder");
    let old = Configuration::new(3, b"the old one\nwith a line".to_vec());
    let new = Configuration::new(4, b"the new one".to_vec());
    folder.save(&Stored::Configuration(old.clone())).expect("saved");
    let name = temp.names().remove(0);
    let bytes = fs::read(temp.0.join(&name)).expect("bytes");
    folder.save(&Stored::Configuration(new.clone())).expect("saved");
    let newer = temp.names().remove(0);
    let whole = fs::read(temp.0.join(&newer)).expect("bytes");
    fs::write(temp.0.join(&name), bytes).expect("written");
    for others in
        ["word", "word-", "word-5", "word-x-y", "seats-1", "lease-", "lease-7-1", "lease-8", "note-1"]
    {
        fs::write(temp.0.join(others), b"anything").expect("written");
    }
    for end in 0..whole.len() {
        fs::write(temp.0.join(&newer), &whole[..end]).expect("written");
        let kept = folder.read().expect("kept");
        assert_eq!(kept.configuration.as_ref(), Some(&old), "cut at {end}");
        assert_eq!(kept.lease_number, 0);
        let mut turned = whole.clone();
        turned[end] ^= 1;
        fs::write(temp.0.join(&newer), &turned).expect("written");
        assert_eq!(folder.read().expect("kept").configuration.as_ref(), Some(&old), "turned at {end}");
    }
    // Over the torn one, the same again.
    folder.save(&Stored::Configuration(new.clone())).expect("saved");
    assert_eq!(folder.read().expect("kept").configuration, Some(new));
}

#[test]
fn a_failed_write_leaves_the_old_one() {
    let temp = Temp::new("failed");
    let folder = Folder::open(&temp.0).expect("a folder");
    let old = Configuration::new(3, b"old".to_vec());
    folder.save(&Stored::Configuration(old.clone())).expect("saved");
    let new = Configuration::new(4, b"new".to_vec());
    // A folder in its place: it cannot be opened for writing.
    fs::create_dir(temp.0.join(format!("word-4-{:016x}", new.digest))).expect("a folder");
    folder.save(&Stored::Configuration(new)).expect_err("not saved");
    assert_eq!(folder.read().expect("kept").configuration, Some(old));
}

#[test]
fn what_failed_is_written_again() {
    let temp = Temp::new("again");
    let folder = Folder::open(&temp.0).expect("a folder");
    let path = temp.0.join("lease-7");
    fs::create_dir(&path).expect("a folder in its place");
    folder.save(&Stored::LeaseNumber(7)).expect_err("not saved");
    fs::remove_dir(&path).expect("removed");
    // As after a failed sync: it reads well, but the disk may not have it.
    Folder::open(&temp.0).and_then(|other| other.save(&Stored::LeaseNumber(7))).expect("saved");
    let old = std::time::SystemTime::UNIX_EPOCH;
    fs::File::options().write(true).open(&path).and_then(|file| file.set_modified(old)).expect("dated back");
    folder.save(&Stored::LeaseNumber(7)).expect("saved");
    assert_ne!(fs::metadata(&path).and_then(|meta| meta.modified()).expect("a date"), old);
}

/// What the folder may be after a loss of power: the file that was being written is there, missing or torn;
/// what was removed is there or not.
fn lose_power(temp: &Temp, rand: &mut oorandom::Rand64, before: &Files, name: &str, done: bool) {
    let mut files = read_all(temp);
    for (old, bytes) in before {
        if !files.contains_key(old) && rand.rand_float() < 0.5 {
            files.insert(old.clone(), bytes.clone());
        }
    }
    if let Some(bytes) = files.get_mut(name).filter(|_| !done) {
        let cut = rand.rand_range(0..bytes.len() as u64 + 1) as usize;
        match rand.rand_range(0..4) {
            0 => bytes.truncate(cut),
            1 => bytes[cut..].fill(0),
            2 => bytes[..cut].fill(0xff),
            _ => {}
        }
        if rand.rand_float() < 0.3 {
            files.remove(name);
        }
    }
    for name in temp.names() {
        let _ = fs::remove_file(temp.0.join(name));
    }
    for (name, bytes) in files {
        fs::write(temp.0.join(name), bytes).expect("written");
    }
}

type Files = std::collections::BTreeMap<String, Vec<u8>>;

fn read_all(temp: &Temp) -> Files {
    let all = temp.names().into_iter();
    all.filter_map(|name| Some((name.clone(), fs::read(temp.0.join(name)).ok()?))).collect()
}

/// Saves, refusals and losses of power. Returns what is wrong.
fn play(seed: u64) -> Option<String> {
    let temp = Temp::new(&format!("power-{seed}-{:?}", std::thread::current().id()));
    let mut rand = oorandom::Rand64::new(u128::from(seed));
    let mut folder = Folder::open(&temp.0).expect("a folder");
    let mut most = [0u64; 4];
    for step in 1..25u64 {
        let kind = rand.rand_range(0..4) as usize;
        let number = most[kind] + 1 + rand.rand_range(0..2);
        let (what, name) = match kind {
            0 => {
                let text = vec![step as u8; 1 + number as usize * 300];
                let configuration = Configuration::new(1 + step % 3, text).under(ballot(number));
                let name = format!(
                    "configuration-{number}-{}-{}-{}-{:016x}",
                    u64::MAX - number,
                    addr(0),
                    configuration.revision,
                    configuration.digest
                );
                (Stored::Configuration(configuration), name)
            }
            1 => (Stored::Voters(tables(number, None)), format!("seats-{number}-0")),
            2 => (Stored::LeaseNumber(number), format!("lease-{number}")),
            _ => {
                let name = format!("promise-{number}-{}-{}", u64::MAX - number, addr(0));
                (Stored::Promise(ballot(number)), name)
            }
        };
        let before = read_all(&temp);
        let path = temp.0.join(&name);
        let refused = rand.rand_float() < 0.2 && fs::create_dir(&path).is_ok();
        let saved = folder.save(&what).is_ok();
        if refused {
            let _ = fs::remove_dir(&path);
        }
        // The save may be cut short: then nobody was told, and it is there or not.
        let done = saved && rand.rand_float() < 0.7;
        if done {
            most[kind] = number;
        }
        if rand.rand_float() < 0.5 || saved && !done {
            if !done {
                // Nothing was removed yet.
                for (name, bytes) in before.iter().filter(|_| saved) {
                    fs::write(temp.0.join(name), bytes).expect("written");
                }
            }
            lose_power(&temp, &mut rand, &before, &name, done);
            folder = Folder::open(&temp.0).expect("a folder");
        }
        let kept = folder.read().expect("read");
        let configuration = kept.configuration.as_ref().map_or(0, |configuration| configuration.ballot.round);
        let voters = kept.voters.as_ref().map_or(0, |tables| tables.base.epoch);
        for (index, (kept, most)) in [configuration, voters, kept.lease_number, kept.promised.round]
            .into_iter()
            .zip(&mut most)
            .enumerate()
        {
            let begun = if index == kind { number } else { *most };
            if kept < *most || kept > *most && kept != begun {
                return Some(format!("seed {seed}, step {step}: {kept} for {most} of kind {index}"));
            }
            *most = kept;
        }
    }
    None
}

#[test]
fn a_loss_of_power_takes_nothing_back() {
    for seed in 0..200 {
        assert_eq!(play(seed), None);
    }
}

#[test]
fn the_checker_finds_what_is_removed_too_early() {
    PLANTED.set(Some(Defect::RemovesTheOldFirst));
    let found = (0..200).find_map(play);
    PLANTED.set(None);
    println!("{found:?}");
    assert!(found.is_some());
}
