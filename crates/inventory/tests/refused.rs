//! Invalid files: each is refused as a whole, with the line of the problem.

mod cases;

use tindock_inventory::{merge, read, Columns, InputFormat, Problem};

fn problems(form: InputFormat, bytes: &[u8]) -> Vec<Problem> {
    let read = read("f", bytes, form, &Columns::default());
    read.and_then(|entries| merge(vec![entries])).err().unwrap_or_default()
}

#[test]
fn each_invalid_file_is_refused_with_its_line() {
    let cases = cases::all();
    assert!(cases.len() >= 60, "{} cases", cases.len());
    let wrong = |case: &cases::Case| {
        let found = problems(case.form, &case.bytes);
        let fits = |p: &Problem| {
            p.to_string().starts_with(&format!("f:{}", case.at)) && p.what.contains(case.message)
        };
        let head = String::from_utf8_lossy(&case.bytes[..case.bytes.len().min(200)]).into_owned();
        let lines: Vec<String> = found.iter().map(Problem::to_string).collect();
        (!found.iter().any(fits))
            .then(|| format!("{head}\ngives {lines:#?}, not {:?} {:?}", case.at, case.message))
    };
    let wrong: Vec<String> = cases.iter().filter_map(wrong).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n\n"));
}

/// Guards against reports of only the first problem, which make operators fix a file one line at a time.
#[test]
fn all_problems_are_reported() {
    let text = "name,address,zone,kind,slots\na,1,z,k,1\nb,10.0.0.1:1,z,k,0\nc,10.0.0.2:1,,k,1\n";
    let lines: Vec<usize> =
        problems(InputFormat::Csv, text.as_bytes()).iter().map(|p| p.place.line).collect();
    assert_eq!(lines, [2, 3, 4]);
}

/// Guards against huge files that exhaust memory or time.
#[test]
fn a_file_of_200_mb_is_refused_without_parsing() {
    let bytes = vec![b'a'; 200_000_000];
    let found = problems(InputFormat::Csv, &bytes);
    assert!(found[0].what.contains("has 200000000 bytes"), "{found:?}");
}
