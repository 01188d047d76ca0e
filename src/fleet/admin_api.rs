//! The calls at the store's address: HTTP on loopback.

use super::membership::MembershipRequest;
use super::runtime::{ChangeOutcome, Fleet, Table};
use super::zones::ZoneCommand;
use crate::engine::endpoints::EndpointRecord;
use crate::ids::NodeId;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::http::server::{self, Next, Request};
use crate::routing::Availability;
use crate::store::state_machine::{InventoryDifference, PendingDrain, ServiceSettings};
use crate::time::Timestamp;
use std::fmt::Write;
use std::rc::Rc;
use std::time::Instant;

/// Serves one connection of another daemon or an operator.
pub async fn serve(fleet: Rc<Fleet>, mut link: ClientConnection) {
    let mut buffer = Buffer::default();
    loop {
        let (bytes, keeps) = match server::next(&mut link, &mut buffer, &fleet.limits).await {
            Next::Over => break,
            Next::Refused(status, why) => (server::answer(status, &[("Connection", "close")], &why), false),
            Next::Request(request) if Fleet::is_link(&request) => {
                return fleet.serve_peer(link, buffer).await;
            }
            Next::Request(request) => {
                let (status, text) = answer(&fleet, &request).await;
                (server::answer(status, &[], &text), request.keeps_open() && !link.ends())
            }
        };
        if link.write(&bytes).await.is_err() || !keeps {
            break;
        }
    }
    let _ = link.linger().await;
}

async fn answer(fleet: &Fleet, request: &Request) -> (u16, String) {
    let (path, _) = request.target();
    let method = request.head.line[0].as_str();
    // A page in a browser on this machine could otherwise drain hosts.
    if request.head.get("origin").is_some() {
        return (403, "not for web pages".into());
    }
    match (method, path) {
        ("GET", "/hosts") => (200, hosts(fleet)),
        ("GET", "/fleet/learned") => (200, learned(fleet)),
        ("GET", "/zones") => (200, fleet.describe_zones().trim_end().to_string()),
        ("GET", "/fleet") => (200, describe(fleet)),
        ("GET", "/fleet/recover") => match fleet.recovery_preview() {
            Ok(text) => (200, text.trim_end().to_string()),
            Err(why) => (409, why),
        },
        ("POST", "/fleet/recover") => match fleet.recover() {
            Ok(text) => (200, text.trim_end().to_string()),
            Err(why) => (409, why),
        },
        ("POST", "/fleet/form") if fleet.form_fleet() => (200, "a fleet is formed".into()),
        ("POST", "/fleet/form") => (409, format!("not formed: {}", fleet.table().stand.0)),
        ("POST", _) => post(fleet, path).await,
        ("GET", _) => (404, "nothing is here".into()),
        _ => (405, "GET or POST".into()),
    }
}

async fn post(fleet: &Fleet, path: &str) -> (u16, String) {
    if fleet.table().removed {
        return (409, "this daemon was removed from its fleet: say it to another one".into());
    }
    if let Some(name) = path.strip_prefix("/drain/") {
        return match fleet.drain(name).await {
            None => (404, format!("no host {name:?}")),
            Some(ChangeOutcome::Agreed) => (200, format!("{name} drained")),
            Some(_) => {
                (202, format!("{name} drained here and wherever this daemon is heard; waits for a majority"))
            }
        };
    }
    if let Some(name) = path.strip_prefix("/undrain/") {
        let known = fleet.table().state.hosts.contains_key(name);
        return match fleet.undrain(name).await {
            ChangeOutcome::Agreed if known && fleet.table().state.is_drained(name) => {
                (409, format!("{name} stays drained: it was drained again meanwhile"))
            }
            ChangeOutcome::Agreed if known => (200, format!("{name} in service")),
            ChangeOutcome::Agreed => (404, format!("no host {name:?}")),
            _ => (
                503,
                format!("not done: no majority agreed in time; {name} stays drained. Say it again later"),
            ),
        };
    }
    if let Some((name, word)) = path.strip_prefix("/zone/").and_then(|rest| rest.rsplit_once('/')) {
        return zone(fleet, name, word).await;
    }
    let wish = path.strip_prefix("/fleet/vote/").map(|n| (n, MembershipRequest::GrantVote));
    let wish = wish.or(path.strip_prefix("/fleet/leave/").map(|n| (n, MembershipRequest::Remove)));
    let Some((name, wish)) = wish else { return (404, "nothing is here".into()) };
    match fleet.request_membership_change(name, wish).await {
        None => (404, format!("no daemon {name:?} in the fleet")),
        Some(ChangeOutcome::Agreed) if wish == MembershipRequest::GrantVote => (200, format!("{name} votes")),
        Some(ChangeOutcome::Agreed) => (200, format!("{name} has left")),
        Some(_) => (503, "not done: no majority agreed in time. Say it again later".into()),
    }
}

async fn zone(fleet: &Fleet, name: &str, word: &str) -> (u16, String) {
    let order = match word {
        "leave" => ZoneCommand::Evacuate,
        "return" => ZoneCommand::Return,
        "return-now" => ZoneCommand::ReturnNow,
        "hold" => ZoneCommand::Hold,
        _ => return (404, "nothing is here".into()),
    };
    match fleet.order_zone(name, order).await {
        None => (404, format!("no zone {name:?} with hosts")),
        Some(Err(why)) => (409, format!("not done: {why}")),
        Some(Ok((share, ChangeOutcome::Agreed))) => {
            (200, format!("{name} gets {} of 1000 by move {}", share.permille, share.version))
        }
        Some(Ok(_)) => (503, "not done: no majority agreed in time. Say it again later".into()),
    }
}

fn line(host: &EndpointRecord) -> String {
    let EndpointRecord { name, address, zone, group, weight, started_at, .. } = host;
    let status = if host.availability == Availability::Ready { "active" } else { "leaving" };
    format!(
        "{name} {address} {group} {zone} {weight} {status} {}",
        started_at.unwrap_or(Timestamp::ZERO).as_millis()
    )
}

fn hosts(fleet: &Fleet) -> String {
    let list = fleet.current_endpoint_list();
    list.map_or(String::new(), |l| l.entries.iter().map(line).collect::<Vec<_>>().join("\n"))
}

/// What the fleet has learned of the hosts, a line for each fact; who is believed to be primary comes first.
fn learned(fleet: &Fleet) -> String {
    let table = fleet.table();
    let now = fleet.now();
    let name = |id: NodeId| table.name(id);
    let beliefs = table.learned.primary_beliefs().iter().map(|(group, b)| {
        format!(
            "group {group} primary {} heard by {} {} ms ago",
            b.endpoint,
            name(b.observer),
            (now - b.observed_at).as_millis()
        )
    });
    let guesses = table.learned.restored_primaries(&table.state).into_iter().map(|(group, restored)| {
        let age = (now - restored.observed_at).as_millis();
        format!("group {group} guess {} from before this start, {age} ms ago", restored.endpoint)
    });
    beliefs.chain(guesses).chain(table.learned.describe(now, name)).collect::<Vec<_>>().join("\n")
}

/// What this daemon is in the fleet.
pub fn role(table: &Table) -> &'static str {
    let me = table.identity.id;
    match () {
        _ if table.broken.is_some() => "broken",
        _ if table.removed => "removed",
        _ if table.state.fleet.is_none() => "none",
        _ if table.status.leader == me => "leads",
        _ if table.status.configuration.voters.contains(&me) => "voter",
        _ => "follower",
    }
}

/// Figures for the door, a line each.
pub fn figures(fleet: &Fleet) -> String {
    let table = fleet.table();
    let heard = table.heard.iter().filter(|(id, h)| {
        table.state.members.contains_key(id) && h.at.elapsed() < fleet.limits.peer_gone_timeout
    });
    let unsent: u64 = fleet.links().iter().map(|w| w.dropped_messages()).sum();
    let (away, moves) = fleet.zone_figures();
    let lines = [
        ("members", table.state.members.len() as u64, 'g'),
        ("voters", table.status.configuration.voters.len() as u64, 'g'),
        ("heard", heard.count() as u64, 'g'),
        ("led", u64::from(table.status.leader != NodeId::NOBODY), 'g'),
        ("leads", u64::from(table.status.leader == table.identity.id), 'g'),
        ("term", table.status.term, 'g'),
        ("agreed", table.status.committed, 'g'),
        ("lag", table.lag(), 'g'),
        ("unagreed_drains", table.marks.all().len() as u64, 'g'),
        ("log_bytes", table.status.log_size.bytes as u64, 'g'),
        ("dropped", table.dropped + table.status.dropped_messages, 'c'),
        ("unsent", unsent, 'c'),
        ("panics", table.status.raft_restarts, 'c'),
        ("disk_writes", table.status.disk_writes, 'c'),
        ("recovery_step", fleet.service().step as u64, 'g'),
        ("zones_away", away, 'g'),
        ("zone_moves", moves, 'c'),
        ("lost", fleet.breaks.borrow().all().len() as u64, 'g'),
    ];
    lines.iter().fold(String::new(), |mut out, (name, value, kind)| {
        let _ = writeln!(out, "svc.fleet.{name}:{value}|{kind}");
        out
    })
}

/// All that is known of the fleet, a line for each fact.
pub fn describe(fleet: &Fleet) -> String {
    let table = fleet.table();
    let now = Instant::now();
    let name = |id: NodeId| match table.state.members.get(&id) {
        Some(m) => m.name.clone(),
        None if id == NodeId::NOBODY => "none".into(),
        None => table.heard.get(&id).map_or(format!("{id:016x}"), |h| h.name.clone()),
    };
    let status = &table.status;
    let mut out = String::new();
    let _ = writeln!(out, "fleet {:032x}", table.state.fleet);
    let _ = writeln!(out, "daemon {} {:016x} {}", fleet.me.name, table.identity.id, role(&table));
    let _ = writeln!(out, "leader {} term {}", name(status.leader), status.term);
    let lag = table.lag();
    let _ = writeln!(
        out,
        "agreed {} applied {} digest {:08x} lag {lag}",
        status.committed, table.applied, table.state.digest
    );
    let stale = table.state.fleet.is_none()
        || status.leader == NodeId::NOBODY
        || table.removed
        || table.broken.is_some();
    let _ = writeln!(
        out,
        "serves {}",
        match (&table.state.inventory, stale) {
            (None, _) => "nothing: no inventory was agreed yet",
            (Some(_), false) => "with what is agreed",
            (Some(_), true) => "with what was last agreed: no majority is known",
        }
    );
    if table.state.fleet.is_none() {
        let _ = writeln!(out, "waits {} ms: {}", (now - table.stand.1).as_millis(), table.stand.0);
    }
    let service = fleet.service();
    let _ = match service.done {
        Some(done) => {
            writeln!(out, "recovery done {} ms after the start", (done - service.began).as_millis())
        }
        None => writeln!(
            out,
            "recovery step {} for {} ms; waits for {}",
            service.step,
            (now - service.since).as_millis(),
            service.waits
        ),
    };
    for b in fleet.breaks.borrow().all() {
        let _ =
            writeln!(out, "lost group {} after {} up to {}", b.group, b.from.as_millis(), b.to.as_millis());
    }
    if let Some(why) = &table.broken {
        let _ = writeln!(out, "broken {why}");
    }
    for PendingDrain { host, drain } in table.marks.all() {
        let _ = writeln!(out, "unagreed drain {host} said by {} {}", name(drain.node), drain.sequence);
    }
    for host in table.state.drains.keys() {
        let _ = writeln!(out, "drain {host}");
    }
    if let Some(ServiceSettings { provenance: source, .. }) = &table.state.settings {
        let _ = writeln!(
            out,
            "settings of {} changed {} version {}",
            source.read_by,
            source.changed_at.as_millis(),
            source.version
        );
    }
    if let Some(source) = &table.state.inventory {
        let own = match (&table.files.hosts, table.differs) {
            (None, _) => "no file of its own".to_string(),
            (_, None) => "its own file says the same".to_string(),
            (_, Some(InventoryDifference { added, changed, missing })) => {
                format!("its own file adds {added}, changes {changed}, lacks {missing}")
            }
        };
        let _ = writeln!(
            out,
            "inventory of {} changed {} version {} hosts {}; {own}",
            source.read_by,
            source.changed_at.as_millis(),
            source.version,
            table.state.hosts.len()
        );
    }
    for (id, member) in &table.state.members {
        let votes = if status.configuration.voters.contains(id) { "voter" } else { "follower" };
        let word = match table.heard.get(id) {
            _ if *id == table.identity.id => "this daemon".to_string(),
            None => "never heard".to_string(),
            Some(h) => format!(
                "heard {} ms ago agreed {} applied {} leader {}",
                (now - h.at).as_millis(),
                h.beat.commit_index,
                h.beat.applied.index,
                name(h.beat.leader)
            ),
        };
        let _ = writeln!(out, "member {} {id:016x} {} {votes} {word}", member.name, member.address);
    }
    for (id, (hello, at)) in &table.candidates {
        if !table.state.members.contains_key(id) {
            let _ = writeln!(out, "candidate {} {id:016x} {} ms ago", hello.name, (now - *at).as_millis());
        }
    }
    for (id, name) in table.state.removed.iter().rev().take(8) {
        let _ = writeln!(out, "removed {name} {id:016x}");
    }
    let full: u64 = fleet.links().iter().map(|w| w.dropped_messages()).sum();
    let _ = writeln!(
        out,
        "dropped frames {} letters {} unsent {full} panics {}",
        table.dropped, status.dropped_messages, status.raft_restarts
    );
    let _ = write!(out, "log bytes {} entries {}", status.log_size.bytes, status.log_size.entries);
    out
}
