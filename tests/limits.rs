//! No account receives more than its rate and burst over all hosts, counted
//! from outside: by what callers were served, and when.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use lab::system::{self, Plan, System};
use tokio::task::LocalSet;
use tokio_postgres::{Client, error::SqlState};

const PAUSE: Duration = Duration::from_millis(5);

/// When a served request was sent and when it was answered.
type Served = (Instant, Instant);

fn plan(rate: f64, burst: f64, hosts: usize) -> Plan {
    let accounts = vec![("baobab".into(), rate, burst), ("hartwell".into(), 1000.0, 1000.0)];
    Plan { accounts, hosts, ..Plan::default() }
}

/// Callers that ask without end, each through the host that it is told to use.
struct Load {
    served: Rc<RefCell<Vec<Served>>>,
    hosts: Vec<Rc<Cell<usize>>>,
    stopped: Rc<Cell<bool>>,
}

impl Load {
    fn start(system: &System, callers: usize) -> Self {
        let load = Self {
            served: Rc::default(),
            hosts: (0..callers).map(|i| Rc::new(Cell::new(i % system.plan.hosts))).collect(),
            stopped: Rc::default(),
        };
        for host in &load.hosts {
            let configs: Vec<_> =
                (0..system.plan.hosts).map(|host| system.caller(host, "baobab", "g1")).collect();
            let (served, host, stopped) = (load.served.clone(), host.clone(), load.stopped.clone());
            tokio::task::spawn_local(async move {
                while !stopped.get() {
                    let at = host.get();
                    if let Ok(client) = system::connect(&configs[at]).await {
                        let here = || host.get() == at && !stopped.get();
                        ask(&client, &served, here).await;
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
        load
    }

    /// Sends all callers to one host.
    fn send_to(&self, host: usize) {
        self.hosts.iter().for_each(|caller| caller.set(host));
    }

    /// Spreads the callers over so many hosts.
    fn spread(&self, hosts: usize) {
        self.hosts.iter().enumerate().for_each(|(i, caller)| caller.set(i % hosts));
    }

    fn stop(&self) -> Vec<Served> {
        self.stopped.set(true);
        self.served.borrow().clone()
    }
}

async fn ask(client: &Client, served: &RefCell<Vec<Served>>, here: impl Fn() -> bool) {
    while here() && !client.is_closed() {
        let sent = Instant::now();
        match client.simple_query("SELECT 1").await {
            Ok(_) => served.borrow_mut().push((sent, Instant::now())),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// No window holds more than the contract: of the requests that were sent and
/// answered within it, each was surely admitted within it.
fn check(served: &[Served], rate: f64, burst: f64) {
    let mut by_end: Vec<Served> = served.to_vec();
    by_end.sort_by_key(|(_, end)| *end);
    for (from, _) in served {
        let mut count = 0.0;
        for (_, end) in by_end.iter().filter(|(sent, _)| sent >= from) {
            count += 1.0;
            let window = end.duration_since(*from);
            let most = rate * window.as_secs_f64() + burst;
            // Clocks of one machine differ by less than a thousandth of a token.
            assert!(count <= most + 0.001, "{count} requests were served in {window:?}");
        }
    }
}

async fn secs(secs: f64) {
    tokio::time::sleep(Duration::from_secs_f64(secs)).await;
}

/// One account asks for many times its rate. Its callers move from host to host;
/// hosts are killed, restarted, frozen and wake, their links are cut, mended and
/// reset with loans under way, and the platform goes down. In no window is more
/// served than its rate and burst, and it goes on being served.
#[tokio::test]
async fn rate_and_burst_hold_whatever_becomes_of_the_hosts() {
    let (rate, burst) = (100.0, 40.0);
    let run = async {
        let plan = Plan { links: true, ..plan(rate, burst, 4) };
        let mut system = System::start(plan).await.unwrap();
        let load = Load::start(&system, 12);
        secs(5.0).await;
        load.send_to(3);
        secs(2.0).await;
        load.spread(2);
        system.hosts[3].kill();
        secs(2.0).await;
        system.hosts[3].start().unwrap();
        load.spread(4);
        secs(2.0).await;
        system.hosts[2].signal(libc::SIGSTOP).unwrap();
        load.send_to(1);
        secs(4.0).await;
        system.hosts[2].signal(libc::SIGCONT).unwrap();
        load.send_to(2);
        secs(2.0).await;
        system.platform_faults(r#"{"down": true}"#).await.unwrap();
        load.spread(4);
        secs(5.0).await;
        load.send_to(0);
        for _ in 0..4 {
            system.cut("h1>h*").await.unwrap();
            secs(0.3).await;
            system.mend("h1>h*").await.unwrap();
            secs(0.3).await;
            system.reset("h*>h*").await.unwrap();
            secs(0.4).await;
        }
        let served = load.stop();
        check(&served, rate, burst);
        let least = rate * 26.0 * 0.5;
        assert!(served.len() as f64 > least, "only {} were served", served.len());
        println!("{} served in 26 s at {rate}/s, burst {burst}", served.len());
    };
    LocalSet::new().run_until(run).await;
}

/// The operator lowers a rate while its account asks for all it can get. Within
/// seconds no window holds more than the new rate and burst; raised again, the
/// account gets more again, and never more than that.
#[tokio::test]
async fn a_rate_changed_under_load_is_in_force_within_seconds() {
    let (high, low) = ((200.0, 40.0), (50.0, 10.0));
    let run = async {
        let mut system = System::start(plan(high.0, high.1, 3)).await.unwrap();
        let load = Load::start(&system, 9);
        let count = || load.served.borrow().len();
        secs(5.0).await;
        let raised = system.config();
        system.plan.accounts[0] = ("baobab".into(), low.0, low.1);
        system.submit(&system.config()).await.unwrap();
        secs(4.0).await;
        let from = count();
        secs(4.0).await;
        let to = count();
        system.submit(&raised).await.unwrap();
        secs(8.0).await;
        let before = count();
        secs(3.0).await;
        let served = load.stop();
        check(&served, high.0, high.1);
        check(&served[from..to], low.0, low.1);
        assert!(to - from > 80, "only {} were served at the low rate", to - from);
        let after = served.len() - before;
        assert!(after > 250, "only {after} were served at the high rate again");
    };
    LocalSet::new().run_until(run).await;
}

/// All callers of an account come by one of four hosts, and ask for less than
/// its rate. They are served by what that host borrows.
#[tokio::test]
async fn one_host_serves_the_whole_rate_by_borrowing() {
    let system = System::start(plan(200.0, 40.0, 4)).await.unwrap();
    let client = system.connect(3, "baobab", "g1").await.unwrap();
    secs(5.0).await;
    let mut refused = 0;
    for _ in 0..600 {
        refused += usize::from(client.simple_query("SELECT 1").await.is_err());
        secs(0.01).await;
    }
    println!("{refused} of 600 requests refused, at half the rate by one host of four");
    assert!(refused <= 30, "{refused} of 600 requests within the rate were refused");
}

/// An account is over its rate. It is refused at once, told so by the code, and
/// told that the statement did not run and when to come back.
#[tokio::test]
async fn a_refusal_over_the_rate_says_when_to_come_back() {
    let system = System::start(plan(1.0, 4.0, 3)).await.unwrap();
    let client = system.connect(0, "baobab", "g1").await.unwrap();
    let error = loop {
        match client.simple_query("SELECT 1").await {
            Ok(_) => {}
            Err(error) => {
                let error = error.as_db_error().expect("an answer").clone();
                if error.message().contains("over its rate") {
                    break error;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    };
    assert_eq!(*error.code(), SqlState::CONFIGURATION_LIMIT_EXCEEDED);
    assert_eq!(error.detail(), Some("not run"));
    assert!(error.hint().is_some_and(|hint| hint.contains("Come back in")));
}
