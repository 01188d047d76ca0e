//! Both inventory formats, and the lines that their errors name.

use super::*;
use crate::routing::{Availability, GroupId};

fn read(name: &str, text: &str) -> Result<Vec<EndpointRecord>, InventoryError> {
    inventory(name, text).map(|inventory| inventory.hosts)
}

fn inventory(name: &str, text: &str) -> Result<Inventory, InventoryError> {
    parse(Path::new(name), text, &["a".to_string(), "b".to_string()], &Limits::for_sockets(64))
}

/// Guards against a zone with two regions, and against a region without a zone.
#[test]
fn a_zone_belongs_to_one_region() {
    let csv = CSV.replace("status\n", "status,region\n").replace("active\n", "active,north\n");
    let csv = csv.replace("leaving\n", "leaving,\n");
    let yaml = YAML
        .replace("{brookpass_group: 1}", "{brookpass_group: 1, brookpass_zone: a, brookpass_region: north}");
    let expected = Regions::from([(ZoneId(0), "north".to_string())]);
    assert_eq!(inventory("i.csv", &csv).unwrap().regions, expected);
    assert_eq!(inventory("i.yml", &yaml).unwrap().regions, expected);
    let second = csv + "s-3,127.0.0.1:7003,1,a,1,active,";
    for (row, why) in [("south", "in region \"north\""), ("no/name", "no such value")] {
        let error = inventory("i.csv", &format!("{second}{row}\n")).unwrap_err();
        assert!(error.line == 5 && error.problem.to_string().contains(why), "{error}");
    }
    let error = inventory("i.csv", &second.replace("1,a,1,active,north", "1,,1,active,north")).unwrap_err();
    assert!(error.line == 2 && error.problem.to_string().contains("without a zone"), "{error}");
}

const CSV: &str = "name,address,group,zone,weight,status\n\
                   s-1,127.0.0.1:7001,1,a,1,active\n\
                   # spare\n\
                   s-2,127.0.0.1:7002,2,b,0.5,leaving\n";

const YAML: &str = "all:\n  vars: {ansible_user: ops, ansible_host: 127.0.0.1}\n  children:\n    set_1:\n      \
                    vars: {brookpass_group: 1}\n      hosts:\n        s-1: {ansible_port: 7001}\n    set_2:\n      \
                    vars: {brookpass_group: 2, brookpass_zone: b, brookpass_weight: 0.5}\n      hosts:\n        \
                    s-2:\n          ansible_port: 7002\n          brookpass_status: leaving\n";

#[test]
fn both_formats_yield_the_same_endpoints() {
    let (csv, yaml) = (read("i.csv", CSV).unwrap(), read("i.yml", YAML).unwrap());
    assert_eq!(csv, yaml);
    assert_eq!((csv[1].group, csv[1].zone, csv[1].weight), (GroupId(2), ZoneId(1), 0.5));
    assert_eq!(csv[1].availability, Availability::Draining);
}

#[test]
fn an_error_rejects_the_whole_file_and_names_its_line() {
    for (name, from, to, line, why) in [
        ("i.csv", "name,address", "host,address", 1, "no column \"name\""),
        ("i.csv", "s-2,127", "s-1,127", 4, "stands twice"),
        ("i.csv", "0.5,leaving", "0.5", 4, "5 values under 6 columns"),
        ("i.csv", ",2,b", ",two,b", 4, "group \"two\""),
        ("i.csv", "7002", "port", 4, "no address"),
        ("i.csv", "127.0.0.1:7002", "10.0.0.1:7002", 4, "loopback"),
        ("i.yml", "brookpass_group: 2, ", "", 12, "has no group"),
        ("i.yml", "brookpass_weight", "brookpass_wait", 9, "unknown variable"),
        ("i.yml", "brookpass_status: leaving", "brookpass_status: gone", 13, "status \"gone\""),
        ("i.yml", "all:\n", "all: [\n", 3, ""),
        ("i.txt", "all", "all", 1, "is a .csv"),
    ] {
        let text = if name == "i.csv" { CSV } else { YAML }.replacen(from, to, 1);
        let error = read(name, &text).unwrap_err();
        assert!(error.problem.to_string().contains(why), "{name} {to:?}: {error}");
        assert_eq!(error.line, line, "{name} {to:?}: {error}");
    }
}
