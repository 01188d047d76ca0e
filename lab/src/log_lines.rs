//! All texts of the program's log that the test kit or the tests wait for or read. A text that changes in the program
//! changes here only. Each constant is a part of one line.

/// The store's HTTP server listens; its address follows.
pub const STORE_LISTENING: &str = "store at http://";
/// The SPARQL server listens; its address follows.
pub const SPARQL_LISTENING: &str = "SPARQL at http://";
/// The operators' HTTP server listens; its address follows.
pub const ADMIN_LISTENING: &str = "operators at http://";
/// The PostgreSQL server listens; its address follows.
pub const POSTGRES_LISTENING: &str = "clients at ";
/// The first line of a process that tells it from the process before it in the same log.
pub const PROCESS_STARTED: &str = ": store at http://";

/// A process has applied a committed entry; its index, digest and content follow.
pub const ENTRY_APPLIED: &str = "fleet: agreed ";
/// The end of such a line when the entry had its effect.
pub const ENTRY_SUCCEEDED: &str = "Done";
/// A process has entries on its disk; the index of the last one follows.
pub const ENTRIES_ON_DISK: &str = "store: holds ";
/// The process serves by the last committed state, since it knows of no majority.
pub const SERVING_WITHOUT_MAJORITY: &str = "serving with the last agreed state";
/// The process starts the first election of its fleet without waiting for the election timeout.
pub const FIRST_ELECTION_STARTED: &str = "raft: election started";
/// A store file that is damaged or copied has been renamed.
pub const STORE_SET_ASIDE: &str = "set aside";
/// The same, with the new name after it.
pub const STORE_SET_ASIDE_AS: &str = "set aside as";

/// What was learned of endpoints by gossip has been written to the disk.
pub const GOSSIP_SAVED: &str = "gossip records are written to disk";
/// What was saved before the start is used as a hint; the line contains its age and [`SAVED_GOSSIP_AGE`].
pub const SAVED_GOSSIP_USED: &str = "used for first guesses";
/// The unit of the age of what was saved.
pub const SAVED_GOSSIP_AGE: &str = "ms old";
/// What was saved before the start is not used; the reason follows.
pub const SAVED_GOSSIP_REJECTED: &str = "gossip on disk is not used";
/// That reason when the clock was set.
pub const CLOCK_CHANGED: &str = "the clock";

/// Recovery has reached the phase of writes.
pub const RECOVERY_PHASE_WRITES: &str = "phase 2 of 4";
/// Recovery has reached its last phase.
pub const RECOVERY_PHASE_LAST: &str = "phase 4 of 4";

/// A node gives a zone another weight; the zone's number follows the prefix `z-` of its name, then the weight.
pub const ZONE_WEIGHT_CHANGED: &str = "zones: z-";
/// A process evacuates a zone without a majority.
pub const LOCAL_EVACUATION: &str = "local evacuation";

/// The process evacuates this zone without a majority.
pub fn local_evacuation_of(zone: &str) -> String {
    format!("zones: {LOCAL_EVACUATION} of {zone}")
}

/// An applied entry sets the weight of the zone with this number; the weight per mille follows.
pub fn zone_weight_set(zone_number: &str) -> String {
    format!("zone {zone_number} to ")
}

/// The process has received SIGTERM.
pub const SIGTERM_RECEIVED: &str = "SIGTERM";
/// Graceful shutdown has begun.
pub const DRAINING: &str = "draining";
/// All connections have been drained.
pub const DRAINED: &str = "drained";
/// SIGHUP: the configuration has been read again and names another discovery service.
pub const DISCOVERY_RELOADED: &str = "SIGHUP: discovery at";
/// SIGHUP: the configuration file is invalid and the one in use stays.
pub const CONFIGURATION_KEPT: &str = "the last good configuration stays";
/// The inventory file is invalid and the one in use stays.
pub const INVENTORY_KEPT: &str = "the last good inventory stays";
/// Long messages exceed their memory limit.
pub const LONG_MESSAGES_LIMITED: &str = "of long messages";
/// The operators' address is taken and will be used later.
pub const ADMIN_ADDRESS_BUSY: &str = "once it is free";
/// Discovery does not answer yet.
pub const DISCOVERY_AWAITED: &str = "waiting for it";
/// The level of a line that says why the program ends.
pub const ERROR_LEVEL: &str = "ERROR";
