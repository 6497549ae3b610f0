//! The settings of the group that agrees on a policy: `[accord]`.

use crate::installation::{address, integer, one_of, span, text};
use crate::layers::{Reader, Section};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Limit for the members of a group: a proposal names them all.
const MAX_MEMBERS: usize = 1000;
/// A shorter lease would expire before lost messages are sent again.
const MIN_LEASE: Duration = Duration::from_millis(1500);

#[derive(Clone, Debug, PartialEq)]
pub struct AgreementSettings {
    /// The address at which it receives messages of the other members.
    pub listen: SocketAddr,
    /// A folder for this scheduler alone, which holds its durable state.
    pub folder: PathBuf,
    /// The founding members, by name and the address that the others use; ignored once the group is founded.
    pub members: Vec<(String, SocketAddr)>,
    /// The number of members that vote.
    pub voters: usize,
    /// How long a member serves after the voters have renewed its lease.
    pub lease: Duration,
    /// How long a proposal waits for members that do not respond.
    pub member_timeout: Duration,
    /// A member whose lease has expired keeps serving with its last policy, instead of rejecting tasks.
    pub serves_without_lease: bool,
}

pub(crate) fn agreement<'t>(
    r: &mut Reader<'t>,
    top: &mut Section<'t>,
    local_name: &str,
    folder: &Path,
) -> Option<AgreementSettings> {
    let mut s = r.section(top, "accord");
    let there = s.table.is_some();
    let place = s.place.clone();
    let listen = r.optional(&mut s, "listen", address);
    let state_folder = r.optional(&mut s, "folder", text).map(|path| folder.join(path));
    let mut members: Vec<(String, SocketAddr)> = Vec::new();
    for (member, place) in r.strings(&mut s, "members") {
        let pair = member.split_once('=').map(|(name, at)| (name.trim(), at.trim().parse()));
        match pair {
            Some((name, Ok(at))) if members.iter().any(|(known, to)| known == name || *to == at) => {
                r.problem(&place, format!("{name}={at}: its name or address is listed twice"));
            }
            Some((name, Ok(at))) if !name.is_empty() => members.push((name.into(), at)),
            _ => r.problem(&place, format!("{member:?}; name=address:port was expected")),
        }
    }
    let voters = r.value(&mut s, "voters", integer(1, 15), "5") as usize;
    let lease = r.value(&mut s, "lease", span(MIN_LEASE), "6s");
    let member_timeout = r.value(&mut s, "wait-for-members", span(Duration::from_millis(100)), "2s");
    let cut_off = [("wait", false), ("last-known", true)];
    let serves_without_lease = r.value(&mut s, "cut-off", one_of(&cut_off), "wait");
    r.reject_unknown_keys(&s);
    if !there {
        return None;
    }
    if !members.is_empty() && !members.iter().any(|(name, _)| name == local_name) {
        r.problem(
            &place,
            format!("accord.members does not name {local_name:?}, which is this scheduler's name"),
        );
    }
    if members.len() > MAX_MEMBERS {
        r.problem(&place, format!("accord.members names {}; {MAX_MEMBERS} at the most", members.len()));
    }
    let (Some(listen), Some(folder)) = (listen, state_folder) else {
        r.problem(&place, "accord.listen and accord.folder were expected");
        return None;
    };
    Some(AgreementSettings { listen, folder, members, voters, lease, member_timeout, serves_without_lease })
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

    /// Guards against a group that is on without being configured, and against members other than those
    /// intended.
    #[test]
    fn agreement_is_off_by_default_and_problems_have_their_place() {
        let read =
            |text: &str| parse(Path::new("n0.toml"), text, &Layers::default()).expect("a configuration").0;
        assert_eq!(read(REST).agreement, None);
        let section =
            "[accord]\nlisten = \"127.0.0.1:7300\"\nfolder = \"kept\"\nmembers = [\"n0=127.0.0.1:7300\"]\n";
        let agreement = read(&format!("{REST}{section}")).agreement.expect("an accord");
        assert_eq!((agreement.lease, agreement.voters), (Duration::from_secs(6), 5));
        assert_eq!(agreement.folder, Path::new("kept"));
        let cases = [
            ("[accord]\nlisten = \"127.0.0.1:7300\"\n", "n0.toml:8:2: accord.listen and accord.folder"),
            (&section.replace("n0=", "n1="), "n0.toml:8:2: accord.members does not name \"n0\""),
            (&section.replace("n0=", "n0 "), "name=address:port was expected"),
            (&section.replace("7300\"]", "7300\", \"n0=127.0.0.1:7301\"]"), "is listed twice"),
            (&format!("{section}lease = \"1s\"\n"), "too short"),
            (&format!("{section}cut-off = \"serve\"\n"), "one of wait, last-known"),
        ];
        for (section, expected) in cases {
            let output = problems(section);
            assert!(output.contains(expected), "{section}: {output}");
        }
    }
}
