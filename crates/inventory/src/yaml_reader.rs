//! Reads YAML in the format of configuration tools: groups with `hosts`, `children` and `vars`; or a list of
//! workers.

use crate::columns::{Columns, Value};
use crate::entry::{ok_if_none, Entry, Place, Problem};
use crate::ranges;
use crate::yaml_tree::{self, Content, Node, Scalar};
use crate::MAX_ENTRIES;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

type Vars = BTreeMap<&'static str, Value>;

pub(crate) fn read(name: &str, text: &str, columns: &Columns) -> Result<Vec<Entry>, Vec<Problem>> {
    let start = Place::start(name);
    let root = yaml_tree::parse(name, text).map_err(|problem| vec![problem])?;
    match &root.content {
        Content::List(workers) => worker_list(workers, columns),
        Content::Map(rows) => {
            if let [(only, node)] = &rows[..] {
                if let ("workers", Content::List(workers)) = (only.text.as_str(), &node.content) {
                    return worker_list(workers, columns);
                }
            }
            Groups::new(columns, start).read(rows)
        }
        _ => Err(vec![root.place.problem("neither groups nor a list of workers")]),
    }
}

/// Reads a list of workers, each with all of its fields.
fn worker_list(workers: &[Rc<Node>], columns: &Columns) -> Result<Vec<Entry>, Vec<Problem>> {
    let (mut entries, mut problems) = (Vec::new(), Vec::new());
    for worker in workers.iter().take(MAX_ENTRIES + 1) {
        let mut values = Vars::new();
        match worker.map("a worker's fields") {
            Err(problem) => problems.push(problem),
            Ok(rows) => {
                collect_vars(rows, columns, &mut values, &mut problems);
                entries.extend(columns.entry(&values, &worker.place, &mut problems));
            }
        }
    }
    if workers.len() > MAX_ENTRIES {
        let place = &workers[MAX_ENTRIES].place;
        problems.push(place.problem(format!("too many workers; the maximum is {MAX_ENTRIES}")));
    }
    ok_if_none(problems, entries)
}

/// Collects the variables that are fields of a worker; others, which tools keep there as well, are ignored.
fn collect_vars(
    rows: &[(Scalar, Rc<Node>)],
    columns: &Columns,
    into: &mut Vars,
    problems: &mut Vec<Problem>,
) {
    for (key, node) in rows {
        let Some(field) = columns.field(&key.text) else { continue };
        match &node.content {
            Content::Scalar(text) => {
                drop(into.insert(field, Value { text: text.clone(), place: node.place.clone() }))
            }
            Content::Null => {}
            _ => problems.push(node.place.problem(format!(
                "{} for {}; a scalar was expected",
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
    /// Hosts by name, with their variables in this group.
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

    fn read(mut self, rows: &[(Scalar, Rc<Node>)]) -> Result<Vec<Entry>, Vec<Problem>> {
        for (name, node) in rows {
            if let Err(problem) = self.group(name, node) {
                self.problems.push(problem);
            }
        }
        // Every group is a descendant of `all`, even if the file does not say so.
        if self.groups.contains_key("all") {
            let roots: Vec<String> = self
                .groups
                .iter()
                .filter(|(n, g)| *n != "all" && g.parents.is_empty())
                .map(|(n, _)| n.clone())
                .collect();
            for root in roots {
                self.add_child("all", &root);
            }
        }
        let depths = self.depths();
        if !self.problems.is_empty() {
            return Err(self.problems);
        }
        self.entries(&depths)
    }

    fn add_child(&mut self, parent: &str, child: &str) {
        self.groups.entry(parent.into()).or_default().children.push(child.into());
        self.groups.entry(child.into()).or_default().parents.push(parent.into());
    }

    /// Reads a group. Its parts may be in several places and are merged; a variable must not have two
    /// different values.
    fn group(&mut self, name: &Scalar, node: &Node) -> Result<(), Problem> {
        self.groups.entry(name.text.clone()).or_default();
        for (key, part) in node.map("a group's hosts, children or vars")? {
            match key.text.as_str() {
                "hosts" => self.hosts(&name.text, part)?,
                "vars" => {
                    let mut values = Vars::new();
                    collect_vars(part.map("variables")?, self.columns, &mut values, &mut self.problems);
                    let group = self.groups.entry(name.text.clone()).or_default();
                    for (field, value) in values {
                        let before = group.vars.insert(field, value.clone());
                        if let Some(before) = before.filter(|before| before.text != value.text) {
                            let (column, line) = (self.columns.column(field), before.place.line);
                            self.problems.push(value.place.problem(format!(
                                "{column} of group {:?} has different values; the first is in line {line}",
                                name.text
                            )));
                        }
                    }
                }
                "children" => {
                    for (child, part) in part.map("groups")? {
                        self.add_child(&name.text, &child.text);
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
            let mut values = Vars::new();
            collect_vars(part.map("a host's variables")?, self.columns, &mut values, &mut self.problems);
            let list = &mut self.groups.entry(group.into()).or_default().hosts;
            list.extend(names.into_iter().map(|name| (name, pattern.place.clone(), values.clone())));
        }
        Ok(())
    }

    /// The depth of each group, by the longest path to it; groups that contain each other are a problem.
    fn depths(&mut self) -> HashMap<String, usize> {
        let mut depths: HashMap<String, usize> = HashMap::new();
        let mut open_parents: HashMap<&str, usize> =
            self.groups.iter().map(|(name, group)| (name.as_str(), group.parents.len())).collect();
        let mut next: Vec<&str> =
            open_parents.iter().filter(|(_, n)| **n == 0).map(|(name, _)| *name).collect();
        depths.extend(next.iter().map(|name| (name.to_string(), 0)));
        while let Some(name) = next.pop() {
            let depth = depths[name];
            for child in &self.groups[name].children {
                let at = depths.entry(child.clone()).or_default();
                *at = (*at).max(depth + 1);
                let left = open_parents.get_mut(child.as_str()).expect("every child is a group");
                *left -= 1;
                if *left == 0 {
                    next.push(child);
                }
            }
        }
        let cyclic: Vec<&str> =
            open_parents.into_iter().filter(|(_, n)| *n > 0).map(|(name, _)| name).collect();
        if !cyclic.is_empty() {
            let mut names: Vec<String> = cyclic.iter().map(|name| format!("{name:?}")).collect();
            names.sort_unstable();
            self.problems
                .push(self.start.problem(format!("groups that contain each other: {}", names.join(", "))));
        }
        depths
    }

    /// Makes one entry per host. A variable of the host has precedence, then that of the deepest group.
    fn entries(mut self, depths: &HashMap<String, usize>) -> Result<Vec<Entry>, Vec<Problem>> {
        let mut order: Vec<&String> = Vec::new();
        let mut seen: HashMap<&String, (Place, Vars, BTreeSet<&str>)> = HashMap::new();
        let mut problems = std::mem::take(&mut self.problems);
        for (group, name, place, values) in
            self.groups.iter().flat_map(|(g, group)| group.hosts.iter().map(move |(n, p, v)| (g, n, p, v)))
        {
            let (first, local, groups) = seen.entry(name).or_insert_with(|| {
                order.push(name);
                (place.clone(), Vars::new(), BTreeSet::new())
            });
            if !groups.insert(group) {
                problems.push(
                    place.problem(format!("duplicate host {name:?}; first defined in line {}", first.line)),
                );
            }
            for (field, value) in values {
                let before = local.insert(field, value.clone());
                if let Some(before) = before.filter(|before| before.text != value.text) {
                    let (column, line) = (self.columns.column(field), before.place.line);
                    let again = format!(
                        "{column} of host {name:?} has different values; the first is in line {line}"
                    );
                    problems.push(value.place.problem(again));
                }
            }
            *first = first.clone().min(place.clone());
        }
        let mut entries = Vec::new();
        let mut inherited: HashMap<Vec<&str>, Vars> = HashMap::new();
        for name in order {
            let (place, local, groups) = &seen[name];
            let key: Vec<&str> = groups.iter().copied().collect();
            let from =
                inherited.entry(key).or_insert_with_key(|key| self.inherit(key, depths, &mut problems));
            let mut values = from.clone();
            // An address of the host replaces a host or port of its groups, and the other way round.
            if local.contains_key("address") {
                values.retain(|field, _| !matches!(*field, "host" | "port"));
            } else if local.contains_key("host") || local.contains_key("port") {
                values.remove("address");
            }
            values.extend(local.iter().map(|(field, value)| (*field, value.clone())));
            values.entry("name").or_insert_with(|| Value { text: name.clone(), place: place.clone() });
            entries.extend(self.columns.entry(&values, place, &mut problems));
        }
        entries.sort_by(|a, b| a.place.cmp(&b.place));
        ok_if_none(problems, entries)
    }

    /// The variables of a host's groups and their ancestors: deeper groups take precedence, groups of one
    /// depth must agree.
    fn inherit(&self, groups: &[&str], depths: &HashMap<String, usize>, problems: &mut Vec<Problem>) -> Vars {
        let (mut all, mut next) = (BTreeSet::new(), groups.to_vec());
        while let Some(name) = next.pop() {
            if all.insert((depths[name], name)) {
                next.extend(self.groups[name].parents.iter().map(String::as_str));
            }
        }
        let mut values: BTreeMap<&'static str, (usize, &str, Value)> = BTreeMap::new();
        for (depth, name) in all {
            for (field, value) in &self.groups[name].vars {
                match values.get(field) {
                    Some((at, other, before)) if *at == depth && before.text != value.text => {
                        let (column, line) = (self.columns.column(field), before.place.line);
                        problems.push(value.place.problem(format!(
                            "{column} in group {name:?}, and different in group {other:?} (line {line}), which is as deep"
                        )));
                    }
                    _ => drop(values.insert(field, (depth, name, value.clone()))),
                }
            }
        }
        values.into_iter().map(|(field, (_, _, value))| (field, value)).collect()
    }
}
