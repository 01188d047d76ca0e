//! Load reports by the names of their fields. No I/O.

use crate::routing::LoadReport;

/// A load report with the values of `fields`, up to the first that is missing: the module counts on those
/// that stand before it.
pub fn report_of(fields: &[String], value: impl Fn(&str) -> Option<f64>) -> LoadReport {
    let mut report = LoadReport::default();
    for (n, v) in fields.iter().take(report.values.len()).map_while(|f| value(f)).enumerate() {
        report.values[n] = v;
        report.count = n as u8 + 1;
    }
    report
}

/// The value of a report's field; `None`: it was not told.
pub fn field(fields: &[String], report: &LoadReport, name: &str) -> Option<f64> {
    let n = fields.iter().position(|f| f == name)?;
    (n < usize::from(report.count)).then(|| report.values[n])
}
