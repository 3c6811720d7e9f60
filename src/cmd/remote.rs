//! Client side of the commands that any host can answer.

use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use bergamottrack_operator::{
    Client, ClientError,
    api::{AcceptedPage, Verdict},
};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::{cli::RemoteArgs, failure::Failure, settings};

/// A connection to the operator interface of one host.
pub struct Remote {
    client: Client,
    runtime: monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>>,
    json: bool,
}

/// Maps a client error to the failure with the matching exit code.
fn failure(error: ClientError) -> Failure {
    match error.verdict() {
        Verdict::Refused => Failure::Refused(error.into()),
        Verdict::Faulty => Failure::Faulty(error.into()),
        Verdict::Unknown => Failure::Unknown(error.into()),
    }
}

impl Remote {
    /// Creates a client of the host at `args.at`.
    pub fn new(args: &RemoteArgs) -> Result<Self, Failure> {
        let (text, file) = (args.operator_key.as_deref(), args.operator_key_file.as_deref());
        let key = settings::operator_key(text, file).map_err(anyhow::Error::from)?;
        let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .context("starting the runtime")?;
        Ok(Self { client: Client::new(args.at, &key), runtime, json: args.json })
    }

    /// Requests a page with GET.
    pub fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, Failure> {
        self.runtime.block_on(self.client.get(path)).map_err(failure)
    }

    /// Requests an action with POST.
    pub fn post<T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, Failure> {
        self.runtime.block_on(self.client.post(path, body)).map_err(failure)
    }

    /// Prints a page as JSON if `--json` is given, otherwise in the form that `show` prints.
    pub fn print<T: Serialize>(&self, page: &T, show: impl FnOnce(&T)) -> Result<(), Failure> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(page).context("writing JSON")?);
        } else {
            show(page);
        }
        Ok(())
    }

    /// Requests a change of the configuration and prints the accepted revision.
    pub fn change(&mut self, path: &str, body: impl Into<Bytes>) -> Result<(), Failure> {
        let page: AcceptedPage = self.post(path, body)?;
        self.print(&page, show_accepted)
    }
}

fn show_accepted(page: &AcceptedPage) {
    let names = |hosts: &[bergamottrack_coordination::HostId]| {
        hosts.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    };
    println!("accepted as revision {}", page.revision);
    println!("in force at {}", names(&page.in_force));
    if !page.missing.is_empty() {
        println!("not yet at {}: no request is served there before", names(&page.missing));
    }
    page.notes.iter().for_each(|note| println!("{note}"));
}

/// Formats the age of a timestamp in seconds since 1970, such as `5m ago`.
pub fn ago(at: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    match now.saturating_sub(at) {
        seconds @ 0..120 => format!("{seconds}s ago"),
        seconds @ 120..7_200 => format!("{}m ago", seconds / 60),
        seconds @ 7_200..172_800 => format!("{}h ago", seconds / 3_600),
        seconds => format!("{}d ago", seconds / 86_400),
    }
}
