//! Access to the values of load reports by field name. No I/O.
//!
//! A [`LoadReport`] is a list of unnamed values; the settings name its fields, in order. The engine interprets four of
//! these fields, see [`ReportField`].

use crate::routing::LoadReport;

/// The fields of a load report that the engine interprets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// The endpoint's log position, in seconds after the origin that the settings define.
    Position,
    /// The endpoint's role: [`PRIMARY_THRESHOLD`] or more for a primary, less for a replica.
    Role,
    /// The time since the endpoint started, in seconds.
    Uptime,
    /// The fraction of the endpoint's capacity that is in use, from 0 to 1.
    Utilization,
}

/// Role values from this on denote a primary. Endpoints report 1 for a primary and 0 for a replica.
pub const PRIMARY_THRESHOLD: f64 = 0.5;

impl ReportField {
    /// The name of the field in endpoints' reports and in the settings.
    pub const fn name(self) -> &'static str {
        match self {
            ReportField::Position => "x0",
            ReportField::Role => "x1",
            ReportField::Uptime => "up",
            ReportField::Utilization => "util",
        }
    }
}

/// Builds a load report from the values of `fields`, in order, and stops at the first field without a value: the router
/// assumes that a report has no gaps.
pub fn build_load_report(fields: &[String], value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for (slot, field) in report.values.iter_mut().zip(fields) {
        let Some(value) = value(field) else { break };
        *slot = value;
        report.count += 1;
    }
    report
}

/// The value of one field in a report whose field names are `fields`; `None` if it was not reported.
pub fn value(fields: &[String], report: &LoadReport, field: ReportField) -> Option<f64> {
    let index = fields.iter().position(|name| name == field.name())?;
    (index < usize::from(report.count)).then(|| report.values[index])
}
