//! Command-line arguments. Each flag of `serve` can also be set by an environment variable.

use std::{net::SocketAddr, path::PathBuf};

use bergamottrack_coordination::{AccountId, GroupId, KeyId, OperatorId, RequestId, Revision};
use bergamottrack_model::settings::Mechanism;
use clap::{Args, Parser, Subcommand, ValueEnum};

/// A database proxy with session consistency.
///
/// Exit codes: 0 done; 1 refused or not accepted, nothing was changed; 2 faulty use
/// or settings; 3 not known yet, run it again.
#[derive(Debug, Parser)]
#[command(name = "bergamottrack", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry host.
    Serve(Box<ServeArgs>),
    /// Run an entry host on the users' platform, by the settings file it writes.
    Entry(EntryArgs),
    /// Check a configuration; tells every fault at once.
    Check(FileArgs),
    /// Work with configuration files.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Show what files would change of the configuration in force.
    Diff(DiffArgs),
    /// Put a configuration in force everywhere.
    ///
    /// Run again after a lost answer, the same submit says whether it was accepted.
    Submit(SubmitArgs),
    /// Show the last revisions, newest first.
    History(HistoryArgs),
    /// Put an earlier configuration in force again; withdrawn keys stay withdrawn.
    Rollback(RollbackArgs),
    /// Make, list and withdraw keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Show the whole fleet: hosts and database groups.
    Status(StatusArgs),
    /// Show the hosts.
    Hosts(RemoteArgs),
    /// Show the database groups and their servers.
    Groups(RemoteArgs),
    /// Show the client accounts.
    Accounts(RemoteArgs),
    /// Tell what became of a request: done, not run, or not yet known (exit code 3).
    Outcome(OutcomeArgs),
    /// Drain the host at `--at`: it takes nothing new, finishes what it has and ends.
    Drain(RemoteArgs),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
    /// Print the manual page.
    Man,
}

/// Output format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum LogFormat {
    /// For a person.
    #[default]
    Plain,
    /// A JSON object a line.
    Json,
}

/// Arguments of `entry`.
#[derive(Args, Debug)]
pub struct EntryArgs {
    /// The settings file [default: the path that the platform's variable names].
    #[arg(long, env = "BERGAMOTTRACK_SETTINGS", value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// What is logged: a level, or levels by part.
    #[arg(long, env = "BERGAMOTTRACK_LOG", value_name = "LEVEL", default_value = "info")]
    pub log: String,
    /// Mechanisms to switch off, to measure what they are worth.
    #[arg(long, env = "BERGAMOTTRACK_WITHOUT", value_name = "MECHANISM", value_delimiter = ',')]
    pub without: Vec<MechanismArg>,
}

/// A mechanism that `--without` disables.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum MechanismArg {
    /// Statements run on connections that one host holds for all.
    SharedConnections,
}

impl From<MechanismArg> for Mechanism {
    fn from(arg: MechanismArg) -> Self {
        match arg {
            MechanismArg::SharedConnections => Self::SharedConnections,
        }
    }
}

/// Settings of an entry host as unparsed text, so that all invalid ones are reported together.
#[derive(Args, Debug, Default)]
pub struct ServeArgs {
    /// Name of this host [required].
    #[arg(long, env = "BERGAMOTTRACK_HOST", value_name = "NAME")]
    pub host: Option<String>,
    /// Failure domain this host stands in [required].
    #[arg(long, env = "BERGAMOTTRACK_DOMAIN", value_name = "NAME")]
    pub domain: Option<String>,
    /// Address for callers [required].
    #[arg(long, env = "BERGAMOTTRACK_LISTEN", value_name = "ADDRESS")]
    pub listen: Option<String>,
    /// Address for the other hosts [required].
    #[arg(long, env = "BERGAMOTTRACK_PEER", value_name = "ADDRESS")]
    pub peer: Option<String>,
    /// Address for operators [required].
    #[arg(long, env = "BERGAMOTTRACK_OPERATOR", value_name = "ADDRESS")]
    pub operator: Option<String>,
    /// Address of the platform [required].
    #[arg(long, env = "BERGAMOTTRACK_PLATFORM", value_name = "ADDRESS")]
    pub platform: Option<String>,
    /// Secret that all hosts of the fleet share [required, or its file].
    #[arg(long, env = "BERGAMOTTRACK_SECRET", hide_env_values = true)]
    pub secret: Option<String>,
    /// File that holds the secret.
    #[arg(long, env = "BERGAMOTTRACK_SECRET_FILE", value_name = "FILE")]
    pub secret_file: Option<PathBuf>,
    /// Key that operators must show; without one the operator interface is closed.
    #[arg(long, env = "BERGAMOTTRACK_OPERATOR_KEY", hide_env_values = true)]
    pub operator_key: Option<String>,
    /// File that holds the operator key.
    #[arg(long, env = "BERGAMOTTRACK_OPERATOR_KEY_FILE", value_name = "FILE")]
    pub operator_key_file: Option<PathBuf>,
    /// Address that this host reaches under another one: ADDRESS=OTHER, several by commas.
    #[arg(long, env = "BERGAMOTTRACK_VIA", value_delimiter = ',')]
    pub via: Vec<String>,
    /// Certificate chain for callers, in PEM; read again at SIGHUP.
    #[arg(long, env = "BERGAMOTTRACK_TLS_CERT", value_name = "FILE")]
    pub tls_cert: Option<PathBuf>,
    /// Key of the certificate, in PEM.
    #[arg(long, env = "BERGAMOTTRACK_TLS_KEY", value_name = "FILE")]
    pub tls_key: Option<PathBuf>,
    /// Callers that may be connected at once.
    #[arg(long, env = "BERGAMOTTRACK_CALLERS", value_name = "NUMBER", default_value = "4000")]
    pub callers: String,
    /// Memory of this process in MB, by which connections and messages are limited [default: the machine's].
    #[arg(long, env = "BERGAMOTTRACK_MEMORY_MB", value_name = "NUMBER")]
    pub memory_mb: Option<String>,
    /// Seconds that a planned stop waits for requests and transactions to end.
    #[arg(long, env = "BERGAMOTTRACK_STOP_SECS", value_name = "SECONDS", default_value = "30")]
    pub stop_secs: String,
    /// What is logged, such as `info` or `warn,bergamottrack_home=debug`.
    #[arg(long, env = "BERGAMOTTRACK_LOG", default_value = "info")]
    pub log: String,
    /// How log lines are written.
    #[arg(long, env = "BERGAMOTTRACK_LOG_FORMAT", value_enum, default_value_t)]
    pub log_format: LogFormat,
}

/// The files of a configuration.
#[derive(Args, Debug)]
pub struct FileArgs {
    /// The base file.
    #[arg(long, value_name = "FILE")]
    pub base: PathBuf,
    /// The overlay of one site.
    #[arg(long, value_name = "FILE")]
    pub overlay: Option<PathBuf>,
}

/// Work with configuration files.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print the merged text with the file and line that each value came from.
    Show(FileArgs),
}

/// Make, list and withdraw keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a key: prints the key and the verifier for the configuration.
    New(NewKeyArgs),
    /// List the keys of a configuration.
    List(FileArgs),
    /// Withdraw a key now, everywhere; then set `withdrawn = true` in the files too.
    Withdraw(WithdrawArgs),
}

/// Arguments of `key new`.
#[derive(Args, Debug)]
pub struct NewKeyArgs {
    /// The client account that gets it.
    #[arg(long, value_name = "NAME")]
    pub account: Option<AccountId>,
    /// Name of the key within its account.
    #[arg(long, value_name = "NAME", default_value = "k1")]
    pub id: KeyId,
    /// Make the verifier of this key instead of a new one.
    #[arg(long, env = "BERGAMOTTRACK_KEY", hide_env_values = true)]
    pub key: Option<String>,
}

/// Address and credentials of the host that handles a command, and the output format.
#[derive(Args, Debug)]
pub struct RemoteArgs {
    /// Operator address of any one host.
    #[arg(long, env = "BERGAMOTTRACK_AT", value_name = "ADDRESS")]
    pub at: SocketAddr,
    /// The operator key.
    #[arg(long, env = "BERGAMOTTRACK_OPERATOR_KEY", hide_env_values = true)]
    pub operator_key: Option<String>,
    /// File that holds the operator key.
    #[arg(long, env = "BERGAMOTTRACK_OPERATOR_KEY_FILE", value_name = "FILE")]
    pub operator_key_file: Option<PathBuf>,
    /// Print JSON for a script.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `diff`.
#[derive(Args, Debug)]
pub struct DiffArgs {
    /// The files.
    #[command(flatten)]
    pub files: FileArgs,
    /// The host.
    #[command(flatten)]
    pub remote: RemoteArgs,
}

/// Arguments of every command that changes the configuration.
#[derive(Args, Debug)]
pub struct ChangeArgs {
    /// The revision that the change is made against, as `diff` and `status` show it.
    #[arg(long, value_name = "REVISION")]
    pub against: Option<Revision>,
    /// Who makes the change, for the history.
    #[arg(long, env = "BERGAMOTTRACK_AUTHOR", value_name = "NAME", default_value = "operator")]
    pub author: OperatorId,
}

/// Arguments of `submit`.
#[derive(Args, Debug)]
pub struct SubmitArgs {
    /// The files.
    #[command(flatten)]
    pub files: FileArgs,
    /// The change.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// Let keys work again that were withdrawn.
    #[arg(long)]
    pub restore_keys: bool,
    /// The host.
    #[command(flatten)]
    pub remote: RemoteArgs,
}

/// Arguments of `history`.
#[derive(Args, Debug)]
pub struct HistoryArgs {
    /// How many revisions.
    #[arg(short, long, default_value_t = 20)]
    pub number: usize,
    /// Show what each revision changed of the configuration.
    #[arg(long)]
    pub changes: bool,
    /// The host.
    #[command(flatten)]
    pub remote: RemoteArgs,
}

/// Arguments of `rollback`.
#[derive(Args, Debug)]
pub struct RollbackArgs {
    /// The revision whose configuration is put in force again.
    pub to: Revision,
    /// The change.
    #[command(flatten)]
    pub change: ChangeArgs,
    /// The host.
    #[command(flatten)]
    pub remote: RemoteArgs,
}

/// Arguments of `key withdraw`.
#[derive(Args, Debug)]
pub struct WithdrawArgs {
    /// The client account.
    #[arg(long, value_name = "NAME")]
    pub account: AccountId,
    /// Name of the key within its account.
    #[arg(long, value_name = "NAME")]
    pub id: KeyId,
    /// Who withdraws it, for the history.
    #[arg(long, env = "BERGAMOTTRACK_AUTHOR", value_name = "NAME", default_value = "operator")]
    pub author: OperatorId,
    /// The host.
    #[command(flatten)]
    pub remote: RemoteArgs,
}

/// Arguments of `status`.
#[derive(Args, Debug)]
pub struct StatusArgs {
    /// Show it again every two seconds.
    #[arg(long)]
    pub watch: bool,
    /// The host.
    #[command(flatten)]
    pub remote: RemoteArgs,
}

/// Arguments of `outcome`.
#[derive(Args, Debug)]
pub struct OutcomeArgs {
    /// The caller's id of the request.
    pub id: RequestId,
    /// The client account that sent it.
    #[arg(long, value_name = "NAME")]
    pub account: AccountId,
    /// The database group that it was sent to.
    #[arg(long, value_name = "NAME")]
    pub group: GroupId,
    /// How long to go on asking while it is not yet known.
    #[arg(long, value_name = "SECONDS", default_value_t = 5)]
    pub wait: u64,
    /// The host.
    #[command(flatten)]
    pub remote: RemoteArgs,
}
