//! The pooler's program.

fn main() {}
