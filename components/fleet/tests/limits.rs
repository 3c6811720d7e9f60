//! Rate limits on one host.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant, SystemTime},
};

use bergamottrack_contract::{Config, Current, Host, RevisionDoc, Routes};
use bergamottrack_coordination::{Clock, Revision, token::Secret};
use bergamottrack_fleet::{Fleet, fleet};
use bergamottrack_metrics::Metrics;
use bergamottrack_peer::Mesh;
use bergamottrack_platform::{Chain, Platform};

/// Longer than the wait after which a host may use its part.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Clock that advances by `step` on each read.
struct SteppingClock {
    now: Cell<Instant>,
    step: Duration,
}

impl Clock for SteppingClock {
    fn now(&self) -> Instant {
        self.now.set(self.now.get() + self.step);
        self.now.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Creates a restarted host that is alone in its roster and cannot reach the platform.
fn restarted_host(clock: Rc<SteppingClock>) -> Rc<Fleet> {
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let me = Host { id: "h1".parse().unwrap(), domain: "d1".parse().unwrap(), peer: nowhere };
    let mesh = Mesh::new(me.clone(), Secret::new(b"s"), clock.clone(), Routes::default());
    let platform = Rc::new(Platform::new(nowhere, Duration::from_secs(1)));
    let (current, metrics) = (Rc::new(Current::default()), Rc::new(Metrics::default()));
    let fleet = Fleet::new(me.clone(), current, mesh, Chain::new(platform), clock, metrics);
    let text = "site = \"s\"\n[[account]]\nid = \"baobab\"\nrate = 1000.0\nburst = 1000.0\n";
    fleet.adopt(RevisionDoc {
        number: Revision(7),
        submit: fleet::new_submit_id(),
        author: "operator".into(),
        at: 0,
        config: Some(Config::parse(text).unwrap()),
        config_revision: Revision(7),
        roster: vec![me],
        before: Vec::new(),
    });
    fleet
}

/// Guards against a crash of the host, with all its callers: a restarted host refuses requests
/// until it may use its part, and that time may come while it handles a request. The host must
/// serve this request or the next. It crashed when the request still borrowed the bucket while
/// its part changed.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn part_that_grows_during_a_request_is_used() {
    for step in 1..40 {
        let step = Duration::from_millis(step);
        let clock = Rc::new(SteppingClock { now: Cell::new(Instant::now()), step });
        let fleet = restarted_host(clock.clone());
        monoio::spawn(fleet.clone().run());
        let deadline = clock.now() + TIMEOUT;
        let account = "baobab".parse().unwrap();
        let mut served = false;
        while !served && clock.now() < deadline {
            served = fleet.limits.take(&account).await.is_ok();
            monoio::time::sleep(Duration::from_micros(10)).await;
        }
        assert!(served, "no request was served with a clock step of {step:?}");
    }
}
