//! Operator commands against a running system.

use std::{
    path::PathBuf,
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use lab::{
    ports::Ports,
    process::Process,
    system::{self, OPERATOR_KEY, Plan, SECRET, System, WAIT_TIMEOUT},
};

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Exit code, standard output and standard error of a command.
#[derive(Debug)]
struct Answer {
    code: i32,
    out: String,
    error: String,
}

impl Answer {
    fn of(command: &mut Command) -> Self {
        let output = command.output().unwrap();
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            error: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// A running system, with its configuration in a file for the commands.
struct OperatorCli {
    system: System,
    file: PathBuf,
}

impl OperatorCli {
    /// Starts a system and writes its configuration to a file.
    async fn new() -> Self {
        let system = System::start(Plan::default()).await.unwrap();
        let file = system.dir().join("base.toml");
        std::fs::write(&file, system.config()).unwrap();
        Self { system, file }
    }

    /// Prepares a command against a host.
    fn command(&self, host: usize, author: &str, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bergamottrack"));
        command
            .args(args)
            .env("BERGAMOTTRACK_AT", self.system.addresses[host].operator.to_string())
            .env("BERGAMOTTRACK_OPERATOR_KEY", OPERATOR_KEY)
            .env("BERGAMOTTRACK_AUTHOR", author)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }

    /// Runs a command against a host.
    fn run(&self, host: usize, author: &str, args: &[&str]) -> Answer {
        Answer::of(&mut self.command(host, author, args))
    }

    /// Prepares the submit of the configuration file with the first occurrence of `from`
    /// replaced by `to`.
    fn submission(&self, host: usize, author: &str, against: u64, from: &str, to: &str) -> Command {
        let file = self.file.with_file_name(format!("{author}.toml"));
        let text = std::fs::read_to_string(&self.file).unwrap();
        std::fs::write(&file, text.replacen(from, to, 1)).unwrap();
        let base = format!("--base={}", file.display());
        self.command(host, author, &["submit", &base, &format!("--against={against}")])
    }

    /// Submits the configuration file with the first occurrence of `from` replaced by `to`.
    fn submit(&self, host: usize, author: &str, against: u64, from: &str, to: &str) -> Answer {
        Answer::of(&mut self.submission(host, author, against, from, to))
    }

    /// Returns the JSON that `status` prints.
    fn status(&self, host: usize) -> serde_json::Value {
        let output = self.run(host, "nobody", &["status", "--json"]);
        serde_json::from_str(&output.out).unwrap_or_else(|_| panic!("{output:?}"))
    }

    /// Waits until the text of `status` contains `wanted`.
    fn wait_for_status(&self, wanted: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.run(0, "ana", &["status"]).out;
            if status.contains(wanted) {
                return;
            }
            assert!(Instant::now() < deadline, "status lacks {wanted:?}: {status}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Asserts that a connection with baobab's key is refused.
    async fn assert_key_refused(&self) {
        let error = system::connect(&self.system.caller(0, "baobab", "g1")).await.unwrap_err();
        let text = format!("{error:#}");
        assert!(text.contains("key"), "{text}");
    }

    fn revision(&self) -> u64 {
        self.status(0)["revision"].as_u64().unwrap()
    }

    /// Waits until all hosts are in the roster and serve under the same revision.
    fn wait_until_settled(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.status(0);
            let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
            let settled = hosts.iter().filter(|host| {
                host["report"]["acts"] == true && host["report"]["revision"] == status["revision"]
            });
            if settled.count() == self.system.plan.hosts {
                return;
            }
            assert!(Instant::now() < deadline, "the hosts did not settle: {status}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Guards against a lost update: two operators start from the same revision, each submits
/// a change, and the second submit carries the old value of the first one's setting.
#[tokio::test]
async fn concurrent_submit_is_refused_and_names_the_first_author() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let against = cli.revision();
    let first = cli.submit(0, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert_eq!(first.code, 0, "{first:?}");
    assert!(first.out.contains("in force at h1, h2, h3"), "{first:?}");
    let second = cli.submit(1, "ben", against, "burst = 1000.0", "burst = 500");
    assert_eq!(second.code, 1, "{second:?}");
    assert!(second.error.contains("account baobab, rate: 1000/s -> 2000/s"), "{second:?}");
    assert!(
        second.error.contains("nothing changed") && second.error.contains("by ana"),
        "{second:?}"
    );
    let ahead = cli.submit(1, "ben", against + 1_000, "burst = 1000.0", "burst = 500");
    assert_eq!(ahead.code, 1, "{ahead:?}");
    let accounts = cli.run(2, "ben", &["accounts"]).out;
    assert!(accounts.contains("2000/s  1000"), "{accounts}");
}

/// Guards against a submit of unknown outcome: the platform stores the change, but its
/// answers are lost. The same command run again must report the acceptance.
#[tokio::test]
async fn submit_repeated_after_a_lost_answer_reports_acceptance() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let against = cli.revision();
    cli.system.platform_faults(r#"{"lose_answers": 2}"#).await.unwrap();
    let first = cli.submit(0, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert!(matches!(first.code, 0 | 3), "{first:?}");
    cli.system.platform_faults("{}").await.unwrap();
    let again = cli.submit(1, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert_eq!(again.code, 0, "{again:?}");
    let history = cli.run(2, "ana", &["history"]).out;
    assert_eq!(history.matches("configuration").count(), 2, "{history}");
}

/// Guards against lost or doubled changes: the submit is killed at different steps, with a
/// slow platform. Run again, the change is in force exactly once.
#[tokio::test]
async fn killed_and_repeated_submit_is_accepted_once() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    cli.system.platform_faults(r#"{"slow_ms": 100}"#).await.unwrap();
    for (step, killed_after) in [20, 150, 350, 550, 750].into_iter().enumerate() {
        let against = cli.revision();
        let rate = format!("rate = {}", 2_000 + step);
        let mut child = cli.submission(0, "ana", against, "rate = 1000.0", &rate).spawn().unwrap();
        std::thread::sleep(Duration::from_millis(killed_after));
        child.kill().unwrap();
        child.wait().unwrap();
        let again = cli.submit(1, "ana", against, "rate = 1000.0", &rate);
        assert_eq!(again.code, 0, "killed after {killed_after} ms: {again:?}");
        let history = cli.run(2, "ana", &["history"]).out;
        assert_eq!(history.matches("ana ").count(), step + 1, "{history}");
        cli.wait_until_settled();
    }
}

/// In a platform outage, a submit must report that it changed nothing and the fleet must
/// stay visible; the log reports the outage once and not every second.
#[tokio::test]
async fn platform_outage_refuses_a_submit_but_shows_the_fleet() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let against = cli.revision();
    cli.system.platform_faults(r#"{"down": true}"#).await.unwrap();
    let refused = cli.submit(0, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.error.contains("not accepted"), "{refused:?}");
    assert_eq!(cli.run(1, "ana", &["hosts"]).code, 0);
    assert_eq!(cli.revision(), against);
    cli.system.platform_faults("{}").await.unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !cli.system.hosts[0].log().contains("the platform can be used again") {
        assert!(Instant::now() < deadline, "{}", cli.system.hosts[0].log());
        std::thread::sleep(POLL_INTERVAL);
    }
    let log = cli.system.hosts[0].log();
    assert_eq!(log.matches("WARN fleet: the platform cannot be used").count(), 1, "{log}");
}

/// Guards against a withdrawn key that works again: it was withdrawn by command, the files
/// still list it as valid, and the next submit of the files, or a rollback, restores it.
#[tokio::test]
async fn withdrawn_key_stays_withdrawn_after_submit_and_rollback() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let withdrawn = cli.run(1, "ana", &["key", "withdraw", "--account=baobab", "--id=k1"]);
    assert_eq!(withdrawn.code, 0, "{withdrawn:?}");
    cli.assert_key_refused().await;
    let against = cli.revision();
    let history = cli.run(2, "ben", &["history", "--changes", "-n1"]).out;
    let change = "  ~ account baobab, key k1, standing: stands -> withdrawn";
    assert!(history.contains(change), "{history}");
    let refused = cli.submit(2, "ben", against, "burst = 1000.0", "burst = 500");
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.error.contains("baobab.k1"), "{refused:?}");
    let (to, against) = (format!("{}", against - 1), format!("--against={against}"));
    let rolled = cli.run(0, "ben", &["rollback", &to, &against]);
    assert_eq!(rolled.code, 0, "{rolled:?}");
    assert!(rolled.out.contains("baobab.k1 stays withdrawn"), "{rolled:?}");
    cli.assert_key_refused().await;
}

/// Guards against configuration changes by anyone who can reach the operator port: the
/// request has a wrong key, or the host has no operator key configured.
#[tokio::test]
async fn operator_interface_requires_its_key() {
    let cli = OperatorCli::new().await;
    for key in ["--operator-key=wrong", "--operator-key=x"] {
        let refused = cli.run(0, "eve", &["hosts", key]);
        assert_eq!(refused.code, 1, "{refused:?}");
        assert!(refused.error.contains("key is missing or wrong"), "{refused:?}");
    }
    let mut ports = Ports::take().unwrap();
    let mut address = |name: &str| format!("--{name}={}", ports.address().unwrap());
    let operator = address("operator");
    let mut args = vec!["serve".into(), "--host=h9".into(), "--domain=d9".into()];
    args.extend([address("listen"), address("peer"), operator.clone()]);
    args.push(format!("--platform={}", cli.system.platform_address));
    args.push(format!("--secret={SECRET}"));
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bergamottrack"));
    let mut host = Process::new("h9", program, args, cli.system.dir());
    host.start().unwrap();
    let at = operator.replace("operator", "at");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let refused = cli.run(0, "ana", &["hosts", &at]);
        assert_eq!(refused.code, 1, "{refused:?}");
        if refused.error.contains("was given no operator key") {
            break;
        }
        assert!(Instant::now() < deadline, "{refused:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// While a host is dead, the tables are available from every live host and report the
/// dead one.
#[tokio::test]
async fn any_live_host_shows_the_fleet_and_reports_a_dead_one() {
    let mut cli = OperatorCli::new().await;
    cli.wait_until_settled();
    cli.wait_for_status("all is well");
    cli.system.hosts[2].kill();
    cli.system.servers.get_mut("g1s3").unwrap().kill();
    cli.wait_for_status("! host h3: no answer\n! group g1: server g1s3 does not answer\n");
    cli.system.servers.get_mut("g1s2").unwrap().kill();
    cli.wait_for_status("! group g1: no majority of its servers answers, so nothing is written\n");
    for host in 0..2 {
        let hosts = cli.run(host, "ana", &["hosts"]);
        assert_eq!(hosts.code, 0, "{hosts:?}");
        let dead = hosts.out.lines().find(|line| line.starts_with("h3")).unwrap();
        assert!(dead.contains("no answer"), "{hosts:?}");
    }
    let unreached = cli.run(2, "ana", &["hosts"]);
    assert_eq!(unreached.code, 1, "{unreached:?}");
    assert!(unreached.error.contains("cannot be reached"), "{unreached:?}");
}

/// Each host measures the requests of an account, the table sums them up, and a scraper
/// reads them without the key. Neither the metrics nor the logs at their most verbose
/// level contain a key or secret.
#[tokio::test]
async fn account_requests_are_measured_without_exposing_secrets() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let mut clients = Vec::new();
    for host in 0..2 {
        let client = cli.system.connect(host, "baobab", "g1").await.unwrap();
        system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id TEXT)").await.unwrap();
        system::rows(&client, "SELECT id FROM visit").await.unwrap();
        clients.push(client);
    }
    let mut wrong = cli.system.caller(0, "baobab", "g1");
    assert!(system::connect(wrong.password("wrong")).await.is_err());
    let lines: serde_json::Value =
        serde_json::from_str(&cli.run(2, "ana", &["accounts", "--json"]).out).unwrap();
    assert!(lines[0]["served"].as_u64().unwrap() >= 4, "{lines}");
    let address = cli.system.addresses[0].operator;
    let (status, text) = system::request(address, "GET", "/metrics", "").await.unwrap();
    assert_eq!(status, 200);
    for part in [
        "bergamottrack_account_total_seconds_count{account=\"baobab\"}",
        "bergamottrack_group_total_seconds_bucket{le=\"0.001\",group=\"g1\"}",
        "bergamottrack_reads_total{group=\"g1\",server=",
        "bergamottrack_callers_unproved_total 1",
        "bergamottrack_callers 1",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    let logs = cli.system.hosts.iter().map(Process::log);
    for shown in logs.chain([text]) {
        for secret in ["wrong", &system::key_of("baobab"), OPERATOR_KEY, SECRET] {
            assert!(!shown.contains(secret), "{secret} in {shown}");
        }
    }
}

/// A host drained by an operator finishes its work, exits with code 0 and leaves the
/// fleet; the other hosts no longer list it.
#[tokio::test]
async fn drained_host_exits_and_leaves_the_fleet() {
    let mut cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let drained = cli.run(2, "ana", &["drain"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    assert!(drained.out.starts_with("h3 drains"), "{drained:?}");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while cli.system.hosts[2].is_running() {
        assert!(Instant::now() < deadline, "{}", cli.system.hosts[2].log());
        std::thread::sleep(POLL_INTERVAL);
    }
    assert_eq!(cli.system.hosts[2].wait().unwrap(), Some(0));
    let hosts = cli.run(0, "ana", &["hosts"]).out;
    assert!(!hosts.contains("h3"), "{hosts}");
}

/// Guards against a host that stops although all its servers are up: clients open more
/// connections than the process may have file descriptors, and accepting one fails.
#[tokio::test]
async fn host_recovers_after_running_out_of_file_descriptors() {
    let mut cli = OperatorCli::new().await;
    cli.wait_until_settled();
    limit_files(cli.system.hosts[0].pid().unwrap(), 64);
    let address = cli.system.addresses[0].operator;
    let connections: Vec<_> = (0..100).map(|_| std::net::TcpStream::connect(address)).collect();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !cli.system.hosts[0].log().contains("cannot be accepted") {
        assert!(cli.system.hosts[0].is_running(), "{}", cli.system.hosts[0].log());
        assert!(Instant::now() < deadline, "the host did not run out of file descriptors");
        std::thread::sleep(POLL_INTERVAL);
    }
    drop(connections);
    while cli.run(0, "ana", &["hosts"]).code != 0 {
        assert!(cli.system.hosts[0].is_running(), "{}", cli.system.hosts[0].log());
        assert!(Instant::now() < deadline, "the host did not recover");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Limits the number of open file descriptors of a process.
fn limit_files(pid: u32, files: u64) {
    let limit = libc::rlimit { rlim_cur: files, rlim_max: files };
    // The process is a child that has not been waited for, so its pid cannot be reused.
    #[allow(unsafe_code)]
    let set =
        unsafe { libc::prlimit(pid as i32, libc::RLIMIT_NOFILE, &limit, std::ptr::null_mut()) };
    assert_eq!(set, 0);
}

/// Compares the printed tables with snapshots; filters replace values that differ between
/// runs.
#[tokio::test]
async fn tables_match_their_snapshots() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let client = cli.system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "SELECT 1").await.unwrap();
    let mut settings = insta::Settings::clone_current();
    settings.add_filter(r"[0-9a-f]{12,}", "[id]");
    settings.add_filter(r"\d+\.\d+(m?s)\b", "[time]$1");
    settings.add_filter(r"\b\d+s ago", "[ago]");
    settings.add_filter(r"(?m)^\d+ .* hosts .*\n", "");
    settings.add_filter(r" +", " ");
    settings.add_filter(r"\b(revision|serves) \d+", "$1 [n]");
    settings.add_filter(r"(?m)^\d+ (\[ago\])", "[n] $1");
    settings.add_filter(r"(?m)^(baobab( \S+){4}) .*$", "$1 ...");
    settings.add_filter(r"(?m)^(h\d d\d) \d+ (serves \S+) .*$", "$1 [n] $2 ...");
    settings.add_filter(r"(?m)^(g1 g1s\d d\d \S+) .* (\d/5) .*$", "$1 ... $2 ...");
    settings.bind(|| {
        for command in ["hosts", "groups", "accounts", "history"] {
            insta::assert_snapshot!(command, cli.run(1, "ana", &[command]).out);
        }
    });
}

/// The caller's answer was lost, and an operator looks up the outcome of the request at any
/// host. A mistyped group or account must not be reported as "not run".
#[tokio::test]
async fn any_host_reports_the_outcome_of_a_request() {
    let cli = OperatorCli::new().await;
    cli.wait_until_settled();
    let client = cli.system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS booking (id TEXT)").await.unwrap();
    client.simple_query("SET bergamottrack.request = 'b-17'").await.unwrap();
    client.simple_query("INSERT INTO booking VALUES ('chapel')").await.unwrap();
    for host in 0..3 {
        let outcome_of = |id, account, group| {
            cli.run(host, "ana", &["outcome", id, account, group, "--wait=30"])
        };
        let outcome = |id, group| outcome_of(id, "--account=baobab", group);
        let done = outcome("b-17", "--group=g1");
        assert!(done.code == 0 && done.out.contains(": done;"), "{done:?}");
        let not_run = outcome("b-18", "--group=g1");
        assert!(not_run.code == 0 && not_run.out.contains(": not run;"), "{not_run:?}");
        let mistyped = outcome("b-17", "--group=g7");
        assert_eq!(mistyped.code, 2, "{mistyped:?}");
        let mistyped = outcome_of("b-17", "--account=boabab", "--group=g1");
        assert_eq!(mistyped.code, 2, "{mistyped:?}");
    }
}
