//! Builds the tree from the events of a YAML parser, within the limits on its size and depth.

use super::{Node, NodeKind, YamlError, YamlProblem};
use crate::config::{Limits, YamlLimits};
use saphyr_parser::{Event, Parser, ScalarStyle, StrInput};
use std::collections::BTreeMap;

/// Parses a file with a single document. An empty file yields an empty node.
///
/// # Errors
/// [`YamlError`] with the line of the problem.
pub fn parse(text: &str, limits: &Limits) -> Result<Node, YamlError> {
    let mut builder = TreeBuilder {
        parser: Parser::new_from_str(text),
        anchors: BTreeMap::new(),
        node_count: 0,
        limits: limits.yaml_limits,
    };
    let mut document = None;
    loop {
        let (event, line) = builder.next_event()?;
        match event {
            Event::StreamEnd => return Ok(document.unwrap_or(Node { line: 1, kind: NodeKind::Empty })),
            Event::StreamStart | Event::DocumentEnd | Event::Nothing => {}
            Event::DocumentStart(_) if document.is_some() => {
                return Err(YamlError::new(line, YamlProblem::SecondDocument));
            }
            Event::DocumentStart(_) => {
                let (event, line) = builder.next_event()?;
                document = Some(builder.node(event, line, 0)?);
            }
            _ => return Err(YamlError::new(line, YamlProblem::UnexpectedEvent)),
        }
    }
}

struct TreeBuilder<'a> {
    parser: Parser<'a, StrInput<'a>>,
    anchors: BTreeMap<usize, Node>,
    /// Number of nodes so far, including those of expanded aliases: a small file with aliases of aliases must not
    /// expand into a huge tree.
    node_count: usize,
    limits: YamlLimits,
}

impl<'a> TreeBuilder<'a> {
    /// The next event and its line. After the end of the input, [`Event::StreamEnd`].
    fn next_event(&mut self) -> Result<(Event<'a>, usize), YamlError> {
        match self.parser.next_event() {
            Some(Ok((event, span))) => Ok((event, span.start.line())),
            Some(Err(error)) => {
                let problem = YamlProblem::Syntax(error.info().to_string());
                Err(YamlError::new(error.marker().line(), problem))
            }
            None => Ok((Event::StreamEnd, 0)),
        }
    }

    fn count_nodes(&mut self, count: usize, line: usize) -> Result<(), YamlError> {
        self.node_count += count;
        if self.node_count > self.limits.nodes {
            return Err(YamlError::new(line, YamlProblem::TooManyNodes));
        }
        Ok(())
    }

    /// Builds the node that starts with `event`.
    fn node(&mut self, event: Event<'a>, line: usize, depth: usize) -> Result<Node, YamlError> {
        self.count_nodes(1, line)?;
        if depth > self.limits.depth {
            return Err(YamlError::new(line, YamlProblem::TooDeep));
        }
        let (kind, anchor) = match event {
            Event::Scalar(text, style, anchor, _) => (scalar(text.into_owned(), style), anchor),
            Event::SequenceStart(anchor, _) => (NodeKind::List(self.items(depth)?), anchor),
            Event::MappingStart(anchor, _) => (NodeKind::Map(self.pairs(depth)?), anchor),
            Event::Alias(anchor) => return self.alias(anchor, line),
            _ => return Err(YamlError::new(line, YamlProblem::UnexpectedEvent)),
        };
        let node = Node { line, kind };
        // The parser numbers anchors from 1; 0 stands for none.
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        Ok(node)
    }

    /// A copy of the node with this anchor, at the line of the alias.
    fn alias(&mut self, anchor: usize, line: usize) -> Result<Node, YamlError> {
        let Some(node) = self.anchors.get(&anchor).cloned() else {
            return Err(YamlError::new(line, YamlProblem::UnknownAlias));
        };
        self.count_nodes(node_count(&node), line)?;
        Ok(Node { line, ..node })
    }

    fn items(&mut self, depth: usize) -> Result<Vec<Node>, YamlError> {
        let mut items = Vec::new();
        loop {
            let (event, line) = self.next_event()?;
            if event == Event::SequenceEnd {
                return Ok(items);
            }
            items.push(self.node(event, line, depth + 1)?);
        }
    }

    fn pairs(&mut self, depth: usize) -> Result<Vec<(String, Node)>, YamlError> {
        let mut pairs: Vec<(String, Node)> = Vec::new();
        loop {
            let (event, line) = self.next_event()?;
            if event == Event::MappingEnd {
                return Ok(pairs);
            }
            let NodeKind::Scalar(key) = self.node(event, line, depth + 1)?.kind else {
                return Err(YamlError::new(line, YamlProblem::KeyNotScalar));
            };
            if pairs.iter().any(|(known, _)| *known == key) {
                return Err(YamlError::new(line, YamlProblem::DuplicateKey(key)));
            }
            let (event, line) = self.next_event()?;
            pairs.push((key, self.node(event, line, depth + 1)?));
        }
    }
}

fn scalar(text: String, style: ScalarStyle) -> NodeKind {
    let is_null = style == ScalarStyle::Plain && matches!(text.as_str(), "" | "~" | "null");
    if is_null { NodeKind::Empty } else { NodeKind::Scalar(text) }
}

fn node_count(node: &Node) -> usize {
    match &node.kind {
        NodeKind::List(items) => 1 + items.iter().map(node_count).sum::<usize>(),
        NodeKind::Map(pairs) => 1 + pairs.iter().map(|(_, value)| node_count(value)).sum::<usize>(),
        NodeKind::Empty | NodeKind::Scalar(_) => 1,
    }
}
