//! Shows and submits changes of the configuration in force.

use bergamottrack_contract::{Change, Config, diff, show};
use bergamottrack_coordination::{Revision, SubmitId};
use bergamottrack_operator::api::ConfigPage;
use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::{
    cli::{ChangeArgs, DiffArgs, RollbackArgs, SubmitArgs},
    cmd::{
        files,
        remote::{self, Remote},
    },
    failure::Failure,
};

/// Difference between the files and the configuration in force.
#[derive(Serialize)]
struct Difference {
    /// Revision in force, which a submit of these files gives as its base.
    against: Revision,
    /// Revision that put the current configuration in force.
    since: Revision,
    /// Author of the revision in force.
    author: Box<str>,
    /// Time of the revision in force, in seconds since 1970.
    at: u64,
    /// Changes that a submit of the files would make.
    changes: Vec<Change>,
}

impl Difference {
    fn read(remote: &mut Remote, config: &Config) -> Result<Self, Failure> {
        let page: ConfigPage = remote.get("/config")?;
        let changes = diff::diff(page.config.as_ref(), config);
        Ok(Self {
            against: page.revision,
            since: page.config_revision,
            author: page.author,
            at: page.at,
            changes,
        })
    }

    fn print(&self) {
        let Self { against, author, at, changes, .. } = self;
        println!("against revision {against} (by {author}, {})", remote::ago(*at));
        changes.iter().for_each(|change| println!("  {change}"));
        if changes.is_empty() {
            println!("  nothing differs");
        }
    }
}

/// Prints the difference between the files and the configuration in force.
pub fn diff(args: &DiffArgs) -> Result<(), Failure> {
    let merged = files::read(&args.files)?;
    let mut remote = Remote::new(&args.remote)?;
    let difference = Difference::read(&mut remote, &merged.config)?;
    remote.print(&difference, Difference::print)
}

/// Puts a configuration in force.
pub fn run(args: &SubmitArgs) -> Result<(), Failure> {
    let merged = files::read(&args.files)?;
    let mut remote = Remote::new(&args.remote)?;
    let against = base_revision(&mut remote, &args.change, &merged.config, args.remote.json)?;
    let content = serde_json::to_vec(&merged.config).map_err(anyhow::Error::from)?;
    let mut path = change_path("/submit", &args.change, against, &content);
    if args.restore_keys {
        path += "&restore=true";
    }
    remote.change(&path, show::text(&merged.node))
}

/// Puts an earlier configuration in force again.
pub fn rollback(args: &RollbackArgs) -> Result<(), Failure> {
    let mut remote = Remote::new(&args.remote)?;
    let against = args.change.against.ok_or_else(|| {
        let message = "not accepted, nothing changed: say with --against which revision was in \
                       force when you decided; `bergamottrack status` shows it";
        Failure::Refused(anyhow::anyhow!(message))
    })?;
    let content = format!("rollback {}", args.to);
    let path = change_path("/rollback", &args.change, against, content.as_bytes());
    remote.change(&format!("{path}&to={}", args.to), "")
}

/// Returns the revision that a submit is based on.
///
/// A submit based on a revision looked up on the spot could revert a change that the
/// operator has not seen, such as a rate or key silently set back. The revision must
/// therefore be the one that the operator saw when deciding, given by `--against`.
fn base_revision(
    remote: &mut Remote,
    change: &ChangeArgs,
    config: &Config,
    quiet: bool,
) -> Result<Revision, Failure> {
    let difference = Difference::read(remote, config)?;
    if !quiet && change.against.is_none_or(|against| against >= difference.since) {
        difference.print();
    }
    change.against.ok_or_else(|| {
        Failure::Refused(anyhow::anyhow!(
            "not accepted, nothing changed: if that is what you want, submit it with --against {}",
            difference.against
        ))
    })
}

/// Returns the request path of a change.
///
/// The submit id is a hash of the request, so that a repeated command is recognized as
/// the same submit.
fn change_path(page: &str, change: &ChangeArgs, against: Revision, content: &[u8]) -> String {
    let author = &change.author;
    let mut hash = Sha256::new();
    hash.update(format!("{page} {against} {author}\n"));
    hash.update(content);
    let digits = hash.finalize().iter().take(16).map(|b| format!("{b:02x}")).collect::<String>();
    let submit: SubmitId = digits.parse().expect("hexadecimal digits are a name");
    format!("{page}?base={against}&author={author}&submit={submit}")
}
