//! Parser of the text form of a load report.

/// Returns the value of one field of a load report such as `inflight=7,util=0.61`; `None` if it is missing or not a
/// finite number.
pub fn load_report_value(text: &str, name: &str) -> Option<f64> {
    for pair in text.split(',') {
        if let Some((key, value)) = pair.trim().split_once('=')
            && key == name
        {
            return value.parse().ok().filter(|value: &f64| value.is_finite());
        }
    }
    None
}
