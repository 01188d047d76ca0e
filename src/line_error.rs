//! An error in a text file, with the line where it was found.

use thiserror::Error;

/// A problem in a configuration or inventory file. Printed as `line N: PROBLEM`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct LineError<P> {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong there.
    pub problem: P,
}

impl<P> LineError<P> {
    /// A problem found at `line`, counted from 1.
    pub fn new(line: usize, problem: impl Into<P>) -> LineError<P> {
        LineError { line, problem: problem.into() }
    }

    /// The same error as one of a file format that contains this one.
    pub fn convert_problem<Q: From<P>>(self) -> LineError<Q> {
        LineError { line: self.line, problem: self.problem.into() }
    }
}
