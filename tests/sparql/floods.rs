//! Clients and endpoints that send at full speed: other clients must still be answered in time.

use super::endpoint::{Reply, SparqlEndpoint};
use super::pooler::{
    OperatorFiles, RunningPooler, entry, entry_of_group, query_request, start_pooler, update_request,
};
use super::stand_in::flood::{Answer, Flood, RequestSchedule, Service, assert_served, measure_service};
use super::stand_in::http::{HttpClient, read_http_message};
use super::stand_in::network::spawn_server;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;

/// Number of connections that send at full speed.
const FLOODING_CLIENTS: usize = 6;
/// The other client's requests.
const SCHEDULE: RequestSchedule = RequestSchedule {
    timeout: Duration::from_millis(500),
    interval: Duration::from_millis(10),
    period: Duration::from_millis(1_500),
};

/// The floods run one after the other.
static ONE_FLOOD: Mutex<()> = Mutex::new(());

/// Measures updates at the client address, each on a new connection.
fn measure_updates(pooler: &RunningPooler) -> Service {
    measure_service(SCHEDULE, |_| {
        let mut client = HttpClient::connect(pooler.client_address);
        client.send(&update_request("Brookpass-Time-Left-Ms: 500\r\n"));
        match read_http_message(&mut client.reader) {
            Some(response) if response.status() == 200 => Answer::Served,
            Some(_) => Answer::Other,
            None => Answer::Missing,
        }
    })
}

#[test]
fn pipelined_requests_at_full_speed_do_not_delay_other_clients() {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let endpoint = SparqlEndpoint::primary_replying(|_| Some(Reply::text(200, "x")));
    let pooler = start_pooler(&OperatorFiles::write("flood", &[entry("p", endpoint.address)]));
    for request in [
        "GET /nothing HTTP/1.1\r\nHost: b\r\n\r\n",
        "GET /-/ready HTTP/1.1\r\nHost: b\r\n\r\n",
        "GET /sparql?nothing=1 HTTP/1.1\r\nHost: b\r\n\r\n",
    ] {
        let flood = Flood::start(FLOODING_CLIENTS, pooler.client_address, Vec::new(), |_| request.into());
        let beside = measure_updates(&pooler);
        assert_served(&beside, &format!("beside {} times {request:?}", flood.sent_commands()));
    }
    let flood = Flood::start(FLOODING_CLIENTS, pooler.store_address, Vec::new(), |_| {
        "GET /hosts HTTP/1.1\r\nHost: b\r\n\r\n".into()
    });
    let beside = measure_updates(&pooler);
    assert_served(&beside, &format!("beside {} calls of the store", flood.sent_commands()));
}

#[test]
fn endless_interim_responses_of_an_endpoint_do_not_delay_other_clients() {
    let _one_flood = ONE_FLOOD.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let healthy = SparqlEndpoint::primary_replying(|_| Some(Reply::text(200, "x")));
    let endless = spawn_server(|mut stream| {
        let interim_responses = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
        while stream.write_all(interim_responses.as_bytes()).is_ok() {}
    });
    let entries = [entry("p", healthy.address), entry_of_group("endless", endless, 2)];
    let pooler = start_pooler(&OperatorFiles::write("interim", &entries));
    let mut waiting = Vec::new();
    for _ in 0..FLOODING_CLIENTS {
        let mut client = HttpClient::connect(pooler.client_address);
        client.send(&query_request("Brookpass-Group: 2\r\nBrookpass-Time-Left-Ms: 600000\r\n"));
        waiting.push(client);
    }
    assert_served(&measure_updates(&pooler), "beside endless interim responses");
}
