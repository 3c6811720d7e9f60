//! Drains a host.

use bergamottrack_coordination::HostId;

use crate::{cli::RemoteArgs, cmd::remote::Remote, failure::Failure};

/// Requests the drain of a host and prints its name.
pub fn run(args: &RemoteArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(args)?;
    let host: HostId = remote.post("/drain", "")?;
    remote.print(&host, |host| {
        println!("{host} drains: it takes nothing new and ends when what runs has ended");
    })
}
