//! Tests that the example files in `deploy/` parse and that errors carry the right line.

use super::reader::parse;
use super::*;

const FILE: &str = include_str!("../../../deploy/operator.yaml");

#[test]
fn the_example_file_parses() {
    let config =
        parse(Path::new("deploy/operator.yaml"), FILE, Timestamp::from_micros(7), &Limits::for_sockets(0))
            .unwrap();
    assert_eq!(config.inventory_path, Some(PathBuf::from("deploy/inventory.yaml")));
    let ParsedSettings { settings, class_names, .. } =
        parse_settings(config.settings.as_deref().unwrap(), 1).unwrap();
    assert_eq!(class_names, ["catalog-read", "own-edit-read", "score-write"]);
    assert_eq!(settings.classes[0].max_age, Some(TimeDelta::from_micros(800_000)));
    assert_eq!(settings.pooler_number, Some(1));
}

#[test]
fn the_example_inventories_parse_to_the_same_hosts() {
    let parse_hosts = |name: &str, text| {
        inventory::parse(Path::new(name), text, &["zona-10".into()], &Limits::for_sockets(0)).unwrap().hosts
    };
    let yaml = parse_hosts("i.yaml", include_str!("../../../deploy/inventory.yaml"));
    assert_eq!(yaml, parse_hosts("i.csv", include_str!("../../../deploy/inventory.csv")));
}

#[test]
fn an_error_has_the_line_of_the_invalid_value() {
    for (original, replacement, message) in [
        ("name: b1", "nome: b1", "unknown"),
        ("127.0.0.1:8890", "0.0.0.0:8890", "not loopback"),
        ("update: score-write", "update: score-rite", "no service"),
        ("lag_bound", "lagbound", "is no such value"),
        ("max-age: 0.8", "max-age: soon", "is no such value"),
        ("warm-up", "warmup", "is no setting"),
        ("path: /sparql", "path: sparql", "is no path"),
        ("dwell: 3", "dwell: 0.1", "from 3 to 86400"),
        ("automatic: true", "automatic: perhaps", "true or false"),
        ("dwell: 3", "dwel: 3", "unknown in leaving"),
    ] {
        let index = FILE.lines().position(|line| line.contains(original)).expect(original);
        let text = FILE.replacen(original, replacement, 1);
        let error = parse(Path::new("f"), &text, Timestamp::ZERO, &Limits::for_sockets(0)).unwrap_err();
        assert!(error.problem.to_string().contains(message), "{replacement}: {error}");
        assert_eq!(error.line, index + 1, "{replacement}: {error}");
    }
}
