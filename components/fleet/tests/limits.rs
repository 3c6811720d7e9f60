//! Rates at one host.

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

/// More than a host waits before it uses its part.
const LONG: Duration = Duration::from_secs(30);

/// A clock that moves on each time it is read.
struct RestlessClock {
    now: Cell<Instant>,
    step: Duration,
}

impl Clock for RestlessClock {
    fn now(&self) -> Instant {
        self.now.set(self.now.get() + self.step);
        self.now.get()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// A host alone that cannot reach the platform, and has restarted.
fn restarted(clock: Rc<RestlessClock>) -> Rc<Fleet> {
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

/// A host restarts and refuses requests until it may use its part. The moment
/// comes while a request is being answered: the host must serve it, or the
/// next. It used to end there, with all its callers, because the bucket was
/// held by the request when its part changed.
#[monoio::test(driver = "legacy", enable_timer = true)]
async fn a_part_may_grow_in_the_middle_of_a_request() {
    for step in 1..40 {
        let step = Duration::from_millis(step);
        let clock = Rc::new(RestlessClock { now: Cell::new(Instant::now()), step });
        let fleet = restarted(clock.clone());
        monoio::spawn(fleet.clone().run());
        let until = clock.now() + LONG;
        let account = "baobab".parse().unwrap();
        let mut served = false;
        while !served && clock.now() < until {
            served = fleet.limits.take(&account).await.is_ok();
            monoio::time::sleep(Duration::from_micros(10)).await;
        }
        assert!(served, "nothing was served with a clock of {step:?}");
    }
}
