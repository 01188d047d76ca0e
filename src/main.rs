//! The daemon's program.

use brookpass::daemon::{self, operator, platform};
use brookpass::logger;
use std::process::ExitCode;

const USAGE: &str =
    "usage: brookpass [--operator FILE]; without a file, GW_CONFIG names the platform's configuration";

fn start() -> Result<(), String> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match words.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {
            let path = std::env::var("GW_CONFIG").map_err(|_| USAGE.to_string())?;
            let config = platform::load(&path)?;
            daemon::run(|executor| platform::serve(config, executor))
        }
        ["--operator", path] => {
            let config = daemon::file::load(path.as_ref())?;
            daemon::run(|executor| operator::serve(config, executor))
        }
        _ => Err(USAGE.to_string()),
    }
}

fn main() -> ExitCode {
    logger::start();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{e}");
            ExitCode::FAILURE
        }
    }
}
