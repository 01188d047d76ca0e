//! YAML into a tree that remembers lines, so that every complaint can name one.

use crate::config::Limits;
use saphyr_parser::{Event, Parser, ScalarStyle};
use std::collections::BTreeMap;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

impl Fault {
    /// A fault at a line.
    pub fn new(line: usize, text: impl Into<String>) -> Fault {
        Fault { line, text: text.into() }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.text)
    }
}

/// A part of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Where it begins.
    pub line: usize,
    /// What it is.
    pub kind: Kind,
}

/// The kinds of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Nothing, as in `key:`.
    Empty,
    /// A single value.
    Value(String),
    /// A sequence.
    List(Vec<Node>),
    /// A mapping, in the order of the file.
    Map(Vec<(String, Node)>),
}

struct Reader<'a> {
    parser: Parser<'a, saphyr_parser::StrInput<'a>>,
    anchors: BTreeMap<usize, Node>,
    nodes: usize,
    /// An alias of aliases must not grow a small file into a large tree.
    most: (usize, usize),
}

impl<'a> Reader<'a> {
    fn event(&mut self) -> Result<(Event<'a>, usize), Fault> {
        match self.parser.next_event() {
            Some(Ok((event, span))) => Ok((event, span.start.line())),
            Some(Err(e)) => Err(Fault::new(e.marker().line(), e.info())),
            None => Ok((Event::StreamEnd, 0)),
        }
    }

    fn count(&mut self, nodes: usize, line: usize) -> Result<(), Fault> {
        self.nodes += nodes;
        if self.nodes > self.most.0 { Err(Fault::new(line, "the file holds too much")) } else { Ok(()) }
    }

    fn node(&mut self, event: Event<'a>, line: usize, depth: usize) -> Result<Node, Fault> {
        self.count(1, line)?;
        if depth > self.most.1 {
            return Err(Fault::new(line, "too many levels"));
        }
        let (kind, anchor) = match event {
            Event::Scalar(text, style, anchor, _) => {
                let empty = style == ScalarStyle::Plain && matches!(text.as_ref(), "" | "~" | "null");
                (if empty { Kind::Empty } else { Kind::Value(text.into_owned()) }, anchor)
            }
            Event::SequenceStart(anchor, _) => {
                let mut items = Vec::new();
                loop {
                    match self.event()? {
                        (Event::SequenceEnd, _) => break,
                        (event, line) => items.push(self.node(event, line, depth + 1)?),
                    }
                }
                (Kind::List(items), anchor)
            }
            Event::MappingStart(anchor, _) => (Kind::Map(self.pairs(depth)?), anchor),
            Event::Alias(anchor) => {
                let node = self.anchors.get(&anchor).cloned();
                let node = node.ok_or_else(|| Fault::new(line, "an alias without an anchor"))?;
                self.count(size(&node), line)?;
                return Ok(Node { line, ..node });
            }
            _ => return Err(Fault::new(line, "out of form")),
        };
        let node = Node { line, kind };
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        Ok(node)
    }

    fn pairs(&mut self, depth: usize) -> Result<Vec<(String, Node)>, Fault> {
        let mut pairs: Vec<(String, Node)> = Vec::new();
        loop {
            let (event, line) = self.event()?;
            if event == Event::MappingEnd {
                return Ok(pairs);
            }
            let key = match self.node(event, line, depth + 1)?.kind {
                Kind::Value(key) => key,
                _ => return Err(Fault::new(line, "a key is no single value")),
            };
            if pairs.iter().any(|(k, _)| *k == key) {
                return Err(Fault::new(line, format!("{key:?} stands twice")));
            }
            let (event, line) = self.event()?;
            pairs.push((key, self.node(event, line, depth + 1)?));
        }
    }
}

fn size(node: &Node) -> usize {
    match &node.kind {
        Kind::List(items) => 1 + items.iter().map(size).sum::<usize>(),
        Kind::Map(pairs) => 1 + pairs.iter().map(|(_, n)| size(n)).sum::<usize>(),
        _ => 1,
    }
}

/// Reads a file of one document.
pub fn parse(text: &str, limits: &Limits) -> Result<Node, Fault> {
    let mut reader = Reader {
        parser: Parser::new_from_str(text),
        anchors: BTreeMap::new(),
        nodes: 0,
        most: limits.yaml_limits,
    };
    let mut document = None;
    loop {
        match reader.event()? {
            (Event::StreamEnd, _) => return Ok(document.unwrap_or(Node { line: 1, kind: Kind::Empty })),
            (Event::StreamStart | Event::DocumentEnd | Event::Nothing, _) => {}
            (Event::DocumentStart(_), line) if document.is_some() => {
                return Err(Fault::new(line, "a second document"));
            }
            (Event::DocumentStart(_), _) => {
                let (event, line) = reader.event()?;
                document = Some(reader.node(event, line, 0)?);
            }
            (_, line) => return Err(Fault::new(line, "out of form")),
        }
    }
}

impl Node {
    /// A fault at this node.
    pub fn fault(&self, text: impl Into<String>) -> Fault {
        Fault::new(self.line, text)
    }

    /// The pairs of a mapping; an empty node has none.
    pub fn map(&self, what: &str) -> Result<&[(String, Node)], Fault> {
        match &self.kind {
            Kind::Map(pairs) => Ok(pairs),
            Kind::Empty => Ok(&[]),
            _ => Err(self.fault(format!("{what} is no mapping"))),
        }
    }

    /// The items of a list; an empty node has none.
    pub fn list(&self, what: &str) -> Result<&[Node], Fault> {
        match &self.kind {
            Kind::List(items) => Ok(items),
            Kind::Empty => Ok(&[]),
            _ => Err(self.fault(format!("{what} is no list"))),
        }
    }

    /// A single value.
    pub fn value(&self, what: &str) -> Result<&str, Fault> {
        match &self.kind {
            Kind::Value(text) => Ok(text),
            _ => Err(self.fault(format!("{what} is no single value"))),
        }
    }

    /// A single value that reads as a `T`.
    pub fn parsed<T: std::str::FromStr>(&self, what: &str) -> Result<T, Fault> {
        let text = self.value(what)?;
        text.parse().map_err(|_| self.fault(format!("{what}: {text:?} is no such value")))
    }

    /// What stands under a key of a mapping.
    pub fn get(&self, key: &str) -> Option<&Node> {
        match &self.kind {
            Kind::Map(pairs) => pairs.iter().find(|(k, _)| k == key).map(|(_, n)| n),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
