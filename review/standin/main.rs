//! The cases of the review. `cases NAME ROOT FOLDER TEMPORARY` runs one of them and exits with its result.

mod drain_case;
mod group_case;
mod http;
mod pg;
mod relay;
mod sparql;
mod stale_case;
mod util;

use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use util::{Place, Record};

/// A case that still runs after this time could not run.
const LONGEST: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 5 {
        eprintln!("cases NAME ROOT FOLDER TEMPORARY");
        std::process::exit(util::COULD_NOT_RUN);
    }
    thread::spawn(|| {
        thread::sleep(LONGEST);
        eprintln!("could not run: no end in time");
        std::process::exit(util::COULD_NOT_RUN);
    });
    // A panic of a stand-in is no verdict on the program.
    std::panic::set_hook(Box::new(|info| eprintln!("stand-in: {info}")));
    let place = Place {
        root: PathBuf::from(&arguments[2]),
        temporary: PathBuf::from(&arguments[4]),
        record: Record::create(&PathBuf::from(&arguments[3]).join("record.txt")),
    };
    let run = || match arguments[1].as_str() {
        "drain" => drain_case::run(&place),
        "group" => group_case::run(&place),
        "stale" => stale_case::run(&place),
        _ => util::COULD_NOT_RUN,
    };
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    std::process::exit(result.unwrap_or(util::COULD_NOT_RUN));
}
