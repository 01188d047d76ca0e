//! The operator's settings as `path=value` pairs into [`Settings`]. Unknown paths are skipped.
//!
//! The adapter gets the pairs as text, the daemon flattens its JSON configuration into them.

use crate::routing::*;
use std::collections::BTreeMap;
use std::str::FromStr;

struct Text<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Text<'a> {
    fn get<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        let parse = |v: &&str| v.parse().map_err(|_| format!("settings: {path}={v} does not parse"));
        self.0.get(path).map(parse).transpose()
    }

    fn number(&self, path: &str) -> Result<Option<f64>, String> {
        match self.get::<f64>(path)? {
            Some(v) if !v.is_finite() => Err(format!("settings: {path}={v} is not a finite number")),
            other => Ok(other),
        }
    }

    fn span(&self, path: &str) -> Result<Option<TimeDelta>, String> {
        Ok(self.number(path)?.map(TimeDelta::from_secs_f64))
    }

    fn list(&self, path: &str) -> Vec<&'a str> {
        self.0.get(path).map_or(Vec::new(), |v| v.split(',').filter(|s| !s.is_empty()).collect())
    }

    /// A word out of a fixed set; an unknown word is skipped like an unknown key.
    fn word<T: Copy>(&self, path: &str, words: &[(&str, T)]) -> Option<T> {
        self.0.get(path).and_then(|v| lookup(v, words))
    }

    fn count(&self, path: &str) -> Result<usize, String> {
        match self.get::<usize>(path)? {
            Some(n) if n > 65_536 => Err(format!("settings: {path}={n} is too many")),
            n => Ok(n.unwrap_or(0)),
        }
    }
}

fn lookup<T: Copy>(value: &str, words: &[(&str, T)]) -> Option<T> {
    words.iter().find(|(w, _)| *w == value).map(|(_, t)| *t)
}

/// Reads the settings text of one `UP`.
pub fn parse(text: &str) -> Result<Settings, String> {
    let mut lines = BTreeMap::new();
    for (n, line) in text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let (path, value) =
            line.split_once('=').ok_or_else(|| format!("settings: line {} has no '='", n + 1))?;
        lines.insert(path.trim(), value.trim());
    }
    read(lines)
}

/// Reads settings from pairs of path and value.
pub fn read(pairs: BTreeMap<&str, &str>) -> Result<Settings, String> {
    let t = Text(pairs);
    let consistency = t.list("family-info.consistency");
    let max_age = t.list("family-info.max-age");
    let mut classes = Vec::new();
    for n in 0..t.count("services.count")? {
        let at = |key: &str| format!("services.{n}.{key}");
        let age = max_age.get(n).map(|v| v.parse::<f64>()).transpose();
        classes.push(Class {
            latency_objective: t.span(&at("target"))?,
            latency_objective_per_work: t.number(&at("aim-stretch"))?,
            deadline: t.span(&at("deadline"))?,
            priority_weight: t.number(&at("worth"))?,
            late_priority_weight: t.number(&at("late-worth"))?,
            idempotency: t.word(
                &at("repeat"),
                &[
                    ("repeatable", Idempotency::Idempotent),
                    ("by_key", Idempotency::Keyed),
                    ("once", Idempotency::NonIdempotent),
                ],
            ),
            key_scope: t.word(
                &at("group"),
                &[("all", KeyScope::AllEndpoints), ("cell", KeyScope::Group), ("zone", KeyScope::Zone)],
            ),
            key_window: t.span(&at("dedup-window"))?,
            consistency: consistency.get(n).and_then(|v| {
                lookup(
                    v,
                    &[
                        ("mutate", Consistency::Write),
                        ("strong", Consistency::Strong),
                        ("causal", Consistency::Session),
                        ("lag_bound", Consistency::Bounded),
                        ("eventual", Consistency::Eventual),
                    ],
                )
            }),
            max_age: age
                .map_err(|_| "settings: family-info.max-age does not parse".to_string())?
                .map(TimeDelta::from_secs_f64),
        });
    }
    let tenants = (0..t.count("tenants.count")?)
        .map(|n| Ok(Tenant { quota_per_s: t.number(&format!("tenants.{n}.quota-per-s"))? }))
        .collect::<Result<Vec<_>, String>>()?;
    Ok(Settings {
        pooler_count: t.get("balancers")?,
        me: t.get("me")?,
        zone: t.get("zone")?,
        step: t.span("step")?,
        classes,
        tenants,
        over_quota_priority_weight: t.number("over-share-worth")?,
        must_subscribe: t.word("discovery", &[("subscribe", true), ("automatic", false)]),
        list_request_interval: t.span("guarantees.must-ask-in")?,
        may_hedge: t.get("limits.second-copies")?,
        may_cancel: t.get("limits.may-cancel")?,
        may_probe: t.get("limits.probes")?,
        peer_messages: t.get("limits.peer-messages")?,
        may_send_retry_after: t.get("limits.retry-after")?,
        max_retry_after: t.span("limits.max-retry-after")?,
        max_attempts: t.get("limits.max-attempts")?,
        connect_timeout: t.span("limits.connect-timeout")?,
        answer_grace: t.span("guarantees.grace-to-answer")?,
        drain_grace: t.span("guarantees.stop-sending-within")?,
        only_stated_drain_binds: t.get("guarantees.drain-binds-alone")?,
        cold_capacity: t.number("guarantees.cold-share")?,
        warm_up: t.span("guarantees.warm-up")?,
        overload_multiple: t.number("guarantees.fall-multiple")?,
        overload_window: t.span("guarantees.tip-after")?,
        replication_lag_policy: t.word(
            "family-info.behind",
            &[
                ("none", ReplicationLagPolicy::ServeStale),
                ("bounce", ReplicationLagPolicy::Reject),
                ("await", ReplicationLagPolicy::WaitThenReject),
            ],
        ),
        catch_up_timeout: t.span("family-info.holds-for")?,
        session_tracking: t.word(
            "family-info.session-marks",
            &[("brought", SessionTracking::Carried), ("kept", SessionTracking::Remembered)],
        ),
        zero: t.number("family-info.zero")?.map(Timestamp::from_secs_f64),
        report_fields: t.list("report.fields").iter().map(|f| f.to_string()).collect(),
        cross_zone_cost: t.number("fees.cross-zone")?,
        probe_cost: t.number("fees.probe")?,
        waste_cost: t.number("fees.waste")?,
    })
}

#[cfg(test)]
mod tests;
