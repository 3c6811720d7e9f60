//! The operator's commands against a running system.

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

const PAUSE: Duration = Duration::from_millis(50);

/// What a command answered.
#[derive(Debug)]
struct Answered {
    code: i32,
    out: String,
    error: String,
}

impl Answered {
    fn of(command: &mut Command) -> Self {
        let output = command.output().unwrap();
        Self {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            error: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

struct Desk {
    system: System,
    file: PathBuf,
}

impl Desk {
    /// A system, and its configuration in a file.
    async fn new() -> Self {
        let system = System::start(Plan::default()).await.unwrap();
        let file = system.dir().join("base.toml");
        std::fs::write(&file, system.config()).unwrap();
        Self { system, file }
    }

    /// A command against a host.
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
    fn run(&self, host: usize, author: &str, args: &[&str]) -> Answered {
        Answered::of(&mut self.command(host, author, args))
    }

    /// The submit of the file with a text replaced.
    fn submission(&self, host: usize, author: &str, against: u64, from: &str, to: &str) -> Command {
        let file = self.file.with_file_name(format!("{author}.toml"));
        let text = std::fs::read_to_string(&self.file).unwrap();
        std::fs::write(&file, text.replacen(from, to, 1)).unwrap();
        let base = format!("--base={}", file.display());
        self.command(host, author, &["submit", &base, &format!("--against={against}")])
    }

    /// Submits the file with a text replaced.
    fn submit(&self, host: usize, author: &str, against: u64, from: &str, to: &str) -> Answered {
        Answered::of(&mut self.submission(host, author, against, from, to))
    }

    /// A field of the JSON that `status` prints.
    fn status(&self, host: usize) -> serde_json::Value {
        let answered = self.run(host, "nobody", &["status", "--json"]);
        serde_json::from_str(&answered.out).unwrap_or_else(|_| panic!("{answered:?}"))
    }

    /// Waits until `status` says something.
    fn until_status(&self, wanted: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.run(0, "ana", &["status"]).out;
            if status.contains(wanted) {
                return;
            }
            assert!(Instant::now() < deadline, "{wanted:?} in vain: {status}");
            std::thread::sleep(PAUSE);
        }
    }

    /// Checks that baobab's key lets nobody in.
    async fn is_denied(&self) {
        let error = system::connect(&self.system.caller(0, "baobab", "g1")).await.unwrap_err();
        let text = format!("{error:#}");
        assert!(text.contains("key"), "{text}");
    }

    fn revision(&self) -> u64 {
        self.status(0)["revision"].as_u64().unwrap()
    }

    /// Waits until all hosts are of the roster and act on the same revision.
    fn settle(&self) {
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
            std::thread::sleep(PAUSE);
        }
    }
}

/// One operator's change disappears: two terminals show the same revision, both
/// change a rate, and the second submit carries the first one's old value.
#[tokio::test]
async fn the_second_of_two_racing_operators_is_told_who_was_first() {
    let desk = Desk::new().await;
    desk.settle();
    let against = desk.revision();
    let first = desk.submit(0, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert_eq!(first.code, 0, "{first:?}");
    assert!(first.out.contains("in force at h1, h2, h3"), "{first:?}");
    let second = desk.submit(1, "ben", against, "burst = 1000.0", "burst = 500");
    assert_eq!(second.code, 1, "{second:?}");
    assert!(second.error.contains("account baobab, rate: 1000/s -> 2000/s"), "{second:?}");
    assert!(
        second.error.contains("nothing changed") && second.error.contains("by ana"),
        "{second:?}"
    );
    let ahead = desk.submit(1, "ben", against + 1_000, "burst = 1000.0", "burst = 500");
    assert_eq!(ahead.code, 1, "{ahead:?}");
    let accounts = desk.run(2, "ben", &["accounts"]).out;
    assert!(accounts.contains("2000/s  1000"), "{accounts}");
}

/// The operator's terminal dies and nobody knows whether the change was made: the
/// platform takes the change, its answers are lost. The same command is run again.
#[tokio::test]
async fn a_submit_run_again_after_a_lost_answer_says_that_it_was_accepted() {
    let desk = Desk::new().await;
    desk.settle();
    let against = desk.revision();
    desk.system.platform_faults(r#"{"lose_answers": 2}"#).await.unwrap();
    let first = desk.submit(0, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert!(matches!(first.code, 0 | 3), "{first:?}");
    desk.system.platform_faults("{}").await.unwrap();
    let again = desk.submit(1, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert_eq!(again.code, 0, "{again:?}");
    let history = desk.run(2, "ana", &["history"]).out;
    assert_eq!(history.matches("configuration").count(), 2, "{history}");
}

/// Nobody knows whether a change was made: the terminal is killed while the submit
/// runs, at whatever step, with a slow platform. Run again, it is in force, once.
#[tokio::test]
async fn a_submit_that_was_killed_and_is_run_again_is_accepted_once() {
    let desk = Desk::new().await;
    desk.settle();
    desk.system.platform_faults(r#"{"slow_ms": 100}"#).await.unwrap();
    for (step, killed_after) in [20, 150, 350, 550, 750].into_iter().enumerate() {
        let against = desk.revision();
        let rate = format!("rate = {}", 2_000 + step);
        let mut child = desk.submission(0, "ana", against, "rate = 1000.0", &rate).spawn().unwrap();
        std::thread::sleep(Duration::from_millis(killed_after));
        child.kill().unwrap();
        child.wait().unwrap();
        let again = desk.submit(1, "ana", against, "rate = 1000.0", &rate);
        assert_eq!(again.code, 0, "killed after {killed_after} ms: {again:?}");
        let history = desk.run(2, "ana", &["history"]).out;
        assert_eq!(history.matches("ana ").count(), step + 1, "{history}");
        desk.settle();
    }
}

/// In a platform outage the operator must know that a submit changed nothing, and
/// still see the fleet; the log tells of the outage once and not each second.
#[tokio::test]
async fn a_platform_outage_refuses_a_submit_and_shows_the_fleet() {
    let desk = Desk::new().await;
    desk.settle();
    let against = desk.revision();
    desk.system.platform_faults(r#"{"down": true}"#).await.unwrap();
    let refused = desk.submit(0, "ana", against, "rate = 1000.0", "rate = \"2000/s\"");
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.error.contains("not accepted"), "{refused:?}");
    assert_eq!(desk.run(1, "ana", &["hosts"]).code, 0);
    assert_eq!(desk.revision(), against);
    desk.system.platform_faults("{}").await.unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !desk.system.hosts[0].log().contains("the platform can be used again") {
        assert!(Instant::now() < deadline, "{}", desk.system.hosts[0].log());
        std::thread::sleep(PAUSE);
    }
    let log = desk.system.hosts[0].log();
    assert_eq!(log.matches("WARN fleet: the platform cannot be used").count(), 1, "{log}");
}

/// A withdrawn key works again: it was withdrawn by phone, the files still have it
/// standing, and the next submit of the files, or a rollback, brings it back.
#[tokio::test]
async fn a_key_withdrawn_by_phone_stays_withdrawn() {
    let desk = Desk::new().await;
    desk.settle();
    let withdrawn = desk.run(1, "ana", &["key", "withdraw", "--account=baobab", "--id=k1"]);
    assert_eq!(withdrawn.code, 0, "{withdrawn:?}");
    desk.is_denied().await;
    let against = desk.revision();
    let history = desk.run(2, "ben", &["history", "--changes", "-n1"]).out;
    let change = "  ~ account baobab, key k1, standing: stands -> withdrawn";
    assert!(history.contains(change), "{history}");
    let refused = desk.submit(2, "ben", against, "burst = 1000.0", "burst = 500");
    assert_eq!(refused.code, 1, "{refused:?}");
    assert!(refused.error.contains("baobab.k1"), "{refused:?}");
    let (to, against) = (format!("{}", against - 1), format!("--against={against}"));
    let rolled = desk.run(0, "ben", &["rollback", &to, &against]);
    assert_eq!(rolled.code, 0, "{rolled:?}");
    assert!(rolled.out.contains("baobab.k1 stays withdrawn"), "{rolled:?}");
    desk.is_denied().await;
}

/// Whoever reaches the operator's port could change the configuration: a host is
/// asked without a key, with a wrong one, or was given none itself.
#[tokio::test]
async fn the_operator_interface_is_closed_without_its_key() {
    let desk = Desk::new().await;
    for key in ["--operator-key=wrong", "--operator-key=x"] {
        let refused = desk.run(0, "eve", &["hosts", key]);
        assert_eq!(refused.code, 1, "{refused:?}");
        assert!(refused.error.contains("key is missing or wrong"), "{refused:?}");
    }
    let mut ports = Ports::take().unwrap();
    let mut address = |name: &str| format!("--{name}={}", ports.address().unwrap());
    let operator = address("operator");
    let mut args = vec!["serve".into(), "--host=h9".into(), "--domain=d9".into()];
    args.extend([address("listen"), address("peer"), operator.clone()]);
    args.push(format!("--platform={}", desk.system.platform_address));
    args.push(format!("--secret={SECRET}"));
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_bergamottrack"));
    let mut host = Process::new("h9", program, args, desk.system.dir());
    host.start().unwrap();
    let at = operator.replace("operator", "at");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let refused = desk.run(0, "ana", &["hosts", &at]);
        assert_eq!(refused.code, 1, "{refused:?}");
        if refused.error.contains("was given no operator key") {
            break;
        }
        assert!(Instant::now() < deadline, "{refused:?}");
        std::thread::sleep(PAUSE);
    }
}

/// An operator reads the tables while a host is dead: every command works against
/// any host that lives, and the dead one is named.
#[tokio::test]
async fn any_host_shows_the_fleet_and_names_a_dead_one() {
    let mut desk = Desk::new().await;
    desk.settle();
    desk.until_status("all is well");
    desk.system.hosts[2].kill();
    desk.system.servers.get_mut("g1s3").unwrap().kill();
    desk.until_status("! host h3: no answer\n! group g1: server g1s3 does not answer\n");
    desk.system.servers.get_mut("g1s2").unwrap().kill();
    desk.until_status("! group g1: no majority of its servers answers, so nothing is written\n");
    for host in 0..2 {
        let hosts = desk.run(host, "ana", &["hosts"]);
        assert_eq!(hosts.code, 0, "{hosts:?}");
        let dead = hosts.out.lines().find(|line| line.starts_with("h3")).unwrap();
        assert!(dead.contains("no answer"), "{hosts:?}");
    }
    let unreached = desk.run(2, "ana", &["hosts"]);
    assert_eq!(unreached.code, 1, "{unreached:?}");
    assert!(unreached.error.contains("cannot be reached"), "{unreached:?}");
}

/// An operator asks how an account fares: each host measures what it served, the
/// table adds it up, and a scraper reads it without the key. No key or secret shows
/// in it, nor in the logs at their most talkative.
#[tokio::test]
async fn what_an_account_was_served_and_refused_is_measured() {
    let desk = Desk::new().await;
    desk.settle();
    let mut clients = Vec::new();
    for host in 0..2 {
        let client = desk.system.connect(host, "baobab", "g1").await.unwrap();
        system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS visit (id TEXT)").await.unwrap();
        system::rows(&client, "SELECT id FROM visit").await.unwrap();
        clients.push(client);
    }
    let mut wrong = desk.system.caller(0, "baobab", "g1");
    assert!(system::connect(wrong.password("wrong")).await.is_err());
    let lines: serde_json::Value =
        serde_json::from_str(&desk.run(2, "ana", &["accounts", "--json"]).out).unwrap();
    assert!(lines[0]["served"].as_u64().unwrap() >= 4, "{lines}");
    let address = desk.system.addresses[0].operator;
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
    let logs = desk.system.hosts.iter().map(Process::log);
    for shown in logs.chain([text]) {
        for secret in ["wrong", &system::key_of("baobab"), OPERATOR_KEY, SECRET] {
            assert!(!shown.contains(secret), "{secret} in {shown}");
        }
    }
}

/// An operator takes a host out by hand: it finishes, ends well and leaves the
/// fleet, and the others say so.
#[tokio::test]
async fn a_drained_host_ends_and_leaves_the_fleet() {
    let mut desk = Desk::new().await;
    desk.settle();
    let drained = desk.run(2, "ana", &["drain"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    assert!(drained.out.starts_with("h3 drains"), "{drained:?}");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while desk.system.hosts[2].is_running() {
        assert!(Instant::now() < deadline, "{}", desk.system.hosts[2].log());
        std::thread::sleep(PAUSE);
    }
    assert_eq!(desk.system.hosts[2].wait().unwrap(), Some(0));
    let hosts = desk.run(0, "ana", &["hosts"]).out;
    assert!(!hosts.contains("h3"), "{hosts}");
}

/// Callers of a host are cut off although all its servers are well: somebody opens
/// more connections to it than the process may have files, accepting one fails, and
/// the host gives up.
#[tokio::test]
async fn a_host_that_runs_out_of_files_recovers() {
    let mut desk = Desk::new().await;
    desk.settle();
    limit_files(desk.system.hosts[0].pid().unwrap(), 64);
    let address = desk.system.addresses[0].operator;
    let crowd: Vec<_> = (0..100).map(|_| std::net::TcpStream::connect(address)).collect();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !desk.system.hosts[0].log().contains("cannot be accepted") {
        assert!(desk.system.hosts[0].is_running(), "{}", desk.system.hosts[0].log());
        assert!(Instant::now() < deadline, "the files never ran out");
        std::thread::sleep(PAUSE);
    }
    drop(crowd);
    while desk.run(0, "ana", &["hosts"]).code != 0 {
        assert!(desk.system.hosts[0].is_running(), "{}", desk.system.hosts[0].log());
        assert!(Instant::now() < deadline, "the host did not recover");
        std::thread::sleep(PAUSE);
    }
}

/// Limits how many files a process may have open.
fn limit_files(pid: u32, files: u64) {
    let limit = libc::rlimit { rlim_cur: files, rlim_max: files };
    // The process is a child that has not been waited for, so its number is its own.
    #[allow(unsafe_code)]
    let set =
        unsafe { libc::prlimit(pid as i32, libc::RLIMIT_NOFILE, &limit, std::ptr::null_mut()) };
    assert_eq!(set, 0);
}

/// What a person reads, but for what differs from run to run.
#[tokio::test]
async fn the_tables_read_as_they_should() {
    let desk = Desk::new().await;
    desk.settle();
    let client = desk.system.connect(0, "baobab", "g1").await.unwrap();
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
            insta::assert_snapshot!(command, desk.run(1, "ana", &[command]).out);
        }
    });
}

/// "Did my booking go through?" A caller is on the phone, its answer was lost. The
/// operator asks any host, and a mistyped group or account must not pass for "not run".
#[tokio::test]
async fn the_outcome_of_a_booking_is_told_by_any_host() {
    let desk = Desk::new().await;
    desk.settle();
    let client = desk.system.connect(0, "baobab", "g1").await.unwrap();
    system::run_until_ok(&client, "CREATE TABLE IF NOT EXISTS booking (id TEXT)").await.unwrap();
    client.simple_query("SET bergamottrack.request = 'b-17'").await.unwrap();
    client.simple_query("INSERT INTO booking VALUES ('chapel')").await.unwrap();
    for host in 0..3 {
        let ask_of = |id, account, group| {
            desk.run(host, "ana", &["outcome", id, account, group, "--wait=30"])
        };
        let ask = |id, group| ask_of(id, "--account=baobab", group);
        let done = ask("b-17", "--group=g1");
        assert!(done.code == 0 && done.out.contains(": done;"), "{done:?}");
        let not_run = ask("b-18", "--group=g1");
        assert!(not_run.code == 0 && not_run.out.contains(": not run;"), "{not_run:?}");
        let mistyped = ask("b-17", "--group=g7");
        assert_eq!(mistyped.code, 2, "{mistyped:?}");
        let mistyped = ask_of("b-17", "--account=boabab", "--group=g1");
        assert_eq!(mistyped.code, 2, "{mistyped:?}");
    }
}
