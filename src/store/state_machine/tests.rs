//! Tests of the state machine, one file for each part of the state.

mod drains;
mod inventory;
mod membership;
mod zones;

use super::*;
use crate::engine::endpoints::EndpointRecord;

fn endpoint(name: &str, port: u16) -> EndpointRecord {
    EndpointRecord { address: ([127, 0, 0, 1], port).into(), ..EndpointRecord::plain(name) }
}

fn time(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Commits the inventory of a file that was last modified `changed_at_micros` microseconds after time zero and read as
/// many seconds after time zero.
fn commit_inventory(
    state: &mut ClusterState,
    index: u64,
    hosts: &[EndpointRecord],
    changed_at_micros: i64,
) -> Option<ApplyResult> {
    let now = time(1_000_000 * changed_at_micros);
    let change = state.inventory_change("a", hosts, time(changed_at_micros), now)?;
    Some(state.apply(index, &change))
}
