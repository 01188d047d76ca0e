//! What the program says on its command line, and its exit codes: scripts and units of operators rest on them.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;

const USAGE: &str = include_str!("fixtures/usage.txt");

/// A folder of the test's own, gone after it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("golden-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Exit code, standard output and standard error.
fn run(words: &[&str], variables: &[(&str, &str)]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brookpass"));
    command.args(words).env_remove("GW_CONFIG").env_remove("BROOKPASS_LOG").envs(variables.iter().copied());
    let out = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

/// The one line of an error without its time; more lines or anything on standard output are a fault.
fn error(words: &[&str], variables: &[(&str, &str)]) -> String {
    let (code, out, errors) = run(words, variables);
    assert_eq!((code, out.as_str(), errors.lines().count()), (Some(1), "", 1), "{words:?}: {errors}");
    let (time, line) = errors.trim_end().split_once(' ').unwrap();
    assert!(time.bytes().all(|b| b.is_ascii_digit() || b == b'.'), "{errors}");
    line.to_string()
}

const GOOD: &str = include_str!("fixtures/operator-every-key.yaml");
const HOSTS: &str = include_str!("fixtures/inventory-every-column.csv");

/// Guards against words that scripts use and that are others after an update.
#[test]
fn version_and_usage_are_as_they_were() {
    let version = format!("brookpass {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(run(&["--version"], &[]), (Some(0), version, String::new()));
    for words in [["--help"], ["-h"]] {
        assert_eq!(run(&words, &[]), (Some(0), USAGE.to_string(), String::new()), "{words:?}");
    }
    for words in [
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
        assert_eq!(run(words, &[]), (Some(1), String::new(), USAGE.to_string()), "{words:?}");
    }
}

/// Guards against a check that says yes to what a start refuses, or says no in other words.
#[test]
fn a_check_says_what_is_in_order_and_names_file_and_line_of_what_is_not() {
    let folder = Folder::new("check");
    let file = folder.write("operator.yaml", GOOD);
    let hosts = folder.write("hosts.csv", HOSTS);
    let check = ["--check", file.as_str()];
    assert_eq!(run(&check, &[]), (Some(0), format!("{file}: in order, 2 hosts\n"), String::new()));
    folder.write("operator.yaml", &GOOD.replace("inventory: hosts.csv\n", ""));
    assert_eq!(run(&check, &[]), (Some(0), format!("{file}: in order, 0 hosts\n"), String::new()));
    for words in [["--check", file.as_str()], ["--operator", file.as_str()]] {
        folder.write("operator.yaml", &GOOD.replace("number: 3", "nummer: 3"));
        let line = format!("ERROR {file}: line 3: \"nummer\" is unknown in the operator's file");
        assert_eq!(error(&words, &[]), line, "{words:?}");
        folder.write("operator.yaml", &GOOD.replace("warm-up: 16", "warm-up: long"));
        let line = format!("ERROR {file}: line 61: guarantees.warm-up: \"long\" is no such value");
        assert_eq!(error(&words, &[]), line, "{words:?}");
        folder.write("operator.yaml", GOOD);
        folder.write("hosts.csv", &HOSTS.replace("leaving", "gone"));
        let line = format!("ERROR {hosts}: line 3: host \"s-2\": status \"gone\" is no such value");
        assert_eq!(error(&words, &[]), line, "{words:?}");
        std::fs::remove_file(&hosts).unwrap();
        let line = format!("ERROR {hosts}: No such file or directory (os error 2)");
        assert_eq!(error(&words, &[]), line, "{words:?}");
        std::fs::remove_file(&file).unwrap();
        let line = format!("ERROR {file}: No such file or directory (os error 2)");
        assert_eq!(error(&words, &[]), line, "{words:?}");
    }
}

/// Guards against a start on the platform that goes on with half a configuration, or says why in other words.
#[test]
fn a_platform_configuration_out_of_form_is_one_line_with_file_and_line() {
    let folder = Folder::new("platform");
    let good = include_str!("fixtures/platform-every-key.json");
    let path = folder.0.join("config.json").to_str().unwrap().to_string();
    for (from, to, why) in [
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
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good, "{from}");
        folder.write("config.json", &text);
        let line = error(&[], &[("GW_CONFIG", &path)]);
        assert_eq!(line, format!("ERROR {path}: {why}"));
    }
    std::fs::remove_file(&path).unwrap();
    let line = error(&[], &[("GW_CONFIG", &path)]);
    assert_eq!(line, format!("ERROR {path}: No such file or directory (os error 2)"));
}

/// Guards against a recovery that is taken for done though nobody answered.
#[test]
fn a_recovery_that_reaches_nobody_says_so() {
    assert_eq!(error(&["fleet", "recover", "here"], &[]), "ERROR here: no address with a port");
    let at = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    for words in [&["fleet", "recover", &at][..], &["fleet", "recover", &at, "--yes"]] {
        assert_eq!(error(words, &[]), format!("ERROR {at}: Connection refused (os error 111)"));
    }
}
