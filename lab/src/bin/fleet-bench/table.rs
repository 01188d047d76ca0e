//! Prints the figures as a Markdown table.

use std::fmt::Display;
use std::time::Duration;

/// Prints the header of the table.
pub fn print_header() {
    println!(
        "| measurement | version | nodes | figure | median or value | worst |\n| --- | --- | --- | --- | --- | --- |"
    );
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_nanos() as f64 / 1e6
}

/// Prints the rows of one measurement of one version.
pub struct Rows {
    pub measurement: &'static str,
    pub version: &'static str,
    /// The number of nodes and other properties of the cluster.
    pub setting: String,
}

impl Rows {
    /// Prints a figure with two values, the second one in the column `worst`.
    pub fn print(&self, figure: impl Display, value: impl Display, worst: impl Display) {
        let Rows { measurement, version, setting } = self;
        println!("| {measurement} | {version} | {setting} | {figure} | {value} | {worst} |");
    }

    /// Prints a figure with one value.
    pub fn print_value(&self, figure: impl Display, value: impl Display) {
        let Rows { measurement, version, setting } = self;
        println!("| {measurement} | {version} | {setting} | {figure} | {value} | |");
    }

    /// Prints the median and the maximum of durations, in milliseconds.
    pub fn print_median(&self, figure: impl Display, mut durations: Vec<Duration>) {
        durations.sort();
        let median = durations.get(durations.len() / 2).copied().unwrap_or_default();
        let worst = durations.last().copied().unwrap_or_default();
        self.print(figure, format!("{:.1}", millis(median)), format!("{:.1}", millis(worst)));
    }
}
