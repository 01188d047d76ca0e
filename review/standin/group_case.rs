//! A host that an edit of the inventory moves to another set.

use crate::sparql::{self, Endpoint};
use crate::util::*;
use std::sync::Arc;

/// An edit is read within half a second and committed; after this time it counts as known.
const KNOWN_AFTER_US: i64 = 3_000_000;

fn write_inventory(place: &Place, hosts: &[(&Arc<Endpoint>, u32)]) {
    let mut text = String::from("name,address,group,zone\n");
    for (endpoint, group) in hosts {
        text += &format!("{},{},{group},zona-10\n", endpoint.name, endpoint.address);
    }
    let path = place.temporary.join("inventory.csv");
    let new = place.temporary.join("inventory.new");
    std::fs::write(&new, text).expect("the inventory");
    std::fs::rename(&new, &path).expect("the inventory is replaced");
}

pub fn run(place: &Place) -> i32 {
    let record = &place.record;
    let north: Vec<Arc<Endpoint>> =
        vec![Endpoint::start("n-1", "north", true, 20), Endpoint::start("n-2", "north", false, 20)];
    let south: Vec<Arc<Endpoint>> =
        vec![Endpoint::start("s-1", "south", true, 20), Endpoint::start("s-2", "south", false, 20)];
    let (front, store) = (free_address(), free_address());
    let text = format!(
        "name: b1\nnumber: 0\nsparql:\n  listen: {front}\n  path: /sparql\n  host_path: /sparql\n  query: catalog-read\n  session: own-edit-read\n  update: score-write\nstore:\n  listen: {store}\n  peers: []\n  snapshot: b1.store\ninventory: inventory.csv\nzones: [zona-10]\nsockets: 1024\n{}",
        sparql::settings(1)
    );
    std::fs::write(place.temporary.join("operator.yaml"), text).expect("the operator's file");
    // Without trouble the file is right from the start.
    let (n, s) = if trouble() { (2, 1) } else { (1, 2) };
    write_inventory(place, &[(&north[0], n), (&north[1], n), (&south[0], s), (&south[1], s)]);
    let file = place.temporary.join("operator.yaml");
    let _program = Program::start(
        &place.root,
        &format!("--operator {}", file.display()),
        &[],
        &place.temporary.join("b1.log"),
    );
    if !wait_for(25.0, || sparql::is_ready(front)) {
        record.say("could not run: the pooler is not ready");
        return COULD_NOT_RUN;
    }
    // Some writes to each set, then some reads; returns how many were served.
    let traffic = |label: &str| {
        let mut served = 0;
        for kind in ["write", "read"] {
            for n in 0..20 {
                for group in [1, 2] {
                    let mark = format!("{label}_{group}_{n}");
                    let headers = format!("Brookpass-Group: {group}\r\n");
                    let request = match kind {
                        "write" => sparql::update(&mark, &format!("{headers}Brookpass-Key: {mark}\r\n")),
                        _ => sparql::query(&mark, &headers),
                    };
                    let sent_us = now_us();
                    let answer = sparql::send(front, &request);
                    served += usize::from(answer.status() == 200);
                    let text =
                        format!("{kind} {mark} of group {group}: {} {:?}", answer.status(), answer.body);
                    record.line_at(sent_us, &text);
                }
                sleep_ms(30);
            }
        }
        served
    };
    traffic("before");
    sleep_ms(1100);
    write_inventory(place, &[(&north[0], 1), (&north[1], 1), (&south[0], 2), (&south[1], 2)]);
    let edited_us = now_us();
    record.say("the inventory is edited: n-1 and n-2 in set 1, s-1 and s-2 in set 2");
    sleep_ms(4000);
    record.say(&crate::http::call(store, "GET", "/hosts").body);
    if traffic("after") == 0 {
        record.say("could not run: nothing was served after the edit");
        return COULD_NOT_RUN;
    }
    let (mut wrong, mut writes) = (0, 0);
    let mut first = String::new();
    for (endpoints, group) in [(&north, "1"), (&south, "2")] {
        for endpoint in endpoints {
            for arrival in endpoint.arrivals() {
                let kind = if arrival.is_update { "write" } else { "read" };
                let text = format!(
                    "{} got a {kind} of group {}: {}: {}",
                    endpoint.name, arrival.group, arrival.status, arrival.text
                );
                record.line_at(arrival.at_us, &text);
                if arrival.at_us > edited_us + KNOWN_AFTER_US && arrival.group != group {
                    wrong += 1;
                    writes += i32::from(arrival.is_update && arrival.status == 200);
                    if first.is_empty() {
                        first = text;
                    }
                }
            }
        }
    }
    if wrong == 0 {
        record.say("held: every request reached a host of its own set");
        return HELD;
    }
    record.say(&format!(
        "broken: {wrong} requests reached a host of another set, which ran {writes} writes of them"
    ));
    record.say(&format!("the first: {first}"));
    BROKEN
}
