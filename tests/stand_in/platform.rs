//! The program as the platform starts it, with a group of two hosts.

use super::*;

pub const SETTINGS: &str = r#"{"balancers":1,"me":0,"discovery":"automatic","zones":["a"],"zone":0,
 "services":[
  {"name":"read","target":1.0,"deadline":2.5,"repeat":"repeatable","worth":3,"late-worth":0.2},
  {"name":"write","target":0.6,"deadline":2.0,"repeat":"by_key","group":"cell","dedup-window":1.2,"worth":6,"late-worth":0.5}],
 "family-info":{"consistency":["lag_bound","mutate"],"max-age":[0.8,0.0],"behind":"await","session-marks":"brought","zero":12.5},
 "limits":{"may-cancel":true,"second-copies":false,"retry-after":true,"max-retry-after":1.0,"max-attempts":8,
  "connect-timeout":0.25,"conn-idle":15.0},
 "report":{"via":"answers","fields":["x0","x1","util"]}}"#;

pub struct Setup {
    pub config: PathBuf,
    pub daemon: Daemon,
    pub address: SocketAddr,
    pub discovery: Discovery,
}

pub fn config(listen: &str, discovery: SocketAddr, settings: &str) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f\",\n\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\n\"settings\":{settings}}}"
    )
}

pub fn started(endpoints: &[String]) -> Setup {
    started_with(endpoints, 1024)
}

pub fn started_with(endpoints: &[String], sockets: u32) -> Setup {
    started_on(endpoints, |text| text.replace("\"sockets\":1024", &format!("\"sockets\":{sockets}")))
}

/// The program on a configuration that `change` makes of the usual one.
pub fn started_on(endpoints: &[String], change: impl Fn(&str) -> String) -> Setup {
    let discovery = Discovery::start();
    discovery.preset(endpoints);
    let path = folder("platform").join("config.json");
    std::fs::write(&path, change(&config("127.0.0.1:0", discovery.address, SETTINGS))).unwrap();
    let (daemon, address) = daemon_on(&path);
    discovery.wait_for_watch();
    Setup { config: path, daemon, address, discovery }
}

/// The program on a configuration, and where clients find it.
pub fn daemon_on(config: &std::path::Path) -> (Daemon, SocketAddr) {
    let mut daemon = Daemon::start(&[], &[("GW_CONFIG", config.to_str().unwrap())]);
    let address = daemon.address(log_lines::POSTGRES_LISTENING);
    (daemon, address)
}

pub fn read(id: &str, wait: u32) -> String {
    format!("/* id={id},c=read,d={wait},cluster=1 */ SELECT payload FROM entries WHERE ref = 'a'")
}

pub fn write(id: &str, wait: u32, key: &str) -> String {
    format!(
        "/* id={id},c=write,d={wait}{key},cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('a', 'b') RETURNING payload"
    )
}

/// A believed primary that takes writes; the module starts at the first in its order, so both stand in.
pub fn pair(primary: impl Fn(&str) -> Reply + Send + Sync + 'static) -> (PgHost, PgHost) {
    let replica =
        |text: &str| if text.contains("INSERT") { Reply::Error("25006") } else { Reply::Row(b"replica") };
    (PgHost::start("source", primary), PgHost::start("copy", replica))
}

pub fn both(p: &PgHost, r: &PgHost) -> Vec<String> {
    vec![endpoint("p", p.address, 1, "active"), endpoint("r", r.address, 1, "active")]
}
