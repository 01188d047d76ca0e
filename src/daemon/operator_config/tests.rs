//! The example files of the deployment are read, and errors name their lines.

use super::reader::parse;
use super::*;

const FILE: &str = include_str!("../../../deploy/operator.yaml");

#[test]
fn the_example_file_is_read() {
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
fn the_example_inventories_are_read_and_alike() {
    let read = |name: &str, text| {
        inventory::parse(Path::new(name), text, &["zona-10".into()], &Limits::for_sockets(0)).unwrap().hosts
    };
    let yaml = read("i.yaml", include_str!("../../../deploy/inventory.yaml"));
    assert_eq!(yaml, read("i.csv", include_str!("../../../deploy/inventory.csv")));
}

#[test]
fn an_error_names_its_line() {
    for (from, to, why) in [
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
        let line = FILE.lines().position(|l| l.contains(from)).map(|n| n + 1).expect(from);
        let error =
            parse(Path::new("f"), &FILE.replacen(from, to, 1), Timestamp::ZERO, &Limits::for_sockets(0))
                .unwrap_err();
        assert!(error.problem.to_string().contains(why), "{to}: {error}");
        assert_eq!(error.line, line, "{to}: {error}");
    }
}
