//! The daemon's program.

use brookpass::config::Limits;
use brookpass::daemon::{self, file, operator, platform};
use brookpass::logger;
use std::process::ExitCode;

const USAGE: &str = "usage: brookpass                   serve the platform; GW_CONFIG names the configuration
       brookpass --operator FILE   serve SPARQL as an operator's file says
       brookpass --check FILE      read an operator's file and its inventory, and say whether they are in order
       brookpass --version";

fn check(path: &str) -> Result<(), String> {
    let operator = file::load(path.as_ref())?;
    let hosts = match &operator.inventory {
        Some(inventory) => {
            file::inventory(inventory, &operator.zones, &Limits::for_sockets(operator.sockets))?.0
        }
        None => Vec::new(),
    };
    println!("{path}: in order, {} hosts", hosts.len());
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
