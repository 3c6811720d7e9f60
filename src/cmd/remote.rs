//! Commands that any one host answers.

use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use bergamottrack_operator::{
    Client, ClientError,
    api::{AcceptedPage, Verdict},
};
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};

use crate::{cli::RemoteArgs, failure::Failure, settings};

/// A host that is asked.
pub struct Remote {
    client: Client,
    runtime: monoio::Runtime<monoio::time::TimeDriver<monoio::LegacyDriver>>,
    json: bool,
}

fn failed(error: ClientError) -> Failure {
    match error.verdict() {
        Verdict::Refused => Failure::Refused(error.into()),
        Verdict::Faulty => Failure::Faulty(error.into()),
        Verdict::Unknown => Failure::Unknown(error.into()),
    }
}

impl Remote {
    /// The host that the settings name.
    pub fn new(args: &RemoteArgs) -> Result<Self, Failure> {
        let (text, file) = (args.operator_key.as_deref(), args.operator_key_file.as_deref());
        let key = settings::operator_key(text, file).map_err(anyhow::Error::from)?;
        let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
            .enable_timer()
            .build()
            .context("starting the runtime")?;
        Ok(Self { client: Client::new(args.at, &key), runtime, json: args.json })
    }

    /// Reads a page.
    pub fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, Failure> {
        self.runtime.block_on(self.client.get(path)).map_err(failed)
    }

    /// Has something done.
    pub fn post<T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, Failure> {
        self.runtime.block_on(self.client.post(path, body)).map_err(failed)
    }

    /// Prints a page for a script, or else as `show` writes it for a person.
    pub fn print<T: Serialize>(&self, page: &T, show: impl FnOnce(&T)) -> Result<(), Failure> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(page).context("writing JSON")?);
        } else {
            show(page);
        }
        Ok(())
    }

    /// Has a change made, and prints what became of it.
    pub fn change(&mut self, path: &str, body: impl Into<Bytes>) -> Result<(), Failure> {
        let page: AcceptedPage = self.post(path, body)?;
        self.print(&page, accepted)
    }
}

fn accepted(page: &AcceptedPage) {
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

/// How long ago a time in seconds since 1970 was, for a person.
pub fn ago(at: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    match now.saturating_sub(at) {
        seconds @ 0..120 => format!("{seconds}s ago"),
        seconds @ 120..7_200 => format!("{}m ago", seconds / 60),
        seconds @ 7_200..172_800 => format!("{}h ago", seconds / 3_600),
        seconds => format!("{}d ago", seconds / 86_400),
    }
}
