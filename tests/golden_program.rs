//! Output and exit codes of the command line, which operators' scripts and service units depend on.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;

const USAGE: &str = include_str!("fixtures/usage.txt");

/// A folder for one test, removed when the test ends.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs the program; returns its exit code, standard output and standard error.
fn run(arguments: &[&str], variables: &[(&str, &str)]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brookpass"));
    command
        .args(arguments)
        .env_remove("GW_CONFIG")
        .env_remove("BROOKPASS_LOG")
        .envs(variables.iter().copied());
    let output = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

/// Runs the program, which must fail with one log line on standard error and nothing on standard output. Returns the
/// line without its time.
fn run_and_get_error(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let (code, stdout, stderr) = run(arguments, variables);
    assert_eq!((code, stdout.as_str(), stderr.lines().count()), (Some(1), "", 1), "{arguments:?}: {stderr}");
    let (time, line) = stderr.trim_end().split_once(' ').unwrap();
    assert!(time.bytes().all(|b| b.is_ascii_digit() || b == b'.'), "{stderr}");
    line.to_string()
}

const VALID_CONFIG: &str = include_str!("fixtures/operator-every-key.yaml");
const VALID_INVENTORY: &str = include_str!("fixtures/inventory-every-column.csv");

/// Guards against changes to arguments and output that scripts use.
#[test]
fn version_and_usage_are_unchanged() {
    let version = format!("brookpass {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(run(&["--version"], &[]), (Some(0), version, String::new()));
    for arguments in [["--help"], ["-h"]] {
        assert_eq!(run(&arguments, &[]), (Some(0), USAGE.to_string(), String::new()), "{arguments:?}");
    }
    for arguments in [
        &[][..],
        &["--nonsense"],
        &["--operator"],
        &["--check"],
        &["--version", "more"],
        &["fleet"],
        &["fleet", "recover"],
        &["fleet", "recover", "127.0.0.1:1", "--no"],
        &["fleet", "join", "127.0.0.1:1"],
    ] {
        assert_eq!(run(arguments, &[]), (Some(1), String::new(), USAGE.to_string()), "{arguments:?}");
    }
}

/// Guards against `--check` accepting what a start rejects, or reporting it in another text.
#[test]
fn a_check_counts_endpoints_or_names_file_and_line_of_the_error() {
    let folder = TestFolder::new("check");
    let file = folder.write("operator.yaml", VALID_CONFIG);
    let hosts = folder.write("hosts.csv", VALID_INVENTORY);
    let check = ["--check", file.as_str()];
    assert_eq!(run(&check, &[]), (Some(0), format!("{file}: in order, 2 hosts\n"), String::new()));
    folder.write("operator.yaml", &VALID_CONFIG.replace("inventory: hosts.csv\n", ""));
    assert_eq!(run(&check, &[]), (Some(0), format!("{file}: in order, 0 hosts\n"), String::new()));
    for arguments in [["--check", file.as_str()], ["--operator", file.as_str()]] {
        folder.write("operator.yaml", &VALID_CONFIG.replace("number: 3", "nummer: 3"));
        let line = format!("ERROR {file}: line 3: \"nummer\" is unknown in the operator's file");
        assert_eq!(run_and_get_error(&arguments, &[]), line, "{arguments:?}");
        folder.write("operator.yaml", &VALID_CONFIG.replace("warm-up: 16", "warm-up: long"));
        let line = format!("ERROR {file}: line 61: guarantees.warm-up: \"long\" is no such value");
        assert_eq!(run_and_get_error(&arguments, &[]), line, "{arguments:?}");
        folder.write("operator.yaml", VALID_CONFIG);
        folder.write("hosts.csv", &VALID_INVENTORY.replace("leaving", "gone"));
        let line = format!("ERROR {hosts}: line 3: host \"s-2\": status \"gone\" is no such value");
        assert_eq!(run_and_get_error(&arguments, &[]), line, "{arguments:?}");
        std::fs::remove_file(&hosts).unwrap();
        let line = format!("ERROR {hosts}: No such file or directory (os error 2)");
        assert_eq!(run_and_get_error(&arguments, &[]), line, "{arguments:?}");
        std::fs::remove_file(&file).unwrap();
        let line = format!("ERROR {file}: No such file or directory (os error 2)");
        assert_eq!(run_and_get_error(&arguments, &[]), line, "{arguments:?}");
    }
}

/// Guards against a start with an incomplete platform configuration, and against a changed text of the error.
#[test]
fn a_malformed_platform_configuration_is_reported_in_one_line_with_file_and_line() {
    let folder = TestFolder::new("platform");
    let valid = include_str!("fixtures/platform-every-key.json");
    let path = folder.0.join("config.json").to_str().unwrap().to_string();
    for (from, to, reason) in [
        (
            "\"listen\": \"127.0.0.1:9101\"",
            "\"listen\": \"here\"",
            "line 2: listen: \"here\" is not an address with a port",
        ),
        ("\"discovery\": \"127.0.0.1:9102\"", "\"discovery\": 7", "line 3: discovery is no text"),
        ("\"status\": \"left\"", "\"status\": \"lost\"", "line 9: endpoint s-3: unknown status \"lost\""),
        (
            "\"target\": 0.6",
            "\"target\": \"soon\"",
            "line 17: settings: services.1.target=soon does not parse",
        ),
        ("}]},", "}}]},", "line 12: not JSON"),
    ] {
        let text = valid.replacen(from, to, 1);
        assert_ne!(text, valid, "{from}");
        folder.write("config.json", &text);
        let line = run_and_get_error(&[], &[("GW_CONFIG", &path)]);
        assert_eq!(line, format!("ERROR {path}: {reason}"));
    }
    std::fs::remove_file(&path).unwrap();
    let line = run_and_get_error(&[], &[("GW_CONFIG", &path)]);
    assert_eq!(line, format!("ERROR {path}: No such file or directory (os error 2)"));
}

/// Guards against a recovery that is reported as done although no node answered.
#[test]
fn a_recovery_without_an_answer_fails() {
    assert_eq!(run_and_get_error(&["fleet", "recover", "here"], &[]), "ERROR here: no address with a port");
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    for arguments in [&["fleet", "recover", &address][..], &["fleet", "recover", &address, "--yes"]] {
        assert_eq!(
            run_and_get_error(arguments, &[]),
            format!("ERROR {address}: Connection refused (os error 111)")
        );
    }
}
