//! The command line.

use clap::{Parser, ValueEnum};
use std::path::PathBuf;

#[derive(Parser)]
#[command(about = "Measures how the nodes of a fleet behave together, and prints tables")]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// A program of version 0.2.0 or before, measured in turn with it.
    #[arg(long = "before", value_name = "PROGRAM")]
    pub legacy_program: Option<PathBuf>,
    /// An earlier program with the same configuration, measured in turn with it after losses of power and of zones.
    #[arg(long = "earlier", value_name = "PROGRAM")]
    pub earlier_program: Option<PathBuf>,
    /// Seed of the clients' choices in the measurements of losses of power and of zones.
    #[arg(long, default_value_t = 11)]
    pub seed: u64,
    /// Sizes of the fleet in the measurements of losses of power and of zones.
    #[arg(long = "daemons", value_name = "NODES", value_delimiter = ',', default_value = "3,5,12")]
    pub nodes: Vec<usize>,
    /// Print figures for each half second after a loss of power.
    #[arg(long)]
    pub trace: bool,
    /// Measure losses of power only with endpoints that lose it too and start cold, or only without.
    #[arg(long)]
    pub cold: Option<bool>,
    /// The measurements; all but `calm` if none is named.
    #[arg(long = "what", value_name = "MEASUREMENT", value_enum)]
    pub measurements: Vec<Measurement>,
    /// How often a measurement that takes a median is repeated; the count of seeds of `calm`.
    #[arg(long = "times", value_name = "COUNT", default_value_t = 20)]
    pub repetitions: usize,
    /// Where nodes keep their files.
    #[arg(long, default_value = "target/tmp")]
    pub folder: PathBuf,
}

impl Options {
    /// Whether a measurement is wanted. That of calm fleets takes long, and is made only when it is named.
    pub fn selects(&self, measurement: Measurement) -> bool {
        let by_default = self.measurements.is_empty() && measurement != Measurement::Calm;
        by_default || self.measurements.contains(&measurement)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// From an operator's drain until all nodes act on it.
    #[value(name = "drain")]
    DrainPropagation,
    /// From the kill of a leader until there is another one.
    #[value(name = "leader")]
    LeaderElection,
    /// Traffic, CPU time and memory at rest with many endpoints, and the start with very many.
    Idle,
    /// The start of a node that missed many changes.
    CatchUp,
    /// Latency and throughput of the SPARQL front.
    Front,
    /// What is written to the disk in service and at rest.
    Disk,
    /// A loss of power of all nodes, until they serve as before.
    #[value(name = "power")]
    PowerLoss,
    /// A zone that falls silent and comes back cold.
    #[value(name = "zone")]
    ZoneFailure,
    /// Zones that are evacuated although none of them failed, by seed.
    Calm,
}

impl Measurement {
    /// All measurements, in the order in which they are made.
    pub const ORDER: [Measurement; 9] = [
        Measurement::Front,
        Measurement::DrainPropagation,
        Measurement::LeaderElection,
        Measurement::PowerLoss,
        Measurement::ZoneFailure,
        Measurement::Calm,
        Measurement::Disk,
        Measurement::Idle,
        Measurement::CatchUp,
    ];
}
