//! Looks up the outcome of a request.

use std::time::{Duration, Instant};

use bergamottrack_coordination::outcome::Outcome;
use bergamottrack_operator::api::OutcomePage;

use crate::{cli::OutcomeArgs, cmd::remote::Remote, failure::Failure};

/// Polls the host until the outcome is known or `--wait` has elapsed, then prints it.
pub fn run(args: &OutcomeArgs) -> Result<(), Failure> {
    let OutcomeArgs { id, account, group, wait, remote } = args;
    let mut host = Remote::new(remote)?;
    let deadline = Instant::now() + Duration::from_secs(*wait);
    let path = format!("/outcome?group={group}&account={account}&id={id}");
    loop {
        let page: OutcomePage = host.get(&path)?;
        match page.outcome {
            Outcome::Unknown { again } if Instant::now() + again < deadline => {
                std::thread::sleep(again);
            }
            Outcome::Unknown { .. } => {
                let message = format!("request {id} of account {account}: {}", page.outcome);
                return Err(Failure::Unknown(anyhow::anyhow!(message)));
            }
            Outcome::Done | Outcome::NotRun => return host.print(&page, show),
        }
    }
}

fn show(page: &OutcomePage) {
    let OutcomePage { group, account, request, outcome } = page;
    let meaning = match outcome {
        Outcome::Done => "it ran, once, and is kept",
        _ => "it did not run, and will not unless the caller sends it again",
    };
    println!("request {request} of account {account} in group {group}: {outcome}; {meaning}");
}
