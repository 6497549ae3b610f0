//! A YAML document as a tree whose nodes know their places. Bounded on the way: depth, nodes, and what aliases expand to.

use crate::entry::{Place, Problem};
use saphyr_parser::{Event, Parser, ScalarStyle, Span};
use std::collections::HashMap;
use std::rc::Rc;

/// Deeper than groups in groups are kept by hand; guards the stack.
const MOST_DEPTH: usize = 64;
/// Nodes of a document, aliases expanded. Guards against aliases of aliases that explode.
const MOST_NODES: usize = 4_000_000;

#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub place: Place,
    pub is: Is,
    /// Nodes in it, itself included, aliases expanded.
    size: usize,
}

#[derive(Clone, Debug)]
pub(crate) enum Is {
    /// A key without a value, `~` or `null`.
    Nothing,
    Word(String),
    List(Vec<Rc<Node>>),
    /// In the order of the file; no key stands twice.
    Map(Vec<(Word, Rc<Node>)>),
}

#[derive(Clone, Debug)]
pub(crate) struct Word {
    pub text: String,
    pub place: Place,
}

impl Node {
    pub fn what(&self) -> &'static str {
        match self.is {
            Is::Nothing => "nothing",
            Is::Word(_) => "a word",
            Is::List(_) => "a list",
            Is::Map(_) => "a mapping",
        }
    }

    /// Its keys and values; none of a node that is empty.
    pub fn map(&self, expected: &str) -> Result<&[(Word, Rc<Node>)], Problem> {
        match &self.is {
            Is::Map(rows) => Ok(rows),
            Is::Nothing => Ok(&[]),
            _ => Err(self.place.problem(format!("{}; {expected} expected", self.what()))),
        }
    }
}

/// A mapping's rows so far, and the key whose value is to come.
type Rows = (Vec<(Word, Rc<Node>)>, Option<Word>);

/// A list or mapping that is not closed yet.
struct Open {
    place: Place,
    anchor: usize,
    size: usize,
    list: Vec<Rc<Node>>,
    map: Option<Rows>,
    lines: HashMap<String, usize>,
}

struct Building {
    start: Place,
    open: Vec<Open>,
    anchors: HashMap<usize, Rc<Node>>,
    root: Option<Rc<Node>>,
    nodes: usize,
}

pub(crate) fn parse(name: &str, text: &str) -> Result<Rc<Node>, Problem> {
    let start = Place::start(name);
    let mut building =
        Building { start: start.clone(), open: Vec::new(), anchors: HashMap::new(), root: None, nodes: 0 };
    let mut parser = Parser::new_from_str(text);
    loop {
        match parser.next_event() {
            None => break,
            Some(Ok((Event::StreamEnd, _))) => break,
            Some(Ok((event, span))) => building.take(event, span)?,
            Some(Err(e)) => {
                let mark = e.marker();
                let place = Place { line: mark.line().max(1), column: mark.col() + 1, ..start };
                return Err(place.problem(format!("no YAML that can be read: {}", e.info())));
            }
        }
    }
    building.root.ok_or_else(|| start.problem("holds no document"))
}

impl Building {
    fn place(&self, span: Span) -> Place {
        Place { line: span.start.line().max(1), column: span.start.col() + 1, ..self.start.clone() }
    }

    fn take(&mut self, event: Event, span: Span) -> Result<(), Problem> {
        let place = self.place(span);
        match event {
            Event::DocumentStart(_) if self.root.is_some() => {
                Err(place.problem("another document; one a file was expected"))
            }
            Event::Scalar(text, style, anchor, tag) => {
                if tag.is_some() {
                    return Err(place.problem("a tag; plain values were expected"));
                }
                let plain = style == ScalarStyle::Plain;
                let empty = plain && matches!(&*text, "" | "~" | "null" | "Null" | "NULL");
                let is = if empty { Is::Nothing } else { Is::Word(text.into_owned()) };
                self.add(anchor, Node { place, is, size: 1 })
            }
            Event::SequenceStart(anchor, tag) | Event::MappingStart(anchor, tag) if tag.is_some() => {
                let _ = anchor;
                Err(place.problem("a tag; plain values were expected"))
            }
            Event::SequenceStart(anchor, _) => self.begin(place, anchor, false),
            Event::MappingStart(anchor, _) => self.begin(place, anchor, true),
            Event::SequenceEnd | Event::MappingEnd => match self.open.pop() {
                None => Err(place.problem("an end without a beginning")),
                Some(done) => {
                    let is = match done.map {
                        Some((rows, _)) => Is::Map(rows),
                        None => Is::List(done.list),
                    };
                    self.add(done.anchor, Node { place: done.place, is, size: done.size })
                }
            },
            Event::Alias(anchor) => {
                let Some(node) = self.anchors.get(&anchor).cloned() else {
                    return Err(place.problem("an alias of what is not whole yet"));
                };
                self.put(node, &place)
            }
            _ => Ok(()),
        }
    }

    fn begin(&mut self, place: Place, anchor: usize, map: bool) -> Result<(), Problem> {
        if self.open.len() >= MOST_DEPTH {
            return Err(place.problem(format!("nested deeper than {MOST_DEPTH}")));
        }
        if let Some(Open { map: Some((_, None)), .. }) = self.open.last() {
            return Err(place.problem("a list or a mapping as a key; a word was expected"));
        }
        let map = map.then(|| (Vec::new(), None));
        self.open.push(Open { place, anchor, size: 1, list: Vec::new(), map, lines: HashMap::new() });
        Ok(())
    }

    fn add(&mut self, anchor: usize, node: Node) -> Result<(), Problem> {
        let (node, place) = (Rc::new(node.clone()), node.place);
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        self.put(node, &place)
    }

    fn put(&mut self, node: Rc<Node>, place: &Place) -> Result<(), Problem> {
        self.nodes += 1;
        let Some(open) = self.open.last_mut() else {
            self.root = Some(node);
            return Ok(());
        };
        open.size += node.size;
        if open.size > MOST_NODES || self.nodes > MOST_NODES {
            return Err(place.problem(format!("more than {MOST_NODES} values, aliases expanded")));
        }
        let Some((rows, key)) = &mut open.map else {
            open.list.push(node);
            return Ok(());
        };
        match key.take() {
            Some(word) => rows.push((word, node)),
            None => {
                let text = match &node.is {
                    Is::Word(text) if text == "<<" => {
                        return Err(place.problem("a merge key; write the values out"));
                    }
                    Is::Word(text) => text.clone(),
                    _ => return Err(place.problem(format!("{} as a key; a word was expected", node.what()))),
                };
                if let Some(first) = open.lines.insert(text.clone(), place.line) {
                    return Err(
                        place.problem(format!("key {text:?} again; it stands in line {first} already"))
                    );
                }
                *key = Some(Word { text, place: place.clone() });
            }
        }
        Ok(())
    }
}
