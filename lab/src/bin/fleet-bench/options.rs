//! The command line.

use clap::{Parser, ValueEnum};
use std::path::PathBuf;

#[derive(Parser)]
#[command(about = "Measures the behavior of a fleet and prints the figures as a Markdown table")]
pub struct Options {
    /// The program to measure.
    pub program: PathBuf,
    /// A program of version 0.2.0 or older to compare with.
    #[arg(long = "before", value_name = "PROGRAM")]
    pub legacy_program: Option<PathBuf>,
    /// An earlier program with the same configuration, to compare with after losses of power and of zones.
    #[arg(long = "earlier", value_name = "PROGRAM")]
    pub earlier_program: Option<PathBuf>,
    /// Seed of the clients' random choices in the measurements of losses of power and of zones.
    #[arg(long, default_value_t = 11)]
    pub seed: u64,
    /// Numbers of nodes in the measurements of losses of power and of zones.
    #[arg(long = "daemons", value_name = "NODES", value_delimiter = ',', default_value = "3,5,12")]
    pub nodes: Vec<usize>,
    /// Also print the figures of each half second after a loss of power.
    #[arg(long)]
    pub trace: bool,
    /// Measure losses of power only with endpoints that lose power too and start cold (true), or only with endpoints
    /// that stay up (false).
    #[arg(long)]
    pub cold: Option<bool>,
    /// The measurements to make; all except `calm` by default.
    #[arg(long = "what", value_name = "MEASUREMENT", value_enum)]
    pub measurements: Vec<Measurement>,
    /// Number of repetitions of a measurement whose median is reported; the number of seeds of `calm`.
    #[arg(long = "times", value_name = "COUNT", default_value_t = 20)]
    pub repetitions: usize,
    /// The folder for the nodes' files.
    #[arg(long, default_value = "target/tmp")]
    pub folder: PathBuf,
}

impl Options {
    /// Whether a measurement is to be made. The one of spurious zone changes takes long and must be requested by name.
    pub fn selects(&self, measurement: Measurement) -> bool {
        let by_default = self.measurements.is_empty() && measurement != Measurement::SpuriousZoneChanges;
        by_default || self.measurements.contains(&measurement)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Measurement {
    /// Time from an operator's drain until all nodes apply it.
    #[value(name = "drain")]
    DrainPropagation,
    /// Time from the kill of a leader until there is a new one.
    #[value(name = "leader")]
    LeaderElection,
    /// Traffic, CPU time and memory of an idle fleet with 2,000 endpoints, and the start with 10,000.
    Idle,
    /// Start of a node that missed 10,000 changes.
    CatchUp,
    /// Latency and throughput of the SPARQL front.
    Front,
    /// Disk writes under load and idle.
    Disk,
    /// Recovery of service after a loss of power of all nodes.
    #[value(name = "power")]
    PowerLoss,
    /// A zone whose endpoints stop answering and later restart cold.
    #[value(name = "zone")]
    ZoneFailure,
    /// Changes of zone weights although no zone failed, by seed.
    #[value(name = "calm")]
    SpuriousZoneChanges,
}

impl Measurement {
    /// All measurements, in the order in which they are made.
    pub const ORDER: [Measurement; 9] = [
        Measurement::Front,
        Measurement::DrainPropagation,
        Measurement::LeaderElection,
        Measurement::PowerLoss,
        Measurement::ZoneFailure,
        Measurement::SpuriousZoneChanges,
        Measurement::Disk,
        Measurement::Idle,
        Measurement::CatchUp,
    ];
}
