//! The HTTP interface for operators at the store's address, on loopback only. The same address serves peer connections.
//!
//! Scripts depend on the texts and status codes of all responses; golden tests compare them.

mod description;
mod metrics;

pub use self::description::{NodeRole, describe_fleet, node_role};
pub use self::metrics::render_metrics;

use super::membership::{MemberRequest, MembershipRequest};
use super::runtime::{
    DrainOutcome, Fleet, MembershipRequestError, NoMajority, RecoveryError, RecoveryPlan, ZoneCommandFailure,
};
use super::zones::ZoneCommand;
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::http::server::{self, NextRequest, Request};
use std::rc::Rc;

/// A response to an operator's request.
struct Answer {
    status: u16,
    text: String,
}

impl Answer {
    fn new(status: u16, text: impl Into<String>) -> Answer {
        Answer { status, text: text.into() }
    }

    fn not_found() -> Answer {
        Answer::new(404, "nothing is here")
    }

    /// No majority is known to have committed the command in time.
    fn no_majority(failure: NoMajority) -> Answer {
        let text = match failure {
            NoMajority::NotProposed => "not done: no majority agreed in time. Say it again later",
            NoMajority::OutcomeUnknown => {
                "not known to be done: a majority may have agreed unheard by this daemon. Look at another one, or say it \
                 again"
            }
        };
        Answer::new(503, text)
    }
}

/// Serves one connection from an operator or a peer.
pub async fn serve(fleet: Rc<Fleet>, mut connection: ClientConnection) {
    let mut buffer = Buffer::default();
    loop {
        let request = match server::next_request(&mut connection, &mut buffer, &fleet.limits).await {
            NextRequest::ConnectionClosed => break,
            NextRequest::Rejected(error) => {
                let refusal =
                    server::text_response(error.status(), &[("Connection", "close")], &error.to_string());
                let _ = connection.write(&refusal).await;
                break;
            }
            NextRequest::Received(request) if Fleet::is_peer_connection(&request) => {
                return fleet.serve_peer(connection, buffer).await;
            }
            NextRequest::Received(request) => request,
        };
        let Answer { status, text } = answer(&fleet, &request).await;
        let stays_open = request.keeps_connection_open() && !connection.must_close();
        let is_written = connection.write(&server::text_response(status, &[], &text)).await.is_ok();
        if !is_written || !stays_open {
            break;
        }
    }
    let _ = connection.linger().await;
}

async fn answer(fleet: &Fleet, request: &Request) -> Answer {
    let (path, _) = request.path_and_query();
    let method = request.head.method();
    // Otherwise a web page in a browser on this machine could drain endpoints.
    if request.head.header("origin").is_some() {
        return Answer::new(403, "not for web pages");
    }
    match (method, path) {
        ("GET", "/hosts") => Answer::new(200, description::describe_endpoints(fleet)),
        ("GET", "/fleet/learned") => Answer::new(200, description::describe_gossip(fleet)),
        ("GET", "/zones") => Answer::new(200, fleet.describe_zones().trim_end()),
        ("GET", "/fleet") => Answer::new(200, describe_fleet(fleet)),
        ("GET", "/fleet/recover") => answer_recovery(fleet.plan_recovery()),
        ("POST", "/fleet/recover") => answer_recovery(fleet.recover_on_order()),
        ("POST", "/fleet/form") => match fleet.found_fleet_on_order() {
            Ok(()) => Answer::new(200, "a fleet is formed"),
            Err(error) => Answer::new(409, error.to_string()),
        },
        ("POST", _) => answer_command(fleet, path).await,
        ("GET", _) => Answer::not_found(),
        _ => Answer::new(405, "GET or POST"),
    }
}

fn answer_recovery(result: Result<RecoveryPlan, RecoveryError>) -> Answer {
    match result {
        Ok(plan) => Answer::new(200, plan.to_string().trim_end()),
        Err(error) => Answer::new(409, error.to_string()),
    }
}

/// Carries out a command that requires membership in the fleet.
async fn answer_command(fleet: &Fleet, path: &str) -> Answer {
    if fleet.agreed().is_removed() {
        return Answer::new(409, "this daemon was removed from its fleet: say it to another one");
    }
    if let Some(endpoint) = path.strip_prefix("/drain/") {
        return drain(fleet, endpoint).await;
    }
    if let Some(endpoint) = path.strip_prefix("/undrain/") {
        return undrain(fleet, endpoint).await;
    }
    if let Some((zone, command)) = path.strip_prefix("/zone/").and_then(|rest| rest.rsplit_once('/')) {
        return command_zone(fleet, zone, command).await;
    }
    if let Some(name) = path.strip_prefix("/fleet/vote/") {
        return change_membership(fleet, name, MembershipRequest::GrantVote).await;
    }
    if let Some(name) = path.strip_prefix("/fleet/leave/") {
        return change_membership(fleet, name, MembershipRequest::Remove).await;
    }
    Answer::not_found()
}

async fn drain(fleet: &Fleet, endpoint: &str) -> Answer {
    match fleet.drain(endpoint).await {
        Ok(DrainOutcome::Committed) => Answer::new(200, format!("{endpoint} drained")),
        Ok(DrainOutcome::AwaitsMajority) => Answer::new(
            202,
            format!("{endpoint} drained here and wherever this daemon is heard; waits for a majority"),
        ),
        Err(error) => Answer::new(404, error.to_string()),
    }
}

async fn undrain(fleet: &Fleet, endpoint: &str) -> Answer {
    let is_known = fleet.agreed().state().hosts.contains_key(endpoint);
    match fleet.undrain(endpoint).await {
        Ok(()) => {}
        Err(NoMajority::NotProposed) => {
            let text =
                format!("not done: no majority agreed in time; {endpoint} stays drained. Say it again later");
            return Answer::new(503, text);
        }
        Err(failure @ NoMajority::OutcomeUnknown) => return Answer::no_majority(failure),
    }
    if !is_known {
        return Answer::new(404, format!("no host {endpoint:?}"));
    }
    if fleet.agreed().state().is_drained(endpoint) {
        return Answer::new(409, format!("{endpoint} stays drained: it was drained again meanwhile"));
    }
    Answer::new(200, format!("{endpoint} in service"))
}

async fn command_zone(fleet: &Fleet, zone: &str, command: &str) -> Answer {
    let command = match command {
        "leave" => ZoneCommand::Evacuate,
        "return" => ZoneCommand::Return,
        "return-now" => ZoneCommand::ReturnNow,
        "hold" => ZoneCommand::Hold,
        _ => return Answer::not_found(),
    };
    match fleet.command_zone(zone, command).await {
        Ok(weight) => {
            let text = format!("{zone} gets {} of 1000 by move {}", weight.permille, weight.version);
            Answer::new(200, text)
        }
        Err(ZoneCommandFailure::NoMajority(failure)) => Answer::no_majority(failure),
        Err(error @ ZoneCommandFailure::UnknownZone(_)) => Answer::new(404, error.to_string()),
        Err(error @ (ZoneCommandFailure::Refused(_) | ZoneCommandFailure::Superseded)) => {
            Answer::new(409, error.to_string())
        }
    }
}

async fn change_membership(fleet: &Fleet, name: &str, request: MembershipRequest) -> Answer {
    let member_request = MemberRequest { member: name.to_string(), request };
    match (fleet.change_membership(member_request).await, request) {
        (Ok(()), MembershipRequest::GrantVote) => Answer::new(200, format!("{name} votes")),
        (Ok(()), MembershipRequest::Remove) => Answer::new(200, format!("{name} has left")),
        (Err(error @ MembershipRequestError::UnknownMember(_)), _) => Answer::new(404, error.to_string()),
        (Err(MembershipRequestError::NoMajority(failure)), _) => Answer::no_majority(failure),
    }
}
