//! How the daemons of a fleet act together: who they are, what they agree on, what they tell one another.
//!
//! `forming`, `members` and `marks` decide and do no I/O.

pub mod forming;
pub mod marks;
pub mod members;
