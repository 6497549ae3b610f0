//! Times for reading and comparing inventories, as medians of seven runs: `cargo bench -p tindock-inventory`.

use std::time::{Duration, Instant};
use tindock_inventory::{diff, merge, read, write, Columns, InputFormat, Inventory, OutputFormat};

fn text(workers: usize, changed: usize) -> String {
    let row = |n: usize| {
        let slots = if n < changed { 32 } else { 16 };
        format!(
            "yard-{n}.wor-1.example.org,10.{}.{}.{}:5000,north,std,{slots}\n",
            n >> 16,
            (n >> 8) & 255,
            n & 255
        )
    };
    format!("name,address,zone,kind,slots\n{}", (0..workers).map(row).collect::<String>())
}

fn inventory(text: &str, form: InputFormat) -> Inventory {
    let entries = read("f", text.as_bytes(), form, &Columns::default()).expect("entries");
    merge(vec![entries]).expect("an inventory")
}

fn median(mut run: impl FnMut()) -> (Duration, Duration, Duration) {
    let mut times: Vec<Duration> = (0..7)
        .map(|_| {
            let began = Instant::now();
            run();
            began.elapsed()
        })
        .collect();
    times.sort_unstable();
    (times[3], times[0], times[6])
}

fn main() {
    println!("{:>8} {:>22} {:>32}", "workers", "what", "median (least to most)");
    for workers in [10, 1000, 50_000] {
        let csv = text(workers, 0);
        let base = inventory(&csv, InputFormat::Csv);
        let yaml = write(&base, OutputFormat::Yaml);
        let other = inventory(&text(workers, workers / 100), InputFormat::Csv);
        let line = |what: &str, (median, least, most): (Duration, Duration, Duration)| {
            println!("{workers:>8} {what:>22} {:>32}", format!("{median:.2?} ({least:.2?} to {most:.2?})"));
        };
        line("read CSV", median(|| drop(std::hint::black_box(inventory(&csv, InputFormat::Csv)))));
        line("read YAML list", median(|| drop(std::hint::black_box(inventory(&yaml, InputFormat::Yaml)))));
        line("compare, 1% changed", median(|| drop(std::hint::black_box(diff(&base, &other)))));
    }
}
