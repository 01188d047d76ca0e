//! The daemon's program.

use brookpass::config::Limits;
use brookpass::daemon::{self, operator, operator_config as file, platform};
use brookpass::logger;
use brookpass::net::http::client::Client;
use std::net::SocketAddr;
use std::process::ExitCode;

const USAGE: &str = "usage: brookpass                   serve the platform; GW_CONFIG names the configuration
       brookpass --operator FILE   serve SPARQL as an operator's file says
       brookpass --check FILE      read an operator's file and its inventory, and say whether they are in order
       brookpass fleet recover ADDRESS [--yes]
                                   have the daemon whose store is there go on alone where no majority is left; without
                                   --yes it only says what would be lost
       brookpass --version";

fn check(path: &str) -> Result<(), String> {
    let operator = file::load(path.as_ref())?;
    let hosts = match &operator.inventory {
        Some(inventory) => {
            file::inventory(inventory, &operator.zones, &Limits::for_sockets(operator.sockets))?.0.hosts
        }
        None => Vec::new(),
    };
    println!("{path}: in order, {} hosts", hosts.len());
    Ok(())
}

/// Has a daemon go on alone, or says what that would lose.
fn recover(address: &str, yes: bool) -> Result<(), String> {
    let at: SocketAddr = address.parse().map_err(|_| format!("{address}: no address with a port"))?;
    let call = async {
        let mut client = Client::connect(at).await?;
        let method = if yes { "POST" } else { "GET" };
        let request = format!("{method} /fleet/recover HTTP/1.1\r\nHost: {at}\r\nContent-Length: 0\r\n\r\n");
        client.call(request.as_bytes(), &Limits::for_sockets(0)).await
    };
    let (head, body, _) = async_io::block_on(call).map_err(|e| format!("{at}: {e}"))?;
    let text = String::from_utf8_lossy(&body);
    if head.line[1] != "200" {
        return Err(format!("{at}: {text}"));
    }
    println!("{text}");
    println!("{}", if yes { "done" } else { "nothing was done; say it again with --yes to have it so" });
    Ok(())
}

fn start() -> Result<(), String> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {
            let path = std::env::var("GW_CONFIG").map_err(|_| USAGE.to_string())?;
            let config = platform::load(&path)?;
            daemon::run(|executor| platform::serve(path, config, executor))
        }
        ["--operator", path] => {
            let config = file::load(path.as_ref())?;
            daemon::run(|executor| operator::serve(config, executor))
        }
        ["--check", path] => check(path),
        ["fleet", "recover", address] => recover(address, false),
        ["fleet", "recover", address, "--yes"] => recover(address, true),
        ["--version"] => {
            println!("brookpass {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        ["--help" | "-h"] => {
            println!("{USAGE}");
            Ok(())
        }
        _ => Err(USAGE.to_string()),
    }
}

fn main() -> ExitCode {
    logger::start();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) if e == USAGE => {
            eprintln!("{USAGE}");
            ExitCode::FAILURE
        }
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
