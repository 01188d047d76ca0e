//! The program's entry point: parses the command line and runs the command.

use brookpass::config::Limits;
use brookpass::daemon::{self, ConfigError, DaemonError, operator, operator_config, platform};
use brookpass::logger;
use brookpass::net::http::client::ServerConnection;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

const USAGE: &str = "usage: brookpass                   serve the platform; GW_CONFIG names the configuration
       brookpass --operator FILE   serve SPARQL as an operator's file says
       brookpass --check FILE      read an operator's file and its inventory, and say whether they are in order
       brookpass fleet recover ADDRESS [--yes]
                                   have the daemon whose store is there go on alone where no majority is left; without
                                   --yes it only says what would be lost
       brookpass --version";

/// Environment variable with the path of the platform daemon's configuration.
const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// A command of the command line.
#[derive(Debug, PartialEq, Eq)]
enum Command<'a> {
    /// Run the platform's daemon.
    ServePlatform,
    /// Run the daemon that an operator's file configures.
    ServeOperator {
        file: &'a str,
    },
    /// Check an operator's file and its inventory.
    Check {
        file: &'a str,
    },
    /// Report what the fleet would lose if the daemon with this store continued without a majority.
    PreviewRecovery {
        store: &'a str,
    },
    /// Make the daemon with this store continue without a majority.
    Recover {
        store: &'a str,
    },
    Version,
    Help,
}

impl<'a> Command<'a> {
    fn parse(arguments: &[&'a str]) -> Option<Command<'a>> {
        match arguments {
            [] => Some(Command::ServePlatform),
            ["--operator", file] => Some(Command::ServeOperator { file }),
            ["--check", file] => Some(Command::Check { file }),
            ["fleet", "recover", store] => Some(Command::PreviewRecovery { store }),
            ["fleet", "recover", store, "--yes"] => Some(Command::Recover { store }),
            ["--version"] => Some(Command::Version),
            ["--help" | "-h"] => Some(Command::Help),
            _ => None,
        }
    }
}

/// Why the program ends with an exit code other than 0.
#[derive(Debug, Error)]
enum ProgramError {
    /// The command line is invalid, or no configuration is named in the environment.
    #[error("{USAGE}")]
    Usage,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    #[error("{0}: no address with a port")]
    StoreAddress(String),
    #[error("{store}: {source}")]
    Call { store: SocketAddr, source: io::Error },
    /// The daemon rejected the recovery; its answer gives the reason.
    #[error("{store}: {answer}")]
    RecoveryRejected { store: SocketAddr, answer: String },
}

fn main() -> ExitCode {
    logger::start();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match Command::parse(&arguments) {
        Some(command) => run(command),
        None => Err(ProgramError::Usage),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(ProgramError::Usage) => {
            eprintln!("{USAGE}");
            ExitCode::FAILURE
        }
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command<'_>) -> Result<(), ProgramError> {
    match command {
        Command::ServePlatform => {
            let path = std::env::var(CONFIG_VARIABLE).map_err(|_| ProgramError::Usage)?;
            let config = platform::load(&path)?;
            daemon::run(|executor| platform::serve(path, config, executor))?;
        }
        Command::ServeOperator { file } => {
            let config = operator_config::load(Path::new(file))?;
            daemon::run(|executor| operator::serve(config, executor))?;
        }
        Command::Check { file } => check(file)?,
        Command::PreviewRecovery { store } => {
            println!("{}", call_recovery(store, "GET")?);
            println!("nothing was done; say it again with --yes to have it so");
        }
        Command::Recover { store } => {
            println!("{}", call_recovery(store, "POST")?);
            println!("done");
        }
        Command::Version => println!("brookpass {}", env!("CARGO_PKG_VERSION")),
        Command::Help => println!("{USAGE}"),
    }
    Ok(())
}

/// Loads the files that a daemon with this operator's file would load at its start.
fn check(file: &str) -> Result<(), ProgramError> {
    let config = operator_config::load(Path::new(file))?;
    let limits = Limits::for_sockets(config.sockets);
    let endpoint_count = match &config.inventory_path {
        Some(path) => operator_config::load_inventory(path, &config.zones, &limits)?.inventory.hosts.len(),
        None => 0,
    };
    println!("{file}: in order, {endpoint_count} hosts");
    Ok(())
}

/// Sends a recovery request to the daemon whose store is at this address, and returns its answer.
fn call_recovery(store: &str, method: &str) -> Result<String, ProgramError> {
    let store: SocketAddr = store.parse().map_err(|_| ProgramError::StoreAddress(store.to_string()))?;
    let request = format!("{method} /fleet/recover HTTP/1.1\r\nHost: {store}\r\nContent-Length: 0\r\n\r\n");
    let call = async {
        let mut client = ServerConnection::connect(store).await?;
        client.call(request.as_bytes(), &Limits::for_sockets(0)).await
    };
    let response = async_io::block_on(call).map_err(|source| ProgramError::Call { store, source })?;
    let answer = String::from_utf8_lossy(&response.body).into_owned();
    if response.head.status_text() != "200" {
        return Err(ProgramError::RecoveryRejected { store, answer });
    }
    Ok(answer)
}
