//! Stand-ins and clients of the review's scripts: `stand CASE RECORD`, run from the project's root.
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
//! `TROUBLE=0` in the environment there is no disruption.

mod hosts;
mod json;
mod lost_commit;
mod lost_host;
mod memory;
mod new_leader;
mod old_leader;
mod platform;
mod record;
mod servers;
mod world;

use record::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("stand CASE RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value != "0")
        || std::env::var("TROUBLE").is_err();
    let result = match &**case {
        "lost-commit" => lost_commit::run(trouble, &record),
        "returned-primary" => lost_commit::run_short(trouble, &record),
        "lost-host" => lost_host::run(trouble, &record),
        "memory" => memory::run(trouble, &record),
        "new-leader" => new_leader::run(trouble, &record),
        "old-leader" => old_leader::run(trouble, &record),
        other => Err(format!("no case {other}")),
    };
    let code = match result {
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            eprintln!("could not run: {why}");
            2
        }
        Ok(()) => {
            let broken = record.all_broken();
            broken.iter().for_each(|story| println!("BROKEN {story}"));
            if broken.is_empty() {
                println!("the rule held");
            }
            i32::from(!broken.is_empty())
        }
    };
    std::process::exit(code);
}
