//! What a scheduler is told of the group that decides its policy together: `[accord]`.

use crate::installation::{address, one_of, span, text, whole};
use crate::layers::{Reader, Section};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The most members of a group: a proposal names them all.
const MOST_MEMBERS: usize = 1000;
/// Below this a lease is out before words that were lost are said again.
const SHORTEST_LEASE: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug, PartialEq)]
pub struct Accord {
    /// Where it hears the other members.
    pub listen: SocketAddr,
    /// A folder of this scheduler alone, in which it keeps what it must not forget.
    pub folder: PathBuf,
    /// Who founds the group, by name and the address that the others know; counts until it is founded.
    pub members: Vec<(String, SocketAddr)>,
    /// How many of them decide.
    pub voters: usize,
    /// How long a member serves on the voters' word.
    pub lease: Duration,
    /// How long a proposal waits for members that do not answer.
    pub patience: Duration,
    /// A member whose lease is out goes on with what it has, instead of turning tasks away.
    pub serves_cut_off: bool,
}

pub(crate) fn accord<'t>(
    r: &mut Reader<'t>,
    top: &mut Section<'t>,
    own: &str,
    folder: &Path,
) -> Option<Accord> {
    let mut s = r.section(top, "accord");
    let there = s.table.is_some();
    let place = s.place.clone();
    let listen = r.optional(&mut s, "listen", address);
    let kept = r.optional(&mut s, "folder", text).map(|path| folder.join(path));
    let mut members: Vec<(String, SocketAddr)> = Vec::new();
    for (word, place) in r.words(&mut s, "members") {
        let parted = word.split_once('=').map(|(name, at)| (name.trim(), at.trim().parse()));
        match parted {
            Some((name, Ok(at))) if members.iter().any(|(known, to)| known == name || *to == at) => {
                r.problem(&place, format!("{name}={at}: its name or address stands here already"));
            }
            Some((name, Ok(at))) if !name.is_empty() => members.push((name.into(), at)),
            _ => r.problem(&place, format!("{word:?}; name=address:port was expected")),
        }
    }
    let voters = r.value(&mut s, "voters", whole(1, 15), "5") as usize;
    let lease = r.value(&mut s, "lease", span(SHORTEST_LEASE), "6s");
    let patience = r.value(&mut s, "wait-for-members", span(Duration::from_millis(100)), "2s");
    let cut_off = [("wait", false), ("last-known", true)];
    let serves_cut_off = r.value(&mut s, "cut-off", one_of(&cut_off), "wait");
    r.close(&s);
    if !there {
        return None;
    }
    if !members.is_empty() && !members.iter().any(|(name, _)| name == own) {
        r.problem(&place, format!("accord.members does not name {own:?}, which is this scheduler's name"));
    }
    if members.len() > MOST_MEMBERS {
        r.problem(&place, format!("accord.members names {}; {MOST_MEMBERS} at the most", members.len()));
    }
    let (Some(listen), Some(folder)) = (listen, kept) else {
        r.problem(&place, "accord.listen and accord.folder were expected");
        return None;
    };
    Some(Accord { listen, folder, members, voters, lease, patience, serves_cut_off })
}

#[cfg(test)]
mod tests {
    use crate::{parse, Layers};
    use std::path::Path;
    use std::time::Duration;

    const REST: &str =
        "name = \"n0\"\ndiscovery = \"127.0.0.1:1\"\n[[workload]]\nname = \"x\"\neffect = \"idempotent\"\n\
                        promised = \"1s\"\nhard-limit = \"2s\"\n";

    fn problems(section: &str) -> String {
        let read = parse(Path::new("n0.toml"), &format!("{REST}{section}"), &Layers::default());
        read.map(|_| Vec::new()).unwrap_or_else(|lines| lines).join("\n")
    }

    /// Guards against a group that is on though nobody asked for it, and against members that are not who was meant.
    #[test]
    fn it_is_off_unless_told_and_every_problem_has_its_place() {
        let read = |text: &str| parse(Path::new("n0.toml"), text, &Layers::default()).expect("a berth").0;
        assert_eq!(read(REST).accord, None);
        let section =
            "[accord]\nlisten = \"127.0.0.1:7300\"\nfolder = \"kept\"\nmembers = [\"n0=127.0.0.1:7300\"]\n";
        let accord = read(&format!("{REST}{section}")).accord.expect("an accord");
        assert_eq!((accord.lease, accord.voters), (Duration::from_secs(6), 5));
        assert_eq!(accord.folder, Path::new("kept"));
        let cases = [
            ("[accord]\nlisten = \"127.0.0.1:7300\"\n", "n0.toml:8:2: accord.listen and accord.folder"),
            (&section.replace("n0=", "n1="), "n0.toml:8:2: accord.members does not name \"n0\""),
            (&section.replace("n0=", "n0 "), "name=address:port was expected"),
            (&section.replace("7300\"]", "7300\", \"n0=127.0.0.1:7301\"]"), "stands here already"),
            (&format!("{section}lease = \"1s\"\n"), "too short"),
            (&format!("{section}cut-off = \"serve\"\n"), "one of wait, last-known"),
        ];
        for (section, expected) in cases {
            let said = problems(section);
            assert!(said.contains(expected), "{section}: {said}");
        }
    }
}
