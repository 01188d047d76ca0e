//! YAML into a tree that knows lines, so that every error can name one.

mod parser;

use crate::line_error::LineError;
use std::str::FromStr;
use thiserror::Error;

pub use parser::parse;

/// A problem in a YAML file, with its line.
pub type YamlError = LineError<YamlProblem>;

/// What is wrong with a YAML file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum YamlProblem {
    /// It does not parse; the text is the parser's.
    #[error("{0}")]
    Syntax(String),
    /// More nodes than [`crate::config::YamlLimits`] allows.
    #[error("the file holds too much")]
    TooManyNodes,
    /// More nested levels than [`crate::config::YamlLimits`] allows.
    #[error("too many levels")]
    TooDeep,
    /// An alias before, or without, its anchor.
    #[error("an alias without an anchor")]
    UnknownAlias,
    /// The parser reported something else than a document's part.
    #[error("out of form")]
    UnexpectedEvent,
    /// More than one document in the file.
    #[error("a second document")]
    SecondDocument,
    /// A key that is a list or a mapping.
    #[error("a key is no single value")]
    KeyNotScalar,
    /// A key that stands twice in a mapping.
    #[error("{0:?} stands twice")]
    DuplicateKey(String),
    /// A mapping is expected here.
    #[error("{0} is no mapping")]
    NotMapping(String),
    /// A list is expected here.
    #[error("{0} is no list")]
    NotList(String),
    /// A single value is expected here.
    #[error("{0} is no single value")]
    NotScalar(String),
    /// A value that does not parse.
    #[error("{what}: {text:?} is no such value")]
    InvalidValue {
        /// What the value is for.
        what: String,
        /// The value.
        text: String,
    },
}

/// A part of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// The line where it begins, counted from 1.
    pub line: usize,
    /// Its content.
    pub kind: NodeKind,
}

/// The content of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// Nothing, as in `key:`.
    Empty,
    /// A single value, whatever its type.
    Scalar(String),
    /// A list.
    List(Vec<Node>),
    /// A mapping, in the order of the file.
    Map(Vec<(String, Node)>),
}

impl Node {
    /// An error in the line of this node.
    pub fn error<P>(&self, problem: impl Into<P>) -> LineError<P> {
        LineError::new(self.line, problem)
    }

    /// The pairs of a mapping; an empty node has none.
    ///
    /// # Errors
    /// [`YamlProblem::NotMapping`] with `what`.
    pub fn map(&self, what: &str) -> Result<&[(String, Node)], YamlError> {
        match &self.kind {
            NodeKind::Map(pairs) => Ok(pairs),
            NodeKind::Empty => Ok(&[]),
            NodeKind::Scalar(_) | NodeKind::List(_) => Err(self.error(YamlProblem::NotMapping(what.into()))),
        }
    }

    /// The items of a list; an empty node has none.
    ///
    /// # Errors
    /// [`YamlProblem::NotList`] with `what`.
    pub fn list(&self, what: &str) -> Result<&[Node], YamlError> {
        match &self.kind {
            NodeKind::List(items) => Ok(items),
            NodeKind::Empty => Ok(&[]),
            NodeKind::Scalar(_) | NodeKind::Map(_) => Err(self.error(YamlProblem::NotList(what.into()))),
        }
    }

    /// A single value.
    ///
    /// # Errors
    /// [`YamlProblem::NotScalar`] with `what`.
    pub fn scalar(&self, what: &str) -> Result<&str, YamlError> {
        match &self.kind {
            NodeKind::Scalar(text) => Ok(text),
            NodeKind::Empty | NodeKind::List(_) | NodeKind::Map(_) => {
                Err(self.error(YamlProblem::NotScalar(what.into())))
            }
        }
    }

    /// A single value of type `T`.
    ///
    /// # Errors
    /// [`YamlProblem::NotScalar`] or [`YamlProblem::InvalidValue`] with `what`.
    pub fn parsed<T: FromStr>(&self, what: &str) -> Result<T, YamlError> {
        let text = self.scalar(what)?;
        let problem = || YamlProblem::InvalidValue { what: what.to_string(), text: text.to_string() };
        text.parse().map_err(|_| self.error(problem()))
    }

    /// The node under a key of a mapping.
    pub fn get(&self, key: &str) -> Option<&Node> {
        match &self.kind {
            NodeKind::Map(pairs) => pairs.iter().find(|(name, _)| name == key).map(|(_, node)| node),
            NodeKind::Empty | NodeKind::Scalar(_) | NodeKind::List(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
