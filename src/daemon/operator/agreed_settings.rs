//! Waits for the settings that the fleet has agreed on and applies them to this daemon.

use crate::config::Limits;
use crate::daemon::DaemonError;
use crate::daemon::operator_config::{self, OperatorConfig, ParsedSettings};
use crate::engine::classes::{Classes, IdempotencyKey};
use crate::fleet::recovery::slow_start::SlowStartPolicy;
use crate::fleet::runtime::Fleet;
use crate::net::until;
use crate::routing::Settings;
use crate::time::TimeDelta;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A connect timeout of this length or more is treated as a configuration error, and the default is used.
const MAX_CONNECT_TIMEOUT_SECS: f64 = 3_600.0;

/// The settings that this daemon uses until it is restarted.
pub struct AgreedSettings {
    /// The text as the store keeps it; compared with later versions to detect a change.
    pub text: String,
    /// Settings of the engine.
    pub settings: Settings,
    /// Request classes, looked up by name.
    pub classes: Classes,
    /// All settings as text, by path.
    pairs: BTreeMap<String, String>,
}

impl AgreedSettings {
    /// Parses the text that the store keeps.
    ///
    /// # Errors
    /// [`DaemonError::AgreedSettings`] if it does not parse; [`DaemonError::UnknownClass`] if this daemon's front uses
    /// a class that it does not define.
    pub fn parse(text: String, config: &OperatorConfig) -> Result<AgreedSettings, DaemonError> {
        let parsed = operator_config::parse_settings(&text, config.number)?;
        let ParsedSettings { mut settings, class_names, pairs } = parsed;
        operator_config::set_report_fields(&mut settings);
        let classes = Classes::new(class_names, &mut settings);
        check_front_classes(config, &classes)?;
        Ok(AgreedSettings { text, settings, classes, pairs })
    }

    /// Slow start of endpoints after a cold start. The defaults for missing settings give an endpoint its full share at
    /// once.
    pub fn cold_start_policy(&self) -> SlowStartPolicy {
        SlowStartPolicy {
            initial_share: self.settings.cold_capacity.unwrap_or(1.0),
            warm_up: self.settings.warm_up.unwrap_or(TimeDelta::ZERO),
            overload_multiple: self.settings.overload_multiple.unwrap_or(1.0).max(1.0),
        }
    }

    /// Applies the connect and idle timeouts of backend connections.
    pub fn adjust(&self, limits: &mut Limits) {
        limits.set_backend_idle_timeout(self.seconds("limits.conn-idle"));
        let is_plausible = |seconds: &f64| *seconds > 0.0 && *seconds < MAX_CONNECT_TIMEOUT_SECS;
        if let Some(seconds) = self.seconds("limits.connect-timeout").filter(is_plausible) {
            limits.connect_timeout = Duration::from_secs_f64(seconds);
        }
    }

    fn seconds(&self, key: &str) -> Option<f64> {
        self.pairs.get(key)?.parse().ok()
    }
}

fn check_front_classes(config: &OperatorConfig, classes: &Classes) -> Result<(), DaemonError> {
    let service = &config.service;
    let named =
        [Some(&service.query_class), service.session_query_class.as_ref(), Some(&service.update_class)];
    for class in named.into_iter().flatten() {
        if classes.find(class, IdempotencyKey::Present).is_none() {
            return Err(DaemonError::UnknownClass { path: config.path.clone(), class: class.clone() });
        }
    }
    Ok(())
}

/// Waits until the fleet has agreed on settings and returns their text. Logs one warning if that takes long.
pub async fn wait_until_agreed(fleet: &Fleet, limits: &Limits) -> String {
    let changed = fleet.subscribe();
    let started_at = Instant::now();
    let mut has_warned = false;
    loop {
        if let Some(text) = fleet.committed_settings() {
            return text;
        }
        if !has_warned && started_at.elapsed() > limits.file_check_interval * 4 {
            has_warned = true;
            log::warn!("not ready: no settings are agreed yet; {}", fleet.bootstrap_status());
        }
        let _ = until(Instant::now() + limits.file_check_interval, changed.recv()).await;
    }
}

/// Waits until this daemon has applied everything that the fleet has agreed on, and has the pending drains of the members
/// that it reaches, so that no request is sent to an endpoint that was drained while this daemon was down. Returns after
/// twice `Limits::discovery_timeout` at the latest, the time by which an endpoint list may be late, so that a daemon
/// without a majority serves too.
pub async fn wait_until_current(fleet: &Fleet, limits: &Limits) {
    let changed = fleet.subscribe();
    let current = async {
        while !fleet.is_up_to_date() || !fleet.has_heard_connected_members() {
            let _ = until(Instant::now() + limits.recovery_check_interval, changed.recv()).await;
        }
    };
    let is_current = until(Instant::now() + limits.discovery_timeout * 2, current).await.is_some();
    if !is_current && fleet.is_up_to_date() {
        log::warn!("fleet: a member is connected and was not heard; serving without its pending drains");
    } else if !is_current {
        log::warn!("fleet: no majority is known; serving with the last agreed state");
    }
}
