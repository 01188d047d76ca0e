//! Plausibility checks on endpoints' reports about themselves. A log position is the commit time of the last applied
//! entry, so a position in the future would make the endpoint appear up to date forever.

use crate::engine::load_report::{self, ReportField};
use crate::routing::{LoadReport, LogPosition, ReplicaStatus, Settings, TimeDelta, Timestamp};

/// How far an endpoint's clock may be ahead of this process's clock.
pub(super) const MAX_CLOCK_SKEW: TimeDelta = TimeDelta::from_secs(1);

/// Uptimes of this many seconds (about three hundred years) or more are treated as errors, since they would overflow in
/// later calculations.
const MAX_UPTIME_SECONDS: f64 = 1e10;

/// Whether an endpoint may have reached this position by `now`.
pub(super) fn is_plausible_position(now: Timestamp, position: LogPosition) -> bool {
    position.commit_time(Timestamp::ZERO) <= now + MAX_CLOCK_SKEW
}

/// A reported status, with its position capped at `now`; `None` if the position is implausible.
pub(super) fn plausible_status(now: Timestamp, status: Option<ReplicaStatus>) -> Option<ReplicaStatus> {
    let status = status.filter(|status| is_plausible_position(now, status.position))?;
    let position = status.position.min(LogPosition::of_commit(now, Timestamp::ZERO));
    Some(ReplicaStatus { position, ..status })
}

/// The load report, or an empty one if its position is implausible.
pub(super) fn plausible_report(settings: &Settings, now: Timestamp, report: LoadReport) -> LoadReport {
    let zero_micros = settings.position_epoch.unwrap_or(Timestamp::ZERO).as_micros() as f64;
    let latest_micros = (now + MAX_CLOCK_SKEW).as_micros() as f64;
    let position_seconds = load_report::value(&settings.report_fields, &report, ReportField::Position);
    let is_implausible = |seconds: f64| seconds < 0.0 || zero_micros + seconds * 1e6 > latest_micros;
    if position_seconds.is_some_and(is_implausible) { LoadReport::default() } else { report }
}

/// The uptime in a load report; `None` if it is missing or implausible.
pub(super) fn plausible_uptime(settings: &Settings, report: &LoadReport) -> Option<TimeDelta> {
    let seconds = load_report::value(&settings.report_fields, report, ReportField::Uptime)?;
    (0.0..MAX_UPTIME_SECONDS).contains(&seconds).then(|| TimeDelta::from_micros_f64(seconds * 1e6))
}
