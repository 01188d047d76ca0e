//! Measures how several daemons behave together, one version beside another, and prints tables.

mod calm;
mod catch_up;
mod disk;
mod drains;
mod front;
mod idle;
mod leader;
mod power;
mod zone;

use brookpass_testkit::cluster::{ClusterConfig, TestCluster};
use clap::{Parser, ValueEnum};
use std::path::PathBuf;
use std::time::Duration;

#[derive(Parser)]
#[command(about = "Measures how several daemons behave together, and prints tables")]
struct Options {
    /// The program.
    program: PathBuf,
    /// A version of before (0.2.0), played in turn with it.
    #[arg(long)]
    before: Option<PathBuf>,
    /// A version of before that is set up as this one, played in turn with it after a loss of power.
    #[arg(long)]
    earlier: Option<PathBuf>,
    /// For the clients' choices after a loss of power.
    #[arg(long, default_value_t = 11)]
    seed: u64,
    /// Daemons that lose their power.
    #[arg(long, value_delimiter = ',', default_value = "3,5,12")]
    daemons: Vec<usize>,
    /// Tell each half second after a loss of power.
    #[arg(long)]
    trace: bool,
    /// Only with cold hosts, or only with warm ones.
    #[arg(long)]
    cold: Option<bool>,
    /// What to measure; all of it if nothing is named.
    #[arg(long, value_enum)]
    what: Vec<Measurement>,
    /// Times that each is done.
    #[arg(long, default_value_t = 20)]
    times: usize,
    /// Where daemons keep their files.
    #[arg(long, default_value = "target/tmp")]
    folder: PathBuf,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Measurement {
    /// A drain's way to all daemons.
    Drain,
    /// The time without a leader after it was killed.
    Leader,
    /// Traffic and CPU at rest with many hosts, and the start with very many.
    Idle,
    /// A daemon that missed many changes.
    CatchUp,
    /// The SPARQL front's latency and throughput.
    Front,
    /// What goes to the disk in service and at rest.
    Disk,
    /// A loss of power of all daemons, until they serve as before.
    Power,
    /// A zone that falls silent and comes back cold.
    Zone,
    /// Zones that are left though none of them failed, by seed.
    Calm,
}

fn millis(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let last = values.last().copied().unwrap_or(0.0);
    format!("{:.1} | {:.1}", values.get(values.len() / 2).copied().unwrap_or(0.0), last)
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

struct Bench {
    program: PathBuf,
    folder: PathBuf,
    times: usize,
    old: bool,
    label: &'static str,
}

impl Bench {
    fn label(&self) -> &'static str {
        self.label
    }

    fn lab(&self, setup: ClusterConfig) -> TestCluster {
        TestCluster::new(&self.program, &self.folder, ClusterConfig { old: self.old, ..setup })
    }
}

fn main() {
    let words = Options::parse();
    let bench = |program: PathBuf, old, label| Bench {
        program,
        folder: words.folder.clone(),
        times: words.times,
        old,
        label,
    };
    let this = bench(words.program.clone(), false, "now");
    let before = words.before.clone().map(|program| bench(program, true, "before"));
    let earlier = words.earlier.clone().map(|program| bench(program, false, "earlier"));
    let wants = |what| words.what.is_empty() || words.what.contains(&what);
    println!(
        "| what | version | daemons | figure | median or value | worst |\n| --- | --- | --- | --- | --- | --- |"
    );
    if wants(Measurement::Front) {
        for round in 0..3 {
            before.iter().chain([&this]).for_each(|b| b.front(round));
        }
    }
    if wants(Measurement::Drain) {
        before.iter().chain([&this]).for_each(Bench::drains);
    }
    if wants(Measurement::Leader) {
        this.leader();
    }
    if wants(Measurement::Power) {
        for cold in [false, true].into_iter().filter(|cold| words.cold.is_none_or(|only| only == *cold)) {
            for &daemons in &words.daemons {
                earlier.iter().chain([&this]).for_each(|b| b.power(daemons, cold, words.seed, words.trace));
            }
        }
    }
    if wants(Measurement::Zone) {
        for &daemons in &words.daemons {
            earlier.iter().chain([&this]).for_each(|b| b.zone(daemons, words.seed));
        }
    }
    if words.what.contains(&Measurement::Calm) {
        this.calm(words.times as u64);
    }
    if wants(Measurement::Disk) {
        this.disk();
    }
    if wants(Measurement::Idle) {
        before.iter().chain([&this]).for_each(Bench::idle);
    }
    if wants(Measurement::CatchUp) {
        this.catch_up();
    }
}
