//! Cases of the review: a small deployment of the project's hosts and stand-ins for everything else.
//!
//! `stand CASE RECORD` exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
//! run. With `TROUBLE=0` in the environment the case makes no disruption.

mod client;
mod failover;
mod host;
mod instances;
mod json;
mod leaving;
mod platform;
mod smuggle;
mod stop;
mod world;

use std::{env, fs, path::Path, process, thread, time::Duration};

use world::{Folder, Record, Setting};

/// Time after which a case is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

/// Runs a case; returns whether the rule held.
type Case = fn(&Setting) -> std::io::Result<bool>;

fn run(case: Case, record: &str) -> std::io::Result<bool> {
    let dir = env::temp_dir().join(format!("bergamottrack-review-{}", process::id()));
    fs::create_dir_all(&dir)?;
    let _folder = Folder(dir.clone());
    let trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    case(&Setting { trouble, record: Record::new(Path::new(record))?, dir })
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, name, record] = &args[..] else {
        eprintln!("usage: stand CASE RECORD");
        process::exit(2);
    };
    let case: Case = match name.as_str() {
        "failover" => failover::run,
        "leaving" => leaving::run,
        "smuggle" => smuggle::run,
        "stop" => stop::run,
        _ => {
            eprintln!("no case {name}");
            process::exit(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(CASE_TIMEOUT);
        host::end_all();
        eprintln!("the case took too long");
        process::exit(2);
    });
    match run(case, record) {
        Ok(true) => println!("{name}: the rule held"),
        Ok(false) => {
            println!("{name}: the rule was broken, see {record}");
            process::exit(1);
        }
        Err(error) => {
            eprintln!("{name}: the case could not run: {error}");
            process::exit(2);
        }
    }
}
