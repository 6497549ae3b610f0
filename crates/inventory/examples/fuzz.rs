//! Fuzzes both readers with mutations of `corpus/`; each accepted inventory must be unchanged when it is
//! written and read again: `cargo run --release -p tindock-inventory --example fuzz -- SEED SECONDS`. A
//! panic, or a file that takes more than a second, ends it with the seed and the bytes, which should then be
//! added to the corpus.

use oorandom::Rand64;
use std::path::Path;
use std::time::{Duration, Instant};
use tindock_inventory::{diff, merge, read, write, Columns, InputFormat, OutputFormat};

/// Tokens with a meaning to one of the readers.
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

fn mutate(bytes: &mut Vec<u8>, others: &[(InputFormat, Vec<u8>)], rng: &mut Rand64) {
    for _ in 0..=rng.rand_range(0..6) {
        let at = rng.rand_range(0..bytes.len() as u64 + 1) as usize;
        let to = (at + rng.rand_range(0..12) as usize).min(bytes.len());
        match rng.rand_range(0..6) {
            0 => drop(bytes.splice(at..to, [])),
            1 => drop(bytes.splice(at..at, [rng.rand_u64() as u8])),
            2 => bytes.truncate(at),
            3 => {
                let piece = PIECES[rng.rand_range(0..PIECES.len() as u64) as usize];
                drop(bytes.splice(at..to, piece.bytes()));
            }
            4 => {
                let again = bytes[at..to].to_vec();
                drop(bytes.splice(at..at, again));
            }
            _ => {
                let (_, other) = &others[rng.rand_range(0..others.len() as u64) as usize];
                let from = rng.rand_range(0..other.len() as u64) as usize;
                let piece = other[from..(from + 40).min(other.len())].to_vec();
                drop(bytes.splice(at..to, piece));
            }
        }
    }
    if rng.rand_range(0..4) > 0 && !bytes.ends_with(b"\n") {
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
    let (mut rng, began) = (Rand64::new(u128::from(seed)), Instant::now());
    // The same default as in the example's configuration, so that its files are accepted.
    let defaults = [("kind".to_string(), "toy".to_string())].into();
    let columns = Columns { defaults, ..Columns::default() };
    let (mut files, mut accepted, mut slowest) = (0u64, 0u64, Duration::ZERO);
    while began.elapsed() < Duration::from_secs(seconds) {
        let (form, original) = &corpus[rng.rand_range(0..corpus.len() as u64) as usize];
        let mut bytes = original.clone();
        mutate(&mut bytes, &corpus, &mut rng);
        let before = Instant::now();
        let result = read("f", &bytes, *form, &columns).and_then(|entries| merge(vec![entries]));
        slowest = slowest.max(before.elapsed());
        assert!(before.elapsed() < Duration::from_secs(1), "seed {seed}: slow on {bytes:?}");
        files += 1;
        let Ok(inventory) = result else { continue };
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
