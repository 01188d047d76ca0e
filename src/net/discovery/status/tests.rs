//! What is reported of discovery.

use super::*;

/// Guards against metrics from which operators cannot tell how old the list is and how calls fail.
#[test]
fn metrics_name_the_age_of_the_list_and_the_kinds_of_failures() {
    let status = DiscoveryStatus::default();
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    assert!(!status.statsd_text(start).contains("list_age_ms"), "there is no list yet");
    status.record_current(start, 7);
    status.record_failure(after(3_000), &DiscoveryError::TimedOut);
    status.record_failure(after(3_500), &io::Error::from(io::ErrorKind::ConnectionRefused).into());
    let metrics = status.statsd_text(after(4_000));
    for line in [
        "svc.discovery.list_age_ms:4000|g",
        "svc.discovery.failing_ms:1000|g",
        "svc.discovery.outages:1|c",
        "svc.discovery.failed.silent:1|c",
        "svc.discovery.failed.refused:1|c",
        "svc.discovery.failed.reset:0|c",
    ] {
        assert!(metrics.lines().any(|found| found == line), "{line}: {metrics}");
    }
    status.record_current(after(5_000), 8);
    assert!(status.statsd_text(after(5_000)).contains("failing_ms:0|g"));
}

/// Guards against a log that is filled by a discovery that fails every other call.
#[test]
fn a_flapping_discovery_is_reported_once_per_interval() {
    let status = DiscoveryStatus::default();
    let start = Instant::now();
    let reports = (0..1_000)
        .filter(|call| {
            let now = start + Duration::from_millis(call * 100);
            let reported_at = status.last_report_at.get();
            status.record_failure(now, &DiscoveryError::TimedOut);
            status.record_current(now, 1);
            status.last_report_at.get() != reported_at
        })
        .count();
    assert_eq!(reports, 20, "reports within 100 s");
    assert_eq!(status.outages.get(), 1_000);
}

/// Guards against a failure that is counted under a wrong name.
#[test]
fn io_errors_are_told_apart() {
    let kind = |error: io::ErrorKind| DiscoveryError::from(io::Error::from(error)).kind();
    assert_eq!(kind(io::ErrorKind::ConnectionRefused), FailureKind::Refused);
    assert_eq!(kind(io::ErrorKind::ConnectionReset), FailureKind::Reset);
    assert_eq!(kind(io::ErrorKind::UnexpectedEof), FailureKind::Reset);
    assert_eq!(kind(io::ErrorKind::InvalidData), FailureKind::Malformed);
    assert_eq!(kind(io::ErrorKind::NotConnected), FailureKind::Unreachable);
}
