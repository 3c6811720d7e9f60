//! Scripted scenarios: each file of `scenarios/` lists commands and the expected output.

use std::{collections::HashMap, error::Error, fmt::Write, path::Path, time::Duration};

use lab::{
    link::Fault,
    system::{self, Plan, System},
};
use tokio::runtime::Runtime;
use tokio_postgres::{Client, SimpleQueryMessage};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Commands of a scenario.
#[derive(goldenscript::Command)]
enum Command {
    /// Starts a system: start hosts=3 groups=1 rate=1000 burst=1000
    Start {
        #[arg(key)]
        hosts: Option<usize>,
        #[arg(key)]
        groups: Option<usize>,
        #[arg(key)]
        rate: Option<f64>,
        #[arg(key)]
        burst: Option<f64>,
    },
    /// Connects a caller: caller anna host=1 account=baobab group=g1
    Caller {
        name: String,
        #[arg(key)]
        host: usize,
        #[arg(key)]
        account: Option<String>,
        #[arg(key)]
        group: Option<String>,
    },
    /// Moves a caller's session to another host: roam anna host=2
    Roam {
        name: String,
        #[arg(key)]
        host: usize,
    },
    /// Presents the session token of another caller: borrow anna from=ben
    Borrow {
        name: String,
        #[arg(key)]
        from: String,
    },
    /// Runs a statement and prints its answer: sql anna "SELECT 1"
    Sql { name: String, sql: String },
    /// Runs a statement until it succeeds: until anna "SELECT 1"
    Until { name: String, sql: String },
    /// Kills a process: kill g1s1
    Kill(String),
    /// Starts a killed process again: restart g1s1
    Restart(String),
    /// Suspends a process: freeze g1s1
    Freeze(String),
    /// Resumes a suspended process: wake g1s1
    Wake(String),
    /// Cuts links in one direction or, by default, in both: cut h1>g1s* way=down
    Cut {
        names: String,
        #[arg(key)]
        way: Option<String>,
    },
    /// Removes the faults of links: mend h1>g1s*
    Mend(String),
    /// Resets the connections of links: reset h1>g1s*
    Reset(String),
    /// Sets the replication lag of a server in milliseconds: lag g1s2 10000
    Lag { server: String, ms: u64 },
    /// Sets the platform's faults: platform '{"down":true}'
    Platform(String),
    /// Waits for a number of milliseconds: pause 500
    Pause(u64),
}

/// Connected caller.
struct Caller {
    account: String,
    group: String,
    client: Client,
}

struct Runner {
    runtime: Runtime,
    system: Option<System>,
    callers: HashMap<String, Caller>,
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &goldenscript::Context) -> Result<String> {
        // Replaced temporarily, because `execute` borrows all of `self` mutably.
        let runtime = std::mem::replace(&mut self.runtime, new_runtime());
        let result = runtime.block_on(self.execute(command));
        self.runtime = runtime;
        result
    }
}

fn new_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread().build().expect("tokio runtime")
}

impl Runner {
    fn new() -> Self {
        let runtime = Runtime::new().expect("tokio runtime");
        Self { runtime, system: None, callers: HashMap::new() }
    }

    fn system(&mut self) -> Result<&mut System> {
        self.system.as_mut().ok_or_else(|| "no system was started".into())
    }

    fn caller(&self, name: &str) -> Result<&Caller> {
        self.callers.get(name).ok_or_else(|| format!("caller {name} does not exist").into())
    }

    async fn execute(&mut self, command: &Command) -> Result<String> {
        match command {
            Command::Start { hosts, groups, rate, burst } => {
                let limits = (rate.unwrap_or(1000.0), burst.unwrap_or(1000.0));
                let account = |name: &str| (name.to_owned(), limits.0, limits.1);
                let plan = Plan {
                    hosts: hosts.unwrap_or(3),
                    groups: groups.unwrap_or(1),
                    accounts: vec![account("baobab"), account("hartwell")],
                    links: true,
                    ..Plan::default()
                };
                self.system = Some(System::start(plan).await?);
            }
            Command::Caller { name, host, account, group } => {
                let account = account.as_deref().unwrap_or("baobab");
                let group = group.as_deref().unwrap_or("g1");
                self.connect(name, *host, account, group).await?;
            }
            Command::Roam { name, host } => {
                let token = self.token(name).await?;
                let caller = self.caller(name)?;
                let (account, group) = (caller.account.clone(), caller.group.clone());
                self.connect(name, *host, &account, &group).await?;
                return self.set_token(name, &token).await;
            }
            Command::Borrow { name, from } => {
                let token = self.token(from).await?;
                return self.set_token(name, &token).await;
            }
            Command::Sql { name, sql } => return self.sql(name, sql).await,
            Command::Until { name, sql } => {
                system::run_until_ok(&self.caller(name)?.client, sql).await?;
            }
            Command::Kill(name) => self.system()?.process(name)?.kill(),
            Command::Restart(name) => self.system()?.process(name)?.start()?,
            Command::Freeze(name) => self.system()?.process(name)?.signal(libc::SIGSTOP)?,
            Command::Wake(name) => self.system()?.process(name)?.signal(libc::SIGCONT)?,
            Command::Cut { names, way } => {
                let way = way.as_deref();
                let fault = Fault {
                    cut_up: way != Some("down"),
                    cut_down: way != Some("up"),
                    ..Fault::default()
                };
                self.system()?.fault(names, fault).await?;
            }
            Command::Mend(names) => self.system()?.mend(names).await?,
            Command::Reset(names) => self.system()?.reset(names).await?,
            Command::Lag { server, ms } => self.system()?.set_lag(server, *ms).await?,
            Command::Platform(faults) => self.system()?.platform_faults(faults).await?,
            Command::Pause(ms) => tokio::time::sleep(Duration::from_millis(*ms)).await,
        }
        Ok(String::new())
    }

    async fn connect(&mut self, name: &str, host: usize, account: &str, group: &str) -> Result<()> {
        let client = self.system()?.connect(host - 1, account, group).await;
        let client = client.map_err(|error| format!("{error:#}"))?;
        let caller = Caller { account: account.into(), group: group.into(), client };
        self.callers.insert(name.into(), caller);
        Ok(())
    }

    async fn token(&self, name: &str) -> Result<String> {
        let rows = system::rows(&self.caller(name)?.client, "SHOW bergamottrack.session").await?;
        rows.into_iter().next().ok_or_else(|| "the session has no token".into())
    }

    async fn set_token(&self, name: &str, token: &str) -> Result<String> {
        self.sql(name, &format!("SET bergamottrack.session = '{token}'")).await
    }

    /// Runs a statement and returns its answer: rows and tags, or the error without times.
    async fn sql(&self, name: &str, sql: &str) -> Result<String> {
        let mut out = String::new();
        match self.caller(name)?.client.simple_query(sql).await {
            Ok(messages) => messages.iter().try_for_each(|message| show(&mut out, message))?,
            Err(error) => match error.as_db_error() {
                Some(error) => {
                    let detail = error.detail().unwrap_or("no detail");
                    write!(out, "error {} ({detail})", error.code().code())?;
                    let hint = error.hint().filter(|hint| hint.starts_with("Come back"));
                    writeln!(out, "{}", if hint.is_some() { ", come back" } else { "" })?;
                }
                None => writeln!(out, "error: the connection is lost")?,
            },
        }
        Ok(out)
    }
}

/// Keeps the logs of a system whose scenario failed, also when only an answer differs: the
/// comparison of answers panics.
impl Drop for Runner {
    fn drop(&mut self) {
        if let Some(system) = self.system.as_mut().filter(|_| std::thread::panicking()) {
            println!("logs kept in {:?}", system.keep_logs());
            system.late_timers().iter().for_each(|line| println!("{line}"));
        }
    }
}

fn show(out: &mut String, message: &SimpleQueryMessage) -> std::fmt::Result {
    match message {
        SimpleQueryMessage::Row(row) => {
            let columns: Vec<_> = (0..row.len()).map(|i| row.get(i).unwrap_or("NULL")).collect();
            writeln!(out, "{}", columns.join("|"))
        }
        SimpleQueryMessage::CommandComplete(count) => writeln!(out, "ok {count}"),
        _ => Ok(()),
    }
}

fn run_scenario(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name);
    let mut runner = Runner::new();
    goldenscript::run(&mut runner, path).expect("the scenario runs to its end");
}

macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                run_scenario(stringify!($name));
            }
        )*
    };
}

scenarios! {
    a_failover_keeps_what_was_told,
    a_request_id_runs_once,
    a_session_survives_its_host,
    a_stated_age_is_kept,
    a_token_is_bound_to_its_account,
    no_majority_no_promotion,
    platform_outage_stops_no_caller,
    read_your_writes_while_replicas_lag,
    two_transactions_do_not_mix,
}
