//! The configuration of `tindock keep`, in TOML. The keys are listed in `docs/operating/rollout.md`.

use crate::installation::{address, name, text};
use crate::layers::{Reader, Section};
use crate::toml_file;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Clone, Debug, PartialEq)]
pub struct KeeperConfig {
    pub name: String,
    /// The address at which rollouts call it.
    pub control: SocketAddr,
    /// The folder of its durable state.
    pub folder: PathBuf,
    /// The program of schedulers that were never started here.
    pub program: PathBuf,
    pub schedulers: Vec<KeptScheduler>,
}

/// One scheduler of this machine.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptScheduler {
    pub name: String,
    pub configuration: PathBuf,
    /// Its operators' addresses, used alternately: during an upgrade two processes run side by side.
    pub management: [SocketAddr; 2],
}

/// Reads the configuration of a keeper. Paths are relative to the file and returned as absolute ones: they
/// are passed to schedulers whose configurations are in other folders. Every problem is a line with its
/// place.
pub fn open(path: &Path) -> Result<KeeperConfig, Vec<String>> {
    let absolute_path = std::path::absolute(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    toml_file::open(&absolute_path, keeper)
}

fn keeper<'t>(r: &mut Reader<'t>, top: &mut Section<'t>, folder: &Path) -> Option<KeeperConfig> {
    let title = r.required(top, "name", name);
    let control = r.required(top, "control", address);
    let state_folder = r.required(top, "folder", text);
    let program = r.required(top, "program", text);
    let mut schedulers: Vec<KeptScheduler> = Vec::new();
    for mut s in r.sections(top, "scheduler") {
        let place = s.place.clone();
        let title = r.required(&mut s, "name", name);
        let configuration = r.required(&mut s, "configuration", text).map(|path| folder.join(path));
        let management = r.values(&mut s, "management", address);
        r.reject_unknown_keys(&s);
        let management = <[SocketAddr; 2]>::try_from(management);
        if management.as_ref().is_ok_and(|[one, other]| one == other) || management.is_err() {
            r.problem(&place, "management; two addresses were expected, for two processes side by side");
            continue;
        }
        let (Some(name), Some(configuration), Ok(management)) = (title, configuration, management) else {
            continue;
        };
        let in_use = |at: &SocketAddr| {
            Some(*at) == control || schedulers.iter().any(|known| known.management.contains(at))
        };
        if schedulers.iter().any(|known| known.name == name || known.configuration == configuration) {
            r.problem(&place, format!("scheduler {name:?}: its name or its file is listed twice"));
        }
        if let Some(at) = management.iter().find(|at| in_use(at)) {
            r.problem(&place, format!("scheduler {name:?}: {at} is listed twice"));
        }
        schedulers.push(KeptScheduler { name, configuration, management });
    }
    if schedulers.is_empty() {
        r.problem(&top.place.clone(), "no [[scheduler]]: there is nothing to keep");
    }
    let (folder, program) =
        (state_folder.map(|path| folder.join(path)), program.map(|path| folder.join(path)));
    Some(KeeperConfig { name: title?, control: control?, folder: folder?, program: program?, schedulers })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against two processes at one address, whose starts would fail again and again.
    #[test]
    fn problems_are_reported_with_their_place() {
        let text =
            "name = \"yard\"\ncontrol = \"127.0.0.1:7300\"\nfolder = \"keep\"\nprogram = \"tindock\"\n\
                    [[scheduler]]\nname = \"n0\"\nconfiguration = \"n0.toml\"\n\
                    management = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
        let read = |text: &str| toml_file::read("keep.toml", Path::new("dir"), text, keeper);
        let found = read(text).expect("a keeper");
        assert_eq!(found.schedulers[0].configuration, Path::new("dir/n0.toml"));
        let again = text[text.find("[[").expect("a scheduler")..].replace("n0", "n1");
        let problems = read(&(text.to_string() + &again)).expect_err("a problem");
        assert_eq!(problems.len(), 1);
        assert_eq!(problems[0].to_string(), "keep.toml:9:1: scheduler \"n1\": 127.0.0.1:1 is listed twice");
        let one = text.replace(", \"127.0.0.1:2\"", "");
        assert!(read(&one).expect_err("a problem").iter().any(|p| p.what.contains("two addresses")));
    }

    /// Guards against a relative runtime folder, which a scheduler would resolve from its own configuration's
    /// folder: with two different folders nothing can be handed over, and each upgrade loses its tasks.
    #[test]
    fn relative_paths_become_absolute() {
        let folder = std::env::temp_dir().join(format!("tindock-keeper-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let text =
            "name = \"yard\"\ncontrol = \"127.0.0.1:7300\"\nfolder = \"keep\"\nprogram = \"tindock\"\n\
                    [[scheduler]]\nname = \"n0\"\nconfiguration = \"n0.toml\"\n\
                    management = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n";
        std::fs::write(folder.join("keep.toml"), text).expect("written");
        let here = std::env::current_dir().expect("a folder");
        let up: std::path::PathBuf = here.components().skip(1).map(|_| "..").collect();
        let relative = up.join(folder.strip_prefix("/").expect("absolute")).join("keep.toml");
        let found = open(&relative).expect("a keeper");
        std::fs::remove_dir_all(&folder).expect("removed");
        for path in [&found.folder, &found.program, &found.schedulers[0].configuration] {
            assert!(path.is_absolute(), "{}", path.display());
        }
    }
}
