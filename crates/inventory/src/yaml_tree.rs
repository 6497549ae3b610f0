//! Parses a YAML document into a tree of nodes with their places. Depth, number of nodes, and the expansion
//! of aliases are bounded.

use crate::entry::{Place, Problem};
use saphyr_parser::{Event, Parser, ScalarStyle, Span};
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum nesting, more than in inventories written by hand. Guards against a stack overflow.
const MAX_DEPTH: usize = 64;
/// Maximum number of nodes after expansion of aliases. Guards against aliases of aliases that grow
/// exponentially.
const MAX_NODES: usize = 4_000_000;

#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub place: Place,
    pub content: Content,
    /// Number of nodes in it, including itself, after expansion of aliases.
    size: usize,
}

#[derive(Clone, Debug)]
pub(crate) enum Content {
    /// A key without a value, `~` or `null`.
    Null,
    Scalar(String),
    List(Vec<Rc<Node>>),
    /// In the order of the file; keys are unique.
    Map(Vec<(Scalar, Rc<Node>)>),
}

#[derive(Clone, Debug)]
pub(crate) struct Scalar {
    pub text: String,
    pub place: Place,
}

impl Node {
    pub fn what(&self) -> &'static str {
        match self.content {
            Content::Null => "nothing",
            Content::Scalar(_) => "a scalar",
            Content::List(_) => "a list",
            Content::Map(_) => "a mapping",
        }
    }

    /// The keys and values of a mapping; none for an empty node.
    pub fn map(&self, expected: &str) -> Result<&[(Scalar, Rc<Node>)], Problem> {
        match &self.content {
            Content::Map(rows) => Ok(rows),
            Content::Null => Ok(&[]),
            _ => Err(self.place.problem(format!("{}; {expected} expected", self.what()))),
        }
    }
}

/// The rows of an open mapping, and the key whose value comes next.
type Rows = (Vec<(Scalar, Rc<Node>)>, Option<Scalar>);

/// A list or mapping whose end has not been parsed yet.
struct OpenNode {
    place: Place,
    anchor: usize,
    size: usize,
    list: Vec<Rc<Node>>,
    map: Option<Rows>,
    lines: HashMap<String, usize>,
}

struct Builder {
    start: Place,
    open: Vec<OpenNode>,
    anchors: HashMap<usize, Rc<Node>>,
    root: Option<Rc<Node>>,
    nodes: usize,
}

pub(crate) fn parse(name: &str, text: &str) -> Result<Rc<Node>, Problem> {
    let start = Place::start(name);
    let mut builder =
        Builder { start: start.clone(), open: Vec::new(), anchors: HashMap::new(), root: None, nodes: 0 };
    let mut parser = Parser::new_from_str(text);
    loop {
        match parser.next_event() {
            None => break,
            Some(Ok((Event::StreamEnd, _))) => break,
            Some(Ok((event, span))) => builder.handle(event, span)?,
            Some(Err(e)) => {
                let mark = e.marker();
                let place = Place { line: mark.line().max(1), column: mark.col() + 1, ..start };
                return Err(place.problem(format!("invalid YAML: {}", e.info())));
            }
        }
    }
    builder.root.ok_or_else(|| start.problem("contains no document"))
}

impl Builder {
    fn place(&self, span: Span) -> Place {
        Place { line: span.start.line().max(1), column: span.start.col() + 1, ..self.start.clone() }
    }

    fn handle(&mut self, event: Event, span: Span) -> Result<(), Problem> {
        let place = self.place(span);
        match event {
            Event::DocumentStart(_) if self.root.is_some() => {
                Err(place.problem("a second document; one per file was expected"))
            }
            Event::Scalar(text, style, anchor, tag) => {
                if tag.is_some() {
                    return Err(place.problem("a tag; plain values were expected"));
                }
                let plain = style == ScalarStyle::Plain;
                let empty = plain && matches!(&*text, "" | "~" | "null" | "Null" | "NULL");
                let content = if empty { Content::Null } else { Content::Scalar(text.into_owned()) };
                self.add(anchor, Node { place, content, size: 1 })
            }
            Event::SequenceStart(anchor, tag) | Event::MappingStart(anchor, tag) if tag.is_some() => {
                let _ = anchor;
                Err(place.problem("a tag; plain values were expected"))
            }
            Event::SequenceStart(anchor, _) => self.begin(place, anchor, false),
            Event::MappingStart(anchor, _) => self.begin(place, anchor, true),
            Event::SequenceEnd | Event::MappingEnd => match self.open.pop() {
                None => Err(place.problem("an end without a start")),
                Some(done) => {
                    let content = match done.map {
                        Some((rows, _)) => Content::Map(rows),
                        None => Content::List(done.list),
                    };
                    self.add(done.anchor, Node { place: done.place, content, size: done.size })
                }
            },
            Event::Alias(anchor) => {
                let Some(node) = self.anchors.get(&anchor).cloned() else {
                    return Err(place.problem("an alias of an unfinished node"));
                };
                self.put(node, &place)
            }
            _ => Ok(()),
        }
    }

    fn begin(&mut self, place: Place, anchor: usize, map: bool) -> Result<(), Problem> {
        if self.open.len() >= MAX_DEPTH {
            return Err(place.problem(format!("nested deeper than {MAX_DEPTH}")));
        }
        if let Some(OpenNode { map: Some((_, None)), .. }) = self.open.last() {
            return Err(place.problem("a list or a mapping as a key; a scalar was expected"));
        }
        let map = map.then(|| (Vec::new(), None));
        self.open.push(OpenNode { place, anchor, size: 1, list: Vec::new(), map, lines: HashMap::new() });
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
        if open.size > MAX_NODES || self.nodes > MAX_NODES {
            return Err(place.problem(format!("more than {MAX_NODES} values, aliases expanded")));
        }
        let Some((rows, key)) = &mut open.map else {
            open.list.push(node);
            return Ok(());
        };
        match key.take() {
            Some(key) => rows.push((key, node)),
            None => {
                let text = match &node.content {
                    Content::Scalar(text) if text == "<<" => {
                        return Err(
                            place.problem("a merge key; these are not supported, write the values out")
                        );
                    }
                    Content::Scalar(text) => text.clone(),
                    _ => {
                        return Err(place.problem(format!("{} as a key; a scalar was expected", node.what())))
                    }
                };
                if let Some(first) = open.lines.insert(text.clone(), place.line) {
                    return Err(
                        place.problem(format!("duplicate key {text:?}; first defined in line {first}"))
                    );
                }
                *key = Some(Scalar { text, place: place.clone() });
            }
        }
        Ok(())
    }
}
