//! The table of the figures, in Markdown.

use std::fmt::Display;
use std::time::Duration;

/// Prints the head of the table.
pub fn print_header() {
    println!(
        "| what | version | daemons | figure | median or value | worst |\n| --- | --- | --- | --- | --- | --- |"
    );
}

/// A length of time in milliseconds.
pub fn millis(length: Duration) -> f64 {
    length.as_nanos() as f64 / 1e6
}

/// The rows of one measurement of one version.
pub struct Rows {
    pub measurement: &'static str,
    pub version: &'static str,
    /// Size and other properties of the cluster.
    pub setting: String,
}

impl Rows {
    /// Prints a figure with two values.
    pub fn print(&self, figure: impl Display, value: impl Display, worst: impl Display) {
        let Rows { measurement, version, setting } = self;
        println!("| {measurement} | {version} | {setting} | {figure} | {value} | {worst} |");
    }

    /// Prints a figure with one value.
    pub fn print_value(&self, figure: impl Display, value: impl Display) {
        let Rows { measurement, version, setting } = self;
        println!("| {measurement} | {version} | {setting} | {figure} | {value} | |");
    }

    /// Prints the median and the worst of lengths of time, in milliseconds.
    pub fn print_median(&self, figure: impl Display, mut lengths: Vec<Duration>) {
        lengths.sort();
        let median = lengths.get(lengths.len() / 2).copied().unwrap_or_default();
        let worst = lengths.last().copied().unwrap_or_default();
        self.print(figure, format!("{:.1}", millis(median)), format!("{:.1}", millis(worst)));
    }
}
