//! All texts in the program's log that the test kit or the tests look for. Each constant is a part of one line. When
//! the program changes such a text, only this file has to follow.

/// The store's HTTP server listens; its address follows the text.
pub const STORE_LISTENING: &str = "store at http://";
/// The SPARQL server listens; its address follows the text.
pub const SPARQL_LISTENING: &str = "SPARQL at http://";
/// The HTTP server for operators listens; its address follows the text.
pub const ADMIN_LISTENING: &str = "operators at http://";
/// The PostgreSQL server listens; its address follows the text.
pub const POSTGRES_LISTENING: &str = "clients at ";
/// The line that every process logs once at its start, which separates it from the previous process in the same log.
pub const PROCESS_STARTED: &str = ": store at http://";

/// The node has applied a committed entry; its index, digest and content follow the text.
pub const ENTRY_APPLIED: &str = "fleet: agreed ";
/// The end of an [`ENTRY_APPLIED`] line if the entry took effect.
pub const ENTRY_SUCCEEDED: &str = "Done";
/// The node has entries on its disk; the index of the last one follows the text.
pub const ENTRIES_ON_DISK: &str = "store: holds ";
/// The node serves from the last committed state because it did not get up to date in time, as happens without a
/// majority.
pub const SERVING_WITHOUT_MAJORITY: &str = "serving with the last agreed state";
/// The node starts the first election of its fleet without waiting for the election timeout.
pub const FIRST_ELECTION_STARTED: &str = "raft: election started";
/// A store file that is damaged, or copied from another file, has been renamed.
pub const STORE_SET_ASIDE: &str = "set aside";
/// As [`STORE_SET_ASIDE`], with the new name after the text.
pub const STORE_SET_ASIDE_AS: &str = "set aside as";

/// The node's gossip records about endpoints have been written to disk.
pub const GOSSIP_SAVED: &str = "gossip records are written to disk";
/// The gossip saved before the start is used for initial estimates; the line also contains its age, followed by
/// [`SAVED_GOSSIP_AGE`].
pub const SAVED_GOSSIP_USED: &str = "used for first guesses";
/// What follows the age of the saved gossip, with its unit.
pub const SAVED_GOSSIP_AGE: &str = "ms old";
/// The gossip saved before the start is not used; the reason follows the text.
pub const SAVED_GOSSIP_REJECTED: &str = "gossip on disk is not used";
/// The reason in a [`SAVED_GOSSIP_REJECTED`] line if the clock was set.
pub const CLOCK_CHANGED: &str = "the clock";

/// Recovery has reached the phase of writes.
pub const RECOVERY_PHASE_WRITES: &str = "phase 2 of 4";
/// Recovery has reached its last phase.
pub const RECOVERY_PHASE_LAST: &str = "phase 4 of 4";

/// The node changes the weight of a zone. The text ends with the prefix `z-` of the zone's name; the rest of the name
/// and the weight follow.
pub const ZONE_WEIGHT_CHANGED: &str = "zones: z-";
/// The node evacuates a zone without a majority.
pub const LOCAL_EVACUATION: &str = "local evacuation";

/// The text that a node logs when it evacuates this zone without a majority.
pub fn local_evacuation_of(zone: &str) -> String {
    format!("zones: {LOCAL_EVACUATION} of {zone}")
}

/// The content of an applied entry that sets the weight of the zone with this number; the weight in per mille follows
/// the text.
pub fn zone_weight_set(zone_number: &str) -> String {
    format!("zone {zone_number} to ")
}

/// The process has received SIGTERM.
pub const SIGTERM_RECEIVED: &str = "SIGTERM";
/// The program has begun to drain after SIGTERM.
pub const DRAINING: &str = "draining";
/// The drain has ended; the number of connections left follows the text.
pub const DRAINED: &str = "drained";
/// On SIGHUP the configuration has been reloaded and names another discovery service.
pub const DISCOVERY_RELOADED: &str = "SIGHUP: discovery at";
/// On SIGHUP the configuration file was found invalid; the configuration in use stays.
pub const CONFIGURATION_KEPT: &str = "the last good configuration stays";
/// The inventory file is invalid; the inventory in use stays.
pub const INVENTORY_KEPT: &str = "the last good inventory stays";
/// The limits that the program logs at its start; the last one is the memory of long messages.
pub const STARTUP_LIMITS: &str = "of long messages";
/// The address for gossip of the platform's poolers is in use; the program binds it once it is free.
pub const GOSSIP_ADDRESS_BUSY: &str = "once it is free";
/// The address for clients is in use; the program waits a limited time for it.
pub const LISTEN_ADDRESS_BUSY: &str = "waiting for it";
/// The level of the line that gives the reason why the program exits.
pub const ERROR_LEVEL: &str = "ERROR";
