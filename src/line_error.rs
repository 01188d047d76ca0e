//! An error in a text file, with its line number.

use thiserror::Error;

/// A problem in a configuration or inventory file. Printed as `line N: PROBLEM`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct LineError<P> {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong in this line.
    pub problem: P,
}

impl<P> LineError<P> {
    /// Creates an error for the given line, counted from 1.
    pub fn new(line: usize, problem: impl Into<P>) -> LineError<P> {
        LineError { line, problem: problem.into() }
    }

    /// Converts the problem to that of an enclosing file format and keeps the line.
    pub fn convert_problem<Q: From<P>>(self) -> LineError<Q> {
        LineError { line: self.line, problem: self.problem.into() }
    }
}
