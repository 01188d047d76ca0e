//! Parsing of the platform's configuration, and the lines that its errors name.

use super::*;
use crate::routing::{Availability, GroupId, ZoneId};
use crate::time::TimeDelta;

const CONFIG: &str = "{\"name\":\"n3\",\n\"listen\":\"127.0.0.1:1\",\n\"discovery\":\"127.0.0.1:2\",\n\
    \"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n\
    \"known\":{\"index\":41,\"snapshot\":true,\"endpoints\":[{\"name\":\"s-1\",\"address\":\"127.0.0.1:3\",\n\
    \"zone\":\"b\",\"type\":\"m\",\"group\":3,\"status\":\"leaving\",\"weight\":1,\"since_ms\":1767225600123}]},\n\
    \"settings\":{\"zones\":[\"a\",\"b\"],\"services\":[{\"name\":\"read\",\"target\":0.5,\"repeat\":\"repeatable\"}],\n\
    \"family-info\":{\"consistency\":[\"lag_bound\"],\"max-age\":[0.8],\"zero\":471811.9},\n\
    \"limits\":{\"conn-idle\":15,\"probes\":false},\"more\":null}}";

#[test]
fn a_configuration_is_parsed_with_log_positions_counted_from_the_unix_epoch() {
    let config = parse(CONFIG).unwrap();
    assert_eq!(
        (config.classes, config.backend_idle_secs, config.sockets),
        (vec!["read".to_string()], Some(15.0), Some(1024))
    );
    assert_eq!(
        (config.seed, config.settings.position_epoch, config.settings.may_probe),
        (0x8c1f_30d2_7a5b_e964, Some(Timestamp::ZERO), Some(false))
    );
    assert_eq!(
        (config.settings.classes[0].max_age, config.settings.classes[0].latency_objective),
        (Some(TimeDelta::from_micros(800_000)), Some(TimeDelta::from_micros(500_000)))
    );
    let endpoint = &config.cached_list.unwrap().entries[0];
    assert_eq!(
        (endpoint.zone, endpoint.group, endpoint.availability),
        (ZoneId(1), GroupId(3), Availability::Draining)
    );
    assert_eq!(endpoint.started_at, Some(Timestamp::from_micros(1_767_225_600_123_000)));
}

#[test]
fn an_error_names_the_line_of_the_invalid_value() {
    for (from, to, expected) in [
        ("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"here\"", "line 2: listen"),
        ("\"discovery\":\"127.0.0.1:2\"", "\"discovery\":7", "line 3: discovery is no text"),
        ("\"leaving\"", "\"lost\"", "line 5: endpoint s-1"),
        ("\"target\":0.5", "\"target\":\"soon\"", "line 7: settings: services.0.target"),
        ("\"probes\":false", "\"probes\":false]", "line 9: not JSON"),
    ] {
        let error = parse(&CONFIG.replace(from, to)).map(|config| config.name).unwrap_err().to_string();
        assert!(error.starts_with(expected), "{to}: {error}");
    }
    let error = parse("{\"name\":\"n\"}").map(|config| config.name).unwrap_err().to_string();
    assert_eq!(error, "line 1: there is no listen");
}
