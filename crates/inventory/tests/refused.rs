//! Files that will not do: each is refused whole, with its line.

mod cases;

use tindock_inventory::{merge, read, Columns, InputFormat, Problem};

fn problems(form: InputFormat, bytes: &[u8]) -> Vec<Problem> {
    let read = read("f", bytes, form, &Columns::default());
    read.and_then(|entries| merge(vec![entries])).err().unwrap_or_default()
}

#[test]
fn each_odd_file_is_refused_with_its_line() {
    let cases = cases::all();
    assert!(cases.len() >= 60, "{} cases", cases.len());
    let wrong = |case: &cases::Case| {
        let told = problems(case.form, &case.bytes);
        let fits =
            |p: &Problem| p.to_string().starts_with(&format!("f:{}", case.at)) && p.what.contains(case.says);
        let head = String::from_utf8_lossy(&case.bytes[..case.bytes.len().min(200)]).into_owned();
        let lines: Vec<String> = told.iter().map(Problem::to_string).collect();
        (!told.iter().any(fits))
            .then(|| format!("{head}\ngives {lines:#?}, not {:?} {:?}", case.at, case.says))
    };
    let wrong: Vec<String> = cases.iter().filter_map(wrong).collect();
    assert!(wrong.is_empty(), "{}", wrong.join("\n\n"));
}

/// Guards against mending a file a line at a time.
#[test]
fn all_problems_are_told() {
    let text = "name,address,zone,kind,slots\na,1,z,k,1\nb,10.0.0.1:1,z,k,0\nc,10.0.0.2:1,,k,1\n";
    let lines: Vec<usize> =
        problems(InputFormat::Csv, text.as_bytes()).iter().map(|p| p.place.line).collect();
    assert_eq!(lines, [2, 3, 4]);
}

/// Guards against files that take memory or time without end.
#[test]
fn a_file_of_200_mb_is_refused_unread() {
    let bytes = vec![b'a'; 200_000_000];
    let told = problems(InputFormat::Csv, &bytes);
    assert!(told[0].what.contains("has 200000000 bytes"), "{told:?}");
}
