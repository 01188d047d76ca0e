//! Measures how the nodes of a fleet behave together, one version of the program beside another, and prints the figures
//! as rows of one table.

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

/// Rounds of the measurement of the front, each with another seed.
const FRONT_ROUNDS: usize = 3;

/// One version of the program, which is measured.
struct Bench {
    program: PathBuf,
    /// Where clusters keep their files.
    folder: PathBuf,
    /// How often a measurement that takes a median is repeated.
    repetitions: usize,
    /// The program is of version 0.2.0 or before.
    is_legacy: bool,
    /// The version in the table.
    label: &'static str,
}

impl Bench {
    fn cluster(&self, config: ClusterConfig) -> TestCluster {
        let config = ClusterConfig { is_legacy: self.is_legacy, ..config };
        TestCluster::new(&self.program, &self.folder, config)
    }

    /// The rows of a measurement of clusters that `setting` describes.
    fn rows(&self, measurement: &'static str, setting: impl Into<String>) -> Rows {
        Rows { measurement, version: self.label, setting: setting.into() }
    }
}

/// All versions that are measured.
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
            Measurement::Calm => self.current.calm(options.repetitions as u64),
            Measurement::Disk => self.current.disk(),
            Measurement::Idle => self.with_legacy().for_each(Bench::idle),
            Measurement::CatchUp => self.current.catch_up(),
        }
    }
}

/// The losses of power that are measured: with warm endpoints and with cold ones, for each size of the fleet.
fn power_losses(options: &Options) -> Vec<PowerLoss> {
    let mut losses = Vec::new();
    for endpoints_too in [false, true] {
        if options.cold.is_some_and(|only| only != endpoints_too) {
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
