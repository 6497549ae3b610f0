//! YAML as configuration tools keep it: groups with `hosts`, `children` and `vars`; or a plain list of workers.

use crate::columns::{Columns, Value};
use crate::entry::{ok_if_none, Entry, Place, Problem};
use crate::ranges;
use crate::yaml_tree::{self, Is, Node, Word};
use crate::MAX_ENTRIES;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

type Vars = BTreeMap<&'static str, Value>;

pub(crate) fn read(name: &str, text: &str, columns: &Columns) -> Result<Vec<Entry>, Vec<Problem>> {
    let start = Place::start(name);
    let root = yaml_tree::parse(name, text).map_err(|problem| vec![problem])?;
    match &root.is {
        Is::List(workers) => plain(workers, columns),
        Is::Map(rows) => {
            if let [(only, node)] = &rows[..] {
                if let ("workers", Is::List(workers)) = (only.text.as_str(), &node.is) {
                    return plain(workers, columns);
                }
            }
            Groups::new(columns, start).read(rows)
        }
        _ => Err(vec![root.place.problem("neither groups nor a list of workers")]),
    }
}

/// A list of workers, each with all that is said of it.
fn plain(workers: &[Rc<Node>], columns: &Columns) -> Result<Vec<Entry>, Vec<Problem>> {
    let (mut entries, mut problems) = (Vec::new(), Vec::new());
    for worker in workers.iter().take(MAX_ENTRIES + 1) {
        let mut said = Vars::new();
        match worker.map("a worker's fields") {
            Err(problem) => problems.push(problem),
            Ok(rows) => {
                vars(rows, columns, &mut said, &mut problems);
                entries.extend(columns.entry(&said, &worker.place, &mut problems));
            }
        }
    }
    if workers.len() > MAX_ENTRIES {
        let place = &workers[MAX_ENTRIES].place;
        problems.push(place.problem(format!("one worker too many: {MAX_ENTRIES} at the most")));
    }
    ok_if_none(problems, entries)
}

/// The variables among these that say something of a worker; what else tools keep there is passed over.
fn vars(rows: &[(Word, Rc<Node>)], columns: &Columns, into: &mut Vars, problems: &mut Vec<Problem>) {
    for (key, node) in rows {
        let Some(field) = columns.field(&key.text) else { continue };
        match &node.is {
            Is::Word(text) => {
                drop(into.insert(field, Value { text: text.clone(), place: node.place.clone() }))
            }
            Is::Nothing => {}
            _ => problems.push(node.place.problem(format!(
                "{} for {}; a word was expected",
                node.what(),
                key.text
            ))),
        }
    }
}

#[derive(Default)]
struct Group {
    vars: Vars,
    children: Vec<String>,
    parents: Vec<String>,
    /// Hosts by name, with what is said of them here.
    hosts: Vec<(String, Place, Vars)>,
}

struct Groups<'a> {
    columns: &'a Columns,
    start: Place,
    groups: BTreeMap<String, Group>,
    problems: Vec<Problem>,
    hosts: usize,
}

impl<'a> Groups<'a> {
    fn new(columns: &'a Columns, start: Place) -> Self {
        Groups { columns, start, groups: BTreeMap::new(), problems: Vec::new(), hosts: 0 }
    }

    fn read(mut self, rows: &[(Word, Rc<Node>)]) -> Result<Vec<Entry>, Vec<Problem>> {
        for (name, node) in rows {
            if let Err(problem) = self.group(name, node) {
                self.problems.push(problem);
            }
        }
        // All groups are in `all`, whether it is written or not.
        if self.groups.contains_key("all") {
            let orphans: Vec<String> = self
                .groups
                .iter()
                .filter(|(n, g)| *n != "all" && g.parents.is_empty())
                .map(|(n, _)| n.clone())
                .collect();
            for orphan in orphans {
                self.adopt("all", &orphan);
            }
        }
        let depths = self.depths();
        if !self.problems.is_empty() {
            return Err(self.problems);
        }
        self.entries(&depths)
    }

    fn adopt(&mut self, parent: &str, child: &str) {
        self.groups.entry(parent.into()).or_default().children.push(child.into());
        self.groups.entry(child.into()).or_default().parents.push(parent.into());
    }

    /// A group may be written in several places; its parts add up, and a variable may not be said twice differently.
    fn group(&mut self, name: &Word, node: &Node) -> Result<(), Problem> {
        self.groups.entry(name.text.clone()).or_default();
        for (key, part) in node.map("a group's hosts, children or vars")? {
            match key.text.as_str() {
                "hosts" => self.hosts(&name.text, part)?,
                "vars" => {
                    let mut said = Vars::new();
                    vars(part.map("variables")?, self.columns, &mut said, &mut self.problems);
                    let group = self.groups.entry(name.text.clone()).or_default();
                    for (field, value) in said {
                        let before = group.vars.insert(field, value.clone());
                        if let Some(before) = before.filter(|before| before.text != value.text) {
                            let (column, line) = (self.columns.column(field), before.place.line);
                            self.problems.push(value.place.problem(format!(
                                "{column} of group {:?} again and different; it stands in line {line} already",
                                name.text
                            )));
                        }
                    }
                }
                "children" => {
                    for (child, part) in part.map("groups")? {
                        self.adopt(&name.text, &child.text);
                        self.group(child, part)?;
                    }
                }
                other => {
                    return Err(key.place.problem(format!(
                        "{other:?} in group {:?}; hosts, children or vars were expected",
                        name.text
                    )));
                }
            }
        }
        Ok(())
    }

    fn hosts(&mut self, group: &str, node: &Node) -> Result<(), Problem> {
        for (pattern, part) in node.map("hosts")? {
            let names = ranges::expand(&pattern.text).map_err(|why| pattern.place.problem(why))?;
            self.hosts += names.len();
            if self.hosts > MAX_ENTRIES {
                return Err(pattern.place.problem(format!("more than {MAX_ENTRIES} hosts")));
            }
            let mut said = Vars::new();
            vars(part.map("a host's variables")?, self.columns, &mut said, &mut self.problems);
            let list = &mut self.groups.entry(group.into()).or_default().hosts;
            list.extend(names.into_iter().map(|name| (name, pattern.place.clone(), said.clone())));
        }
        Ok(())
    }

    /// How deep each group lies, by the longest way to it; groups that hold each other are a problem.
    fn depths(&mut self) -> HashMap<String, usize> {
        let mut depths: HashMap<String, usize> = HashMap::new();
        let mut open: HashMap<&str, usize> =
            self.groups.iter().map(|(name, group)| (name.as_str(), group.parents.len())).collect();
        let mut next: Vec<&str> = open.iter().filter(|(_, n)| **n == 0).map(|(name, _)| *name).collect();
        depths.extend(next.iter().map(|name| (name.to_string(), 0)));
        while let Some(name) = next.pop() {
            let depth = depths[name];
            for child in &self.groups[name].children {
                let at = depths.entry(child.clone()).or_default();
                *at = (*at).max(depth + 1);
                let left = open.get_mut(child.as_str()).expect("every child is a group");
                *left -= 1;
                if *left == 0 {
                    next.push(child);
                }
            }
        }
        let caught: Vec<&str> = open.into_iter().filter(|(_, n)| *n > 0).map(|(name, _)| name).collect();
        if !caught.is_empty() {
            let mut names: Vec<String> = caught.iter().map(|name| format!("{name:?}")).collect();
            names.sort_unstable();
            self.problems
                .push(self.start.problem(format!("groups that hold each other: {}", names.join(", "))));
        }
        depths
    }

    /// Each host once, with the deepest group's word for each variable, and its own before all.
    fn entries(mut self, depths: &HashMap<String, usize>) -> Result<Vec<Entry>, Vec<Problem>> {
        let mut order: Vec<&String> = Vec::new();
        let mut seen: HashMap<&String, (Place, Vars, BTreeSet<&str>)> = HashMap::new();
        let mut problems = std::mem::take(&mut self.problems);
        for (group, name, place, said) in
            self.groups.iter().flat_map(|(g, group)| group.hosts.iter().map(move |(n, p, v)| (g, n, p, v)))
        {
            let (first, own, groups) = seen.entry(name).or_insert_with(|| {
                order.push(name);
                (place.clone(), Vars::new(), BTreeSet::new())
            });
            if !groups.insert(group) {
                problems.push(
                    place.problem(format!("host {name:?} again; it stands in line {} already", first.line)),
                );
            }
            for (field, value) in said {
                let before = own.insert(field, value.clone());
                if let Some(before) = before.filter(|before| before.text != value.text) {
                    let (column, line) = (self.columns.column(field), before.place.line);
                    let again = format!(
                        "{column} of host {name:?} again and different; it stands in line {line} already"
                    );
                    problems.push(value.place.problem(again));
                }
            }
            *first = first.clone().min(place.clone());
        }
        let mut entries = Vec::new();
        let mut inherited: HashMap<Vec<&str>, Vars> = HashMap::new();
        for name in order {
            let (place, own, groups) = &seen[name];
            let key: Vec<&str> = groups.iter().copied().collect();
            let from =
                inherited.entry(key).or_insert_with_key(|key| self.inherit(key, depths, &mut problems));
            let mut said = from.clone();
            // A whole address of its own before a port that a group has for all, and the other way round.
            if own.contains_key("address") {
                said.retain(|field, _| !matches!(*field, "host" | "port"));
            } else if own.contains_key("host") || own.contains_key("port") {
                said.remove("address");
            }
            said.extend(own.iter().map(|(field, value)| (*field, value.clone())));
            said.entry("name").or_insert_with(|| Value { text: name.clone(), place: place.clone() });
            entries.extend(self.columns.entry(&said, place, &mut problems));
        }
        entries.sort_by(|a, b| a.place.cmp(&b.place));
        ok_if_none(problems, entries)
    }

    /// What the groups of a host, and all that hold them, say: the deepest first; two of one depth must agree.
    fn inherit(&self, groups: &[&str], depths: &HashMap<String, usize>, problems: &mut Vec<Problem>) -> Vars {
        let (mut all, mut next) = (BTreeSet::new(), groups.to_vec());
        while let Some(name) = next.pop() {
            if all.insert((depths[name], name)) {
                next.extend(self.groups[name].parents.iter().map(String::as_str));
            }
        }
        let mut said: BTreeMap<&'static str, (usize, &str, Value)> = BTreeMap::new();
        for (depth, name) in all {
            for (field, value) in &self.groups[name].vars {
                match said.get(field) {
                    Some((at, other, before)) if *at == depth && before.text != value.text => {
                        let (column, line) = (self.columns.column(field), before.place.line);
                        problems.push(value.place.problem(format!(
                            "{column} in group {name:?}, and different in group {other:?} (line {line}), which is as deep"
                        )));
                    }
                    _ => drop(said.insert(field, (depth, name, value.clone()))),
                }
            }
        }
        said.into_iter().map(|(field, (_, _, value))| (field, value)).collect()
    }
}
