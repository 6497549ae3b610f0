//! Feeds mutations of `corpus/` to both readers, and checks of each that is accepted that what is written of it is
//! read back as the same: `cargo run --release -p tindock-inventory --example fuzz -- SEED SECONDS`. A panic, or a file
//! that takes over a second, ends it with the seed and the bytes, which then belong in the corpus.

use oorandom::Rand64;
use std::path::Path;
use std::time::{Duration, Instant};
use tindock_inventory::{diff, merge, read, write, Columns, InputFormat, OutputFormat};

/// Pieces that mean something to one of the readers.
const PIECES: [&str; 24] = [
    "\n",
    "\r\n",
    "\t",
    "  ",
    ": ",
    "- ",
    "&a ",
    "*a",
    "[",
    "]",
    "{",
    "}",
    "\"",
    "'",
    ",",
    "#",
    "|\n",
    ">-\n",
    "---\n",
    "!!x ",
    "[1:9]",
    "hosts:\n",
    "children:\n",
    "\u{feff}",
];

fn mutate(bytes: &mut Vec<u8>, others: &[(InputFormat, Vec<u8>)], chance: &mut Rand64) {
    for _ in 0..=chance.rand_range(0..6) {
        let at = chance.rand_range(0..bytes.len() as u64 + 1) as usize;
        let to = (at + chance.rand_range(0..12) as usize).min(bytes.len());
        match chance.rand_range(0..6) {
            0 => drop(bytes.splice(at..to, [])),
            1 => drop(bytes.splice(at..at, [chance.rand_u64() as u8])),
            2 => bytes.truncate(at),
            3 => {
                let piece = PIECES[chance.rand_range(0..PIECES.len() as u64) as usize];
                drop(bytes.splice(at..to, piece.bytes()));
            }
            4 => {
                let again = bytes[at..to].to_vec();
                drop(bytes.splice(at..at, again));
            }
            _ => {
                let (_, other) = &others[chance.rand_range(0..others.len() as u64) as usize];
                let from = chance.rand_range(0..other.len() as u64) as usize;
                let piece = other[from..(from + 40).min(other.len())].to_vec();
                drop(bytes.splice(at..to, piece));
            }
        }
    }
    if chance.rand_range(0..4) > 0 && !bytes.ends_with(b"\n") {
        bytes.push(b'\n');
    }
}

fn main() {
    let mut args = std::env::args().skip(1).map(|a| a.parse::<u64>().expect("SEED SECONDS"));
    let (seed, seconds) = (args.next().unwrap_or(1), args.next().unwrap_or(10));
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    let mut names: Vec<_> =
        std::fs::read_dir(folder).expect("the corpus").map(|e| e.expect("a file").path()).collect();
    names.sort();
    let corpus: Vec<(InputFormat, Vec<u8>)> = names
        .iter()
        .filter_map(|path| Some((InputFormat::of(path.to_str()?)?, std::fs::read(path).expect("a file"))))
        .collect();
    let (mut chance, began) = (Rand64::new(u128::from(seed)), Instant::now());
    // As the example's configuration has it, so that its files are accepted.
    let defaults = [("kind".to_string(), "toy".to_string())].into();
    let columns = Columns { defaults, ..Columns::default() };
    let (mut files, mut accepted, mut slowest) = (0u64, 0u64, Duration::ZERO);
    while began.elapsed() < Duration::from_secs(seconds) {
        let (form, good) = &corpus[chance.rand_range(0..corpus.len() as u64) as usize];
        let mut bytes = good.clone();
        mutate(&mut bytes, &corpus, &mut chance);
        let before = Instant::now();
        let whole = read("f", &bytes, *form, &columns).and_then(|entries| merge(vec![entries]));
        slowest = slowest.max(before.elapsed());
        assert!(before.elapsed() < Duration::from_secs(1), "seed {seed}: slow on {bytes:?}");
        files += 1;
        let Ok(inventory) = whole else { continue };
        accepted += 1;
        for (form, written) in
            [(InputFormat::Csv, OutputFormat::Csv), (InputFormat::Yaml, OutputFormat::Yaml)]
        {
            let text = write(&inventory, written);
            let back = read("f", text.as_bytes(), form, &columns).and_then(|entries| merge(vec![entries]));
            let same = back.as_ref().is_ok_and(|back| diff(&inventory, back).is_empty());
            assert!(same, "seed {seed}: {bytes:?} is written as {text:?} and read as {back:?}");
        }
    }
    println!("seed {seed}: {files} files, {accepted} accepted, the slowest took {slowest:.1?}");
}
