//! Access to the values of load reports by field name. No I/O.
//!
//! A [`LoadReport`] holds bare numbers; the settings name their fields, in order. Four of those names have a meaning
//! for the engine: see [`ReportField`].

use crate::routing::LoadReport;

/// The fields of a load report that the engine interprets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// The endpoint's log position, in seconds after the zero that the settings name.
    Position,
    /// The endpoint's role: at least [`PRIMARY_THRESHOLD`] for a primary, less for a replica.
    Role,
    /// How long the endpoint has run, in seconds.
    Uptime,
    /// The share of the endpoint's capacity that is in use, from 0 to 1.
    Utilization,
}

/// A role of at least this is a primary: endpoints report 1 for a primary and 0 for a replica.
pub const PRIMARY_THRESHOLD: f64 = 0.5;

impl ReportField {
    /// The name under which endpoints report the field and settings list it.
    pub const fn name(self) -> &'static str {
        match self {
            ReportField::Position => "x0",
            ReportField::Role => "x1",
            ReportField::Uptime => "up",
            ReportField::Utilization => "util",
        }
    }
}

/// A load report with the values of `fields`, in order, up to the first one without a value: the router relies on
/// every value that precedes another one being present.
pub fn report_of(fields: &[String], value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for (slot, field) in report.values.iter_mut().zip(fields) {
        let Some(value) = value(field) else { break };
        *slot = value;
        report.count += 1;
    }
    report
}

/// The value of one field of a report whose fields are named by `fields`; `None` where it was not reported.
pub fn value(fields: &[String], report: &LoadReport, field: ReportField) -> Option<f64> {
    let index = fields.iter().position(|name| name == field.name())?;
    (index < usize::from(report.count)).then(|| report.values[index])
}
