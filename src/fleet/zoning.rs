//! Former path of the evacuation policy, for the parts that still use it.

pub use super::zones::Leaving;
