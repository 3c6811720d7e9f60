//! Changes of the configuration in force.

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

/// What files would change.
#[derive(Serialize)]
struct Difference {
    /// The revision in force, which a submit names as the one it was made against.
    against: Revision,
    /// The revision that brought the configuration in force.
    since: Revision,
    /// Who made it.
    author: Box<str>,
    /// When, in seconds since 1970.
    at: u64,
    /// What differs.
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

/// Shows what files would change of the configuration in force.
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
    let against = against(&mut remote, &args.change, &merged.config, args.remote.json)?;
    let content = serde_json::to_vec(&merged.config).map_err(anyhow::Error::from)?;
    let mut path = path("/submit", &args.change, against, &content);
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
    let path = path("/rollback", &args.change, against, content.as_bytes());
    remote.change(&format!("{path}&to={}", args.to), "")
}

/// The revision that a submit is made against.
///
/// Guards against undoing a change that its operator has not seen: it shows as a
/// rate or key that silently went back. So the revision is never looked up for
/// the submit, it must be the one that the operator saw when deciding.
fn against(
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

/// The page of a change. Its submit id follows from what is asked, so that the
/// same command run again is the same submit.
fn path(page: &str, change: &ChangeArgs, against: Revision, content: &[u8]) -> String {
    let author = &change.author;
    let mut hash = Sha256::new();
    hash.update(format!("{page} {against} {author}\n"));
    hash.update(content);
    let digits = hash.finalize().iter().take(16).map(|b| format!("{b:02x}")).collect::<String>();
    let submit: SubmitId = digits.parse().expect("hexadecimal digits are a name");
    format!("{page}?base={against}&author={author}&submit={submit}")
}
