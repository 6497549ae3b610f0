use std::fs;
use std::path::PathBuf;

use crate::files::Folder;
use crate::seats::{Seat, Seats, Tables};
use crate::tests::sim::addr;
use crate::{Stored, Word};

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

fn tables(epoch: u64, next: Option<u64>) -> Tables {
    let seats = |epoch, number| Seats { epoch, number, seats: vec![Seat { at: addr(0), since: 1 }] };
    Tables { base: seats(epoch, 0), next: next.map(|number| seats(epoch + 1, number)) }
}

#[test]
fn keeps_the_highest_of_each_kind() {
    let temp = Temp::new("highest");
    let folder = Folder::open(&temp.0).expect("a folder");
    let empty = folder.read().expect("nothing");
    assert!(empty.word.is_none() && empty.seats.is_none() && empty.number == 0);
    for number in [9, 10, 4097] {
        let word = Word::new(number, vec![b'x'; number as usize]);
        folder.save(&Stored::Word(word)).expect("saved");
        folder.save(&Stored::Number(number)).expect("saved");
    }
    for tables in [tables(1, None), tables(1, Some(7)), tables(2, None)] {
        folder.save(&Stored::Seats(tables)).expect("saved");
    }
    folder.save(&Stored::Seats(tables(2, None))).expect("saved again");
    let kept = folder.read().expect("kept");
    assert_eq!(kept.word.map(|word| (word.revision, word.text.len())), Some((4097, 4097)));
    assert_eq!(kept.seats, Some(tables(2, None)));
    assert_eq!(kept.number, 4097);
    assert_eq!(temp.names().len(), 3, "{:?}", temp.names());
}

#[test]
fn passes_over_what_is_torn() {
    let temp = Temp::new("torn");
    let folder = Folder::open(&temp.0).expect("a folder");
    let old = Word::new(3, b"the old one\nwith a line".to_vec());
    let new = Word::new(4, b"the new one".to_vec());
    folder.save(&Stored::Word(old.clone())).expect("saved");
    let name = temp.names().remove(0);
    let bytes = fs::read(temp.0.join(&name)).expect("bytes");
    folder.save(&Stored::Word(new.clone())).expect("saved");
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
        assert_eq!(kept.word.as_ref(), Some(&old), "cut at {end}");
        assert_eq!(kept.number, 0);
        let mut turned = whole.clone();
        turned[end] ^= 1;
        fs::write(temp.0.join(&newer), &turned).expect("written");
        assert_eq!(folder.read().expect("kept").word.as_ref(), Some(&old), "turned at {end}");
    }
    // Over the torn one, the same again.
    folder.save(&Stored::Word(new.clone())).expect("saved");
    assert_eq!(folder.read().expect("kept").word, Some(new));
}

#[test]
fn a_failed_write_leaves_the_old_one() {
    let temp = Temp::new("failed");
    let folder = Folder::open(&temp.0).expect("a folder");
    let old = Word::new(3, b"old".to_vec());
    folder.save(&Stored::Word(old.clone())).expect("saved");
    let new = Word::new(4, b"new".to_vec());
    // A folder in its place: it cannot be opened for writing.
    fs::create_dir(temp.0.join(format!("word-4-{:016x}", new.digest))).expect("a folder");
    folder.save(&Stored::Word(new)).expect_err("not saved");
    assert_eq!(folder.read().expect("kept").word, Some(old));
}
