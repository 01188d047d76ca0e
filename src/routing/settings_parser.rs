//! Parses [`Settings`] from pairs of a path and a value. Unknown paths are ignored.
//!
//! The simulator's adapter receives the pairs as text with one `path=value` per line; the daemon converts its
//! configuration into such pairs.

use super::{
    Class, Consistency, Idempotency, KeyScope, ReplicationLagPolicy, SessionTracking, Settings, Tenant,
    TimeDelta, Timestamp,
};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Maximum number of classes or tenants: more than any deployment has, and few enough to allocate memory for.
const MAX_COUNT: usize = 65_536;

/// An invalid setting. The message names the path and, except for an invalid age, the value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A line has no equals sign.
    #[error("settings: line {line} has no '='")]
    NotAPair {
        /// The line's number, counted from 1.
        line: usize,
    },
    /// A value is not of the type that its path requires.
    #[error("settings: {path}={value} does not parse")]
    Malformed {
        /// Path of the setting.
        path: String,
        /// The value as text.
        value: String,
    },
    /// A number is infinite or not a number.
    #[error("settings: {path}={value} is not a finite number")]
    NotFinite {
        /// Path of the setting.
        path: String,
        /// The parsed number, formatted as text.
        value: String,
    },
    /// More than 65,536 classes or tenants.
    #[error("settings: {path}={count} is too many")]
    TooMany {
        /// Path of the setting.
        path: String,
        /// The number of classes or tenants in the setting.
        count: usize,
    },
    /// An item of the list of maximum ages is not a number.
    #[error("settings: family-info.max-age does not parse")]
    MalformedMaxAge,
}

/// Keywords of an enumerated setting, each with its value.
type Keywords<T> = [(&'static str, T)];

const IDEMPOTENCY: &Keywords<Idempotency> = &[
    ("repeatable", Idempotency::Idempotent),
    ("by_key", Idempotency::Keyed),
    ("once", Idempotency::NonIdempotent),
];
const KEY_SCOPE: &Keywords<KeyScope> =
    &[("all", KeyScope::AllEndpoints), ("cell", KeyScope::Group), ("zone", KeyScope::Zone)];
const CONSISTENCY: &Keywords<Consistency> = &[
    ("mutate", Consistency::Write),
    ("strong", Consistency::Strong),
    ("causal", Consistency::Session),
    ("lag_bound", Consistency::Bounded),
    ("eventual", Consistency::Eventual),
];
const MUST_SUBSCRIBE: &Keywords<bool> = &[("subscribe", true), ("automatic", false)];
const REPLICATION_LAG_POLICY: &Keywords<ReplicationLagPolicy> = &[
    ("none", ReplicationLagPolicy::ServeStale),
    ("bounce", ReplicationLagPolicy::Reject),
    ("await", ReplicationLagPolicy::WaitThenReject),
];
const SESSION_TRACKING: &Keywords<SessionTracking> =
    &[("brought", SessionTracking::Carried), ("kept", SessionTracking::Remembered)];

/// Parses settings from text with one `path=value` pair per line. Empty lines are ignored; if a path occurs more than
/// once, its last value is used.
///
/// # Errors
///
/// Returns an error for the first line without an equals sign, or for the first invalid value.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let mut pairs = BTreeMap::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let Some((path, value)) = line.split_once('=') else {
            return Err(SettingsError::NotAPair { line: index + 1 });
        };
        pairs.insert(path.trim(), value.trim());
    }
    from_pairs(pairs)
}

/// Parses settings from values by path.
///
/// # Errors
///
/// Returns an error for the first invalid value.
pub fn from_pairs(pairs: BTreeMap<&str, &str>) -> Result<Settings, SettingsError> {
    let pairs = Pairs(pairs);
    let mut settings =
        Settings { classes: pairs.classes()?, tenants: pairs.tenants()?, ..Settings::default() };
    pairs.read_deployment(&mut settings)?;
    pairs.read_limits(&mut settings)?;
    pairs.read_guarantees(&mut settings)?;
    pairs.read_replication(&mut settings)?;
    pairs.read_costs(&mut settings)?;
    Ok(settings)
}

/// Values by path.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn classes(&self) -> Result<Vec<Class>, SettingsError> {
        let consistencies = self.list("family-info.consistency");
        let max_ages = self.list("family-info.max-age");
        let mut classes = Vec::new();
        for index in 0..self.count("services.count")? {
            let mut class = self.class(index)?;
            class.consistency = consistencies.get(index).and_then(|keyword| lookup(keyword, CONSISTENCY));
            class.max_age = max_ages.get(index).map(|seconds| parse_max_age(seconds)).transpose()?;
            classes.push(class);
        }
        Ok(classes)
    }

    /// Class `index`, without its consistency and maximum age, which are lists over all classes.
    fn class(&self, index: usize) -> Result<Class, SettingsError> {
        let path = |key: &str| format!("services.{index}.{key}");
        Ok(Class {
            latency_objective: self.duration(&path("target"))?,
            latency_objective_per_work: self.number(&path("aim-stretch"))?,
            deadline: self.duration(&path("deadline"))?,
            priority_weight: self.number(&path("worth"))?,
            late_priority_weight: self.number(&path("late-worth"))?,
            idempotency: self.keyword(&path("repeat"), IDEMPOTENCY),
            key_scope: self.keyword(&path("group"), KEY_SCOPE),
            key_window: self.duration(&path("dedup-window"))?,
            consistency: None,
            max_age: None,
        })
    }

    fn tenants(&self) -> Result<Vec<Tenant>, SettingsError> {
        let mut tenants = Vec::new();
        for index in 0..self.count("tenants.count")? {
            tenants.push(Tenant { quota_per_s: self.number(&format!("tenants.{index}.quota-per-s"))? });
        }
        Ok(tenants)
    }

    fn read_deployment(&self, settings: &mut Settings) -> Result<(), SettingsError> {
        settings.pooler_count = self.value("balancers")?;
        settings.pooler_number = self.value("me")?;
        settings.zone = self.value("zone")?;
        settings.event_batch_interval = self.duration("step")?;
        settings.over_quota_priority_weight = self.number("over-share-worth")?;
        settings.must_subscribe = self.keyword("discovery", MUST_SUBSCRIBE);
        settings.list_request_interval = self.duration("guarantees.must-ask-in")?;
        Ok(())
    }

    fn read_limits(&self, settings: &mut Settings) -> Result<(), SettingsError> {
        settings.may_hedge = self.value("limits.second-copies")?;
        settings.may_cancel = self.value("limits.may-cancel")?;
        settings.may_probe = self.value("limits.probes")?;
        settings.peer_messages = self.value("limits.peer-messages")?;
        settings.may_send_retry_after = self.value("limits.retry-after")?;
        settings.max_retry_after = self.duration("limits.max-retry-after")?;
        settings.max_attempts = self.value("limits.max-attempts")?;
        settings.connect_timeout = self.duration("limits.connect-timeout")?;
        Ok(())
    }

    fn read_guarantees(&self, settings: &mut Settings) -> Result<(), SettingsError> {
        settings.answer_grace = self.duration("guarantees.grace-to-answer")?;
        settings.drain_grace = self.duration("guarantees.stop-sending-within")?;
        settings.keep_unlisted_endpoints = self.value("guarantees.drain-binds-alone")?;
        settings.cold_capacity = self.number("guarantees.cold-share")?;
        settings.warm_up = self.duration("guarantees.warm-up")?;
        settings.overload_multiple = self.number("guarantees.fall-multiple")?;
        settings.overload_window = self.duration("guarantees.tip-after")?;
        Ok(())
    }

    fn read_replication(&self, settings: &mut Settings) -> Result<(), SettingsError> {
        settings.replication_lag_policy = self.keyword("family-info.behind", REPLICATION_LAG_POLICY);
        settings.catch_up_timeout = self.duration("family-info.holds-for")?;
        settings.session_tracking = self.keyword("family-info.session-marks", SESSION_TRACKING);
        settings.position_epoch = self.number("family-info.zero")?.map(Timestamp::from_secs_f64);
        Ok(())
    }

    fn read_costs(&self, settings: &mut Settings) -> Result<(), SettingsError> {
        settings.report_fields = self.list("report.fields").into_iter().map(str::to_string).collect();
        settings.cross_zone_cost = self.number("fees.cross-zone")?;
        settings.probe_cost = self.number("fees.probe")?;
        settings.waste_cost = self.number("fees.waste")?;
        Ok(())
    }

    fn value<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingsError> {
        let Some(text) = self.0.get(path) else { return Ok(None) };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(SettingsError::Malformed { path: path.to_string(), value: text.to_string() }),
        }
    }

    fn number(&self, path: &str) -> Result<Option<f64>, SettingsError> {
        match self.value::<f64>(path)? {
            Some(number) if !number.is_finite() => {
                Err(SettingsError::NotFinite { path: path.to_string(), value: number.to_string() })
            }
            number => Ok(number),
        }
    }

    /// A duration, given in seconds.
    fn duration(&self, path: &str) -> Result<Option<TimeDelta>, SettingsError> {
        Ok(self.number(path)?.map(TimeDelta::from_secs_f64))
    }

    fn count(&self, path: &str) -> Result<usize, SettingsError> {
        match self.value::<usize>(path)? {
            Some(count) if count > MAX_COUNT => Err(SettingsError::TooMany { path: path.to_string(), count }),
            count => Ok(count.unwrap_or(0)),
        }
    }

    /// The items of a comma-separated list, without empty ones.
    fn list(&self, path: &str) -> Vec<&'a str> {
        let Some(text) = self.0.get(path) else { return Vec::new() };
        text.split(',').filter(|item| !item.is_empty()).collect()
    }

    /// The value of a keyword setting. An unknown keyword is ignored, like an unknown path.
    fn keyword<T: Copy>(&self, path: &str, keywords: &Keywords<T>) -> Option<T> {
        lookup(self.0.get(path)?, keywords)
    }
}

fn lookup<T: Copy>(text: &str, keywords: &Keywords<T>) -> Option<T> {
    keywords.iter().find(|(keyword, _)| *keyword == text).map(|(_, value)| *value)
}

fn parse_max_age(seconds: &str) -> Result<TimeDelta, SettingsError> {
    let seconds = seconds.parse().map_err(|_| SettingsError::MalformedMaxAge)?;
    Ok(TimeDelta::from_secs_f64(seconds))
}

#[cfg(test)]
mod tests;
