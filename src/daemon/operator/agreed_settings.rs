//! The settings that the fleet has agreed on: waiting for them, and what they change in this daemon.

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

/// Connect timeouts from this on are taken for a mistake in the settings, and the default holds.
const MAX_CONNECT_TIMEOUT_SECS: f64 = 3_600.0;

/// The settings that this daemon runs with until its next start.
pub struct AgreedSettings {
    /// As the store keeps them, to notice when others are agreed.
    pub text: String,
    /// For the engine.
    pub settings: Settings,
    /// The classes by name.
    pub classes: Classes,
    pairs: BTreeMap<String, String>,
}

impl AgreedSettings {
    /// Reads the text that the store keeps.
    ///
    /// # Errors
    /// [`DaemonError::AgreedSettings`] where it does not parse; [`DaemonError::UnknownClass`] where this daemon's front
    /// needs a class that it does not define.
    pub fn parse(text: String, config: &OperatorConfig) -> Result<AgreedSettings, DaemonError> {
        let parsed = operator_config::parse_settings(&text, config.number)?;
        let ParsedSettings { mut settings, class_names, pairs } = parsed;
        operator_config::set_report_fields(&mut settings);
        let classes = Classes::new(class_names, &mut settings);
        check_front_classes(config, &classes)?;
        Ok(AgreedSettings { text, settings, classes, pairs })
    }

    /// How endpoints behave after a cold start. What the settings leave out means that they are warm at once.
    pub fn cold_start_policy(&self) -> SlowStartPolicy {
        SlowStartPolicy {
            initial_share: self.settings.cold_capacity.unwrap_or(1.0),
            warm_up: self.settings.warm_up.unwrap_or(TimeDelta::ZERO),
            overload_multiple: self.settings.overload_multiple.unwrap_or(1.0).max(1.0),
        }
    }

    /// Applies the settings that bound backend connections.
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

/// The settings to run with, once some are agreed.
pub async fn wait(fleet: &Fleet, limits: &Limits) -> String {
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

/// Waits until this daemon has applied what the others have agreed on: nothing must be sent to an endpoint that was
/// drained while it was down. Gives up after the time by which an endpoint list may be late, to serve without a
/// majority.
pub async fn wait_until_current(fleet: &Fleet, limits: &Limits) {
    let changed = fleet.subscribe();
    let current = async {
        while !fleet.is_up_to_date() {
            let _ = changed.recv().await;
        }
    };
    if until(Instant::now() + limits.discovery_timeout * 2, current).await.is_none() {
        log::warn!("fleet: no majority is known; serving with the last agreed state");
    }
}
