use std::fs;
use std::path::PathBuf;

use crate::defects::{Defect, INJECTED};
use crate::files::Folder;
use crate::tests::sim::addr;
use crate::voters::{Voter, VoterTable, VoterTables};
use crate::{Ballot, Configuration, Stored};

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("tindock-vault-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TempFolder(path)
    }

    fn names(&self) -> Vec<String> {
        let all = fs::read_dir(&self.0).expect("a folder");
        let mut names: Vec<String> =
            all.map(|entry| entry.expect("an entry").file_name().into_string().expect("a name")).collect();
        names.sort();
        names
    }
}

impl Drop for TempFolder {
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
fn the_highest_ballot_wins_over_the_highest_revision() {
    let temp = TempFolder::new("ballots");
    let folder = Folder::open(&temp.0).expect("a folder");
    let configuration = |revision| Configuration::new(revision, format!("text {revision}").into_bytes());
    // The format of an earlier release.
    let old = configuration(9);
    folder.save(&Stored::Configuration(old.clone())).expect("saved");
    assert_eq!(temp.names(), [format!("word-9-{:016x}", old.digest)]);
    assert_eq!(folder.read().expect("readable state").configuration, Some(old.clone()));
    for round in [9, 10] {
        folder.save(&Stored::Promise(ballot(round))).expect("saved");
    }
    for (round, revision) in [(9, 8), (10, 7)] {
        let new = configuration(revision).under(ballot(round));
        folder.save(&Stored::Configuration(new.clone())).expect("saved");
        let restored = folder.read().expect("readable state");
        assert_eq!(restored.configuration, Some(new));
        assert_eq!(restored.promised, ballot(10));
    }
    assert_eq!(temp.names().len(), 2, "{:?}", temp.names());
    // A copy from an old release reappears, for example from a backup: it ranks below all that have a ballot.
    folder.save(&Stored::Configuration(old)).expect("saved");
    assert_eq!(
        folder.read().expect("readable state").configuration,
        Some(configuration(7).under(ballot(10)))
    );
}

/// A configuration file cut at any byte is ignored in favour of the older one.
#[test]
fn torn_ballot_file_is_ignored() {
    let temp = TempFolder::new("torn-ballot");
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
            let restored = folder.read().expect("readable state");
            assert_eq!(
                restored.configuration.map(|restored| restored.ballot),
                Some(ballot(1)),
                "cut at {end}"
            );
            assert!(restored.promised <= ballot(1), "cut at {end}");
        }
        fs::remove_file(temp.0.join(&name)).expect("removed");
    }
    let restored = folder.read().expect("readable state");
    assert_eq!((restored.configuration, restored.promised), (Some(old), ballot(1)));
}

#[test]
fn keeps_the_highest_of_each_kind() {
    let temp = TempFolder::new("highest");
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
    let restored = folder.read().expect("readable state");
    assert_eq!(
        restored.configuration.map(|configuration| (configuration.revision, configuration.text.len())),
        Some((4097, 4097))
    );
    assert_eq!(restored.voters, Some(tables(2, None)));
    assert_eq!(restored.lease_number, 4097);
    assert_eq!(temp.names().len(), 3, "{:?}", temp.names());
}

#[test]
fn torn_files_are_ignored() {
    let temp = TempFolder::new("torn");
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
        let restored = folder.read().expect("readable state");
        assert_eq!(restored.configuration.as_ref(), Some(&old), "cut at {end}");
        assert_eq!(restored.lease_number, 0);
        let mut turned = whole.clone();
        turned[end] ^= 1;
        fs::write(temp.0.join(&newer), &turned).expect("written");
        assert_eq!(
            folder.read().expect("readable state").configuration.as_ref(),
            Some(&old),
            "turned at {end}"
        );
    }
    // Saving the same configuration again replaces the torn file.
    folder.save(&Stored::Configuration(new.clone())).expect("saved");
    assert_eq!(folder.read().expect("readable state").configuration, Some(new));
}

#[test]
fn failed_write_keeps_the_previous_file() {
    let temp = TempFolder::new("failed");
    let folder = Folder::open(&temp.0).expect("a folder");
    let old = Configuration::new(3, b"old".to_vec());
    folder.save(&Stored::Configuration(old.clone())).expect("saved");
    let new = Configuration::new(4, b"new".to_vec());
    // A folder with the same name prevents opening the file for writing.
    fs::create_dir(temp.0.join(format!("word-4-{:016x}", new.digest))).expect("a folder");
    folder.save(&Stored::Configuration(new)).expect_err("not saved");
    assert_eq!(folder.read().expect("readable state").configuration, Some(old));
}

#[test]
fn a_failed_save_is_rewritten() {
    let temp = TempFolder::new("again");
    let folder = Folder::open(&temp.0).expect("a folder");
    let path = temp.0.join("lease-7");
    fs::create_dir(&path).expect("a folder in its place");
    folder.save(&Stored::LeaseNumber(7)).expect_err("not saved");
    fs::remove_dir(&path).expect("removed");
    // As after a failed sync: the file is readable but may not have reached the disk.
    Folder::open(&temp.0).and_then(|other| other.save(&Stored::LeaseNumber(7))).expect("saved");
    let old = std::time::SystemTime::UNIX_EPOCH;
    fs::File::options().write(true).open(&path).and_then(|file| file.set_modified(old)).expect("dated back");
    folder.save(&Stored::LeaseNumber(7)).expect("saved");
    assert_ne!(fs::metadata(&path).and_then(|meta| meta.modified()).expect("a date"), old);
}

/// Simulates a loss of power: the file being written exists, is missing or is torn; removed files may
/// reappear.
fn lose_power(temp: &TempFolder, rng: &mut oorandom::Rand64, before: &Files, name: &str, done: bool) {
    let mut files = read_all(temp);
    for (old, bytes) in before {
        if !files.contains_key(old) && rng.rand_float() < 0.5 {
            files.insert(old.clone(), bytes.clone());
        }
    }
    if let Some(bytes) = files.get_mut(name).filter(|_| !done) {
        let cut = rng.rand_range(0..bytes.len() as u64 + 1) as usize;
        match rng.rand_range(0..4) {
            0 => bytes.truncate(cut),
            1 => bytes[cut..].fill(0),
            2 => bytes[..cut].fill(0xff),
            _ => {}
        }
        if rng.rand_float() < 0.3 {
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

fn read_all(temp: &TempFolder) -> Files {
    let all = temp.names().into_iter();
    all.filter_map(|name| Some((name.clone(), fs::read(temp.0.join(name)).ok()?))).collect()
}

/// Simulates saves, failed writes and losses of power. Returns a description of the first violation.
fn simulate(seed: u64) -> Option<String> {
    let temp = TempFolder::new(&format!("power-{seed}-{:?}", std::thread::current().id()));
    let mut rng = oorandom::Rand64::new(u128::from(seed));
    let mut folder = Folder::open(&temp.0).expect("a folder");
    let mut highest = [0u64; 4];
    for step in 1..25u64 {
        let kind = rng.rand_range(0..4) as usize;
        let number = highest[kind] + 1 + rng.rand_range(0..2);
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
        let refused = rng.rand_float() < 0.2 && fs::create_dir(&path).is_ok();
        let saved = folder.save(&what).is_ok();
        if refused {
            let _ = fs::remove_dir(&path);
        }
        // The save may be interrupted: then it was not confirmed, and the file may or may not exist.
        let done = saved && rng.rand_float() < 0.7;
        if done {
            highest[kind] = number;
        }
        if rng.rand_float() < 0.5 || saved && !done {
            if !done {
                // Nothing was removed yet.
                for (name, bytes) in before.iter().filter(|_| saved) {
                    fs::write(temp.0.join(name), bytes).expect("written");
                }
            }
            lose_power(&temp, &mut rng, &before, &name, done);
            folder = Folder::open(&temp.0).expect("a folder");
        }
        let restored = folder.read().expect("read");
        let configuration =
            restored.configuration.as_ref().map_or(0, |configuration| configuration.ballot.round);
        let voters = restored.voters.as_ref().map_or(0, |tables| tables.base.epoch);
        for (index, (restored, highest)) in
            [configuration, voters, restored.lease_number, restored.promised.round]
                .into_iter()
                .zip(&mut highest)
                .enumerate()
        {
            let in_progress = if index == kind { number } else { *highest };
            if restored < *highest || restored > *highest && restored != in_progress {
                return Some(format!("seed {seed}, step {step}: {restored} for {highest} of kind {index}"));
            }
            *highest = restored;
        }
    }
    None
}

#[test]
fn power_loss_never_reverts_a_saved_state() {
    for seed in 0..200 {
        assert_eq!(simulate(seed), None);
    }
}

#[test]
fn removing_the_old_file_too_early_is_detected() {
    INJECTED.set(Some(Defect::RemovesOldFileFirst));
    let found = (0..200).find_map(simulate);
    INJECTED.set(None);
    println!("{found:?}");
    assert!(found.is_some());
}
