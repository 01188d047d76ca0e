//! Measures the behavior of a fleet, optionally comparing versions of the program, and prints the figures as rows of
//! one Markdown table.

mod calm;
mod catch_up;
mod disk;
mod drain;
mod election;
mod front;
mod idle;
mod options;
mod power;
mod table;
mod zone;

use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use clap::Parser;
use options::{Measurement, Options};
use power::PowerLoss;
use std::path::PathBuf;
use table::Rows;

/// Number of rounds of the SPARQL server's measurement, each with a different seed.
const FRONT_ROUNDS: usize = 3;

/// Runs measurements of one version of the program.
struct Bench {
    program: PathBuf,
    /// The parent folder of the clusters' files.
    folder: PathBuf,
    /// Number of repetitions of a measurement whose median is reported.
    repetitions: usize,
    /// Whether the program has version 0.2.0 or older.
    is_legacy: bool,
    /// The name of the version in the table.
    label: &'static str,
}

impl Bench {
    fn cluster(&self, config: ClusterConfig) -> TestCluster {
        let config = ClusterConfig { is_legacy: self.is_legacy, ..config };
        TestCluster::new(&self.program, &self.folder, config)
    }

    /// The table rows of a measurement; `setting` describes the clusters.
    fn rows(&self, measurement: &'static str, setting: impl Into<String>) -> Rows {
        Rows { measurement, version: self.label, setting: setting.into() }
    }
}

/// The versions of the program that are measured.
struct Versions {
    current: Bench,
    legacy: Option<Bench>,
    earlier: Option<Bench>,
}

impl Versions {
    fn new(options: &Options) -> Versions {
        let bench = |program: &PathBuf, is_legacy, label| Bench {
            program: program.clone(),
            folder: options.folder.clone(),
            repetitions: options.repetitions,
            is_legacy,
            label,
        };
        Versions {
            current: bench(&options.program, false, "now"),
            legacy: options.legacy_program.as_ref().map(|program| bench(program, true, "before")),
            earlier: options.earlier_program.as_ref().map(|program| bench(program, false, "earlier")),
        }
    }

    fn with_legacy(&self) -> impl Iterator<Item = &Bench> {
        self.legacy.iter().chain([&self.current])
    }

    fn with_earlier(&self) -> impl Iterator<Item = &Bench> {
        self.earlier.iter().chain([&self.current])
    }

    fn run(&self, measurement: Measurement, options: &Options) {
        match measurement {
            Measurement::Front => {
                for round in 0..FRONT_ROUNDS {
                    self.with_legacy().for_each(|bench| bench.front(round));
                }
            }
            Measurement::DrainPropagation => self.with_legacy().for_each(Bench::drain_propagation),
            Measurement::LeaderElection => self.current.leader_election(),
            Measurement::PowerLoss => {
                for loss in power_losses(options) {
                    self.with_earlier().for_each(|bench| bench.power_loss(loss));
                }
            }
            Measurement::ZoneFailure => {
                for nodes in &options.nodes {
                    self.with_earlier().for_each(|bench| bench.zone_failure(*nodes, options.seed));
                }
            }
            Measurement::SpuriousZoneChanges => {
                self.current.spurious_zone_changes(options.repetitions as u64);
            }
            Measurement::Disk => self.current.disk(),
            Measurement::Idle => self.with_legacy().for_each(Bench::idle),
            Measurement::CatchUp => self.current.catch_up(),
        }
    }
}

/// The measured losses of power: with warm and with cold endpoints, each for every size of the fleet.
fn power_losses(options: &Options) -> Vec<PowerLoss> {
    let mut losses = Vec::new();
    for endpoints_too in [false, true] {
        if options.cold.is_some_and(|endpoints_are_cold| endpoints_are_cold != endpoints_too) {
            continue;
        }
        for &nodes in &options.nodes {
            losses.push(PowerLoss { nodes, endpoints_too, seed: options.seed, trace: options.trace });
        }
    }
    losses
}

fn main() {
    let options = Options::parse();
    let versions = Versions::new(&options);
    table::print_header();
    for measurement in Measurement::ORDER {
        if options.selects(measurement) {
            versions.run(measurement, &options);
        }
    }
}
