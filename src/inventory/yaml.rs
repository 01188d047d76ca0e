//! Parses YAML into a tree with line numbers, so that every error can name its line.

mod parser;

use crate::line_error::LineError;
use std::str::FromStr;
use thiserror::Error;

pub use parser::parse;

/// A problem in a YAML file, with its line number.
pub type YamlError = LineError<YamlProblem>;

/// What is wrong with a YAML file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum YamlProblem {
    /// The file is not valid YAML; the text is the parser's.
    #[error("{0}")]
    Syntax(String),
    /// More nodes than [`crate::config::YamlLimits`] allows.
    #[error("the file has too many nodes")]
    TooManyNodes,
    /// More nested levels than [`crate::config::YamlLimits`] allows.
    #[error("the nesting is too deep")]
    TooDeep,
    /// An alias refers to an anchor that does not exist or comes later.
    #[error("an alias refers to an undefined anchor")]
    UnknownAlias,
    /// The parser reported an event that is not allowed at this point.
    #[error("unexpected YAML structure")]
    UnexpectedEvent,
    /// The file contains more than one document.
    #[error("the file contains a second document")]
    SecondDocument,
    /// A key is empty, a list or a mapping.
    #[error("a key is not a scalar")]
    KeyNotScalar,
    /// A mapping has two equal keys.
    #[error("{0:?} stands twice")]
    DuplicateKey(String),
    /// A mapping is required here.
    #[error("{0} is not a mapping")]
    NotMapping(String),
    /// A list is required here.
    #[error("{0} is no list")]
    NotList(String),
    /// A scalar is required here.
    #[error("{0} is not a scalar")]
    NotScalar(String),
    /// A value does not parse.
    #[error("{what}: {text:?} is no such value")]
    InvalidValue {
        /// The name of the value.
        what: String,
        /// The text that does not parse.
        text: String,
    },
}

/// A node of the YAML tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The line where the node begins, counted from 1.
    pub line: usize,
    /// The node's content.
    pub kind: NodeKind,
}

/// The content of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// No value, as in `key:`, or an explicit null.
    Empty,
    /// A scalar of any type, as text.
    Scalar(String),
    /// A sequence of nodes, in the order of the file.
    List(Vec<Node>),
    /// A mapping, in the order of the file.
    Map(Vec<(String, Node)>),
}

impl Node {
    /// Creates an error at the line of this node.
    pub fn error<P>(&self, problem: impl Into<P>) -> LineError<P> {
        LineError::new(self.line, problem)
    }

    /// The pairs of a mapping; an empty node has none. `what` names the node in the error.
    ///
    /// # Errors
    /// [`YamlProblem::NotMapping`] if this is a scalar or a list.
    pub fn map(&self, what: &str) -> Result<&[(String, Node)], YamlError> {
        match &self.kind {
            NodeKind::Map(pairs) => Ok(pairs),
            NodeKind::Empty => Ok(&[]),
            NodeKind::Scalar(_) | NodeKind::List(_) => Err(self.error(YamlProblem::NotMapping(what.into()))),
        }
    }

    /// The items of a list; an empty node has none. `what` names the node in the error.
    ///
    /// # Errors
    /// [`YamlProblem::NotList`] if this is a scalar or a mapping.
    pub fn list(&self, what: &str) -> Result<&[Node], YamlError> {
        match &self.kind {
            NodeKind::List(items) => Ok(items),
            NodeKind::Empty => Ok(&[]),
            NodeKind::Scalar(_) | NodeKind::Map(_) => Err(self.error(YamlProblem::NotList(what.into()))),
        }
    }

    /// The text of a scalar. `what` names the node in the error.
    ///
    /// # Errors
    /// [`YamlProblem::NotScalar`] if this is empty, a list or a mapping.
    pub fn scalar(&self, what: &str) -> Result<&str, YamlError> {
        match &self.kind {
            NodeKind::Scalar(text) => Ok(text),
            NodeKind::Empty | NodeKind::List(_) | NodeKind::Map(_) => {
                Err(self.error(YamlProblem::NotScalar(what.into())))
            }
        }
    }

    /// Parses a scalar as a `T`. `what` names the node in the error.
    ///
    /// # Errors
    /// [`YamlProblem::NotScalar`] if this is no scalar, [`YamlProblem::InvalidValue`] if it does not parse.
    pub fn parsed<T: FromStr>(&self, what: &str) -> Result<T, YamlError> {
        let text = self.scalar(what)?;
        let problem = || YamlProblem::InvalidValue { what: what.to_string(), text: text.to_string() };
        text.parse().map_err(|_| self.error(problem()))
    }

    /// The value of a key; `None` if the key is missing or this is not a mapping.
    pub fn get(&self, key: &str) -> Option<&Node> {
        match &self.kind {
            NodeKind::Map(pairs) => pairs.iter().find(|(name, _)| name == key).map(|(_, node)| node),
            NodeKind::Empty | NodeKind::Scalar(_) | NodeKind::List(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
