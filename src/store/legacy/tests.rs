//! Import of store files of version 0.2.0, intact and damaged.

use super::*;

const FILE: &str = "brookpass-store 1\n3\ta.1\tconfig/changed\t+7\n2\ta.1\tconfig/settings\t+x=1\\ny=2\\n\n\
                    5\ta.1\tdrain/s-1\t+1\n6\ta.1\tdrain/s-2\t-\n1\ta.1\thost/s-1\t+127.0.0.1:7001 1 0 0.5 active 12\n\
                    4\ta.1\tinventory/changed\t+9\npending\t\tdrain/s-3\t+1\nend\n";

#[test]
fn an_intact_file_is_parsed() {
    let store = parse(FILE).unwrap();
    assert_eq!(store.drains, ["s-1", "s-3"], "including one without a sequence number");
    assert_eq!(
        store.settings,
        Some(LegacySettings { text: "x=1\ny=2\n".to_string(), changed_at: Timestamp::from_micros(7) })
    );
    assert_eq!((store.hosts_changed_at, store.hosts.len()), (Timestamp::from_micros(9), 1));
    let host = &store.hosts[0].host;
    assert_eq!((host.started_at, host.weight), (Some(Timestamp::from_micros(12_000)), 0.5));
    assert_eq!(store.changes("b1").len(), 2);
}

/// Guards against importing only a part of a damaged file.
#[test]
fn a_truncated_or_malformed_file_is_rejected_with_the_line_number() {
    for (text, expected) in [
        (FILE.replace("end\n", ""), "line 9: the file is truncated"),
        (FILE.replace("\t+7", "\t+x"), "line 2: invalid time"),
        (FILE.replace("active 12", "active"), "line 6: invalid host"),
        (FILE.replace("\\n\n", "\\q\n"), "line 3: invalid escape sequence"),
        (FILE.replace("end\n", "end\nmore\n"), "line 10: data after the end"),
    ] {
        let error = parse(&text).unwrap_err();
        assert!(error.to_string().starts_with(expected), "{error}");
    }
}
