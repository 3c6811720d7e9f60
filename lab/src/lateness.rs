//! Measurement of how late the timers of an event loop fire, to distinguish a slow test system from a
//! fault of the product.

use std::{
    cell::RefCell,
    fmt,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::usage;

/// Interval of the timer whose lateness is measured.
const INTERVAL: Duration = Duration::from_millis(10);

/// Minimum lateness of a timer that is listed: less delays no answer beyond a timeout of the hosts.
const MIN_LISTED: Duration = Duration::from_millis(50);

/// Lateness of the timers of one event loop.
pub struct Lateness {
    name: Box<str>,
    started: Instant,
    /// Greatest lateness of a timer.
    maximum: Duration,
    /// Time since the start, lateness, and the thread's processor time while it waited, of each timer
    /// that is listed. Little processor time means that the thread was blocked or did not get a
    /// processor.
    listed: Vec<(Duration, Duration, Duration)>,
}

impl Lateness {
    /// Starts the measurement of the calling thread's event loop. With a `name`, late timers are
    /// logged under it instead of listed. The time of a process that is suspended counts as well.
    pub fn start(name: &str) -> Rc<RefCell<Self>> {
        let (started, listed) = (Instant::now(), Vec::new());
        let state = Self { name: name.into(), started, maximum: Duration::ZERO, listed };
        let state = Rc::new(RefCell::new(state));
        monoio::spawn(measure(state.clone()));
        state
    }

    fn add(&mut self, late: Duration, used: Duration) {
        self.maximum = self.maximum.max(late);
        if late < MIN_LISTED {
            return;
        }
        match &*self.name {
            "" => self.listed.push((self.started.elapsed(), late, used)),
            name => {
                let [late, used] = [late, used].map(|time| time.as_millis());
                tracing::warn!("lateness: {name} ran {late} ms late, with {used} ms of work.");
            }
        }
    }
}

async fn measure(state: Rc<RefCell<Lateness>>) {
    loop {
        let (due, before) = (Instant::now() + INTERVAL, usage::thread_processor());
        monoio::time::sleep(INTERVAL).await;
        let used = usage::thread_processor().saturating_sub(before);
        state.borrow_mut().add(due.elapsed(), used);
    }
}

impl fmt::Display for Lateness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "timers up to {} ms late", self.maximum.as_millis())?;
        self.listed.iter().try_for_each(|(at, late, used)| {
            let [late, used] = [late, used].map(|time| time.as_millis());
            write!(f, "; at {:.1} s {late} ms, with {used} ms of work", at.as_secs_f64())
        })
    }
}

/// Prints the lateness when it is dropped by a panic, that is, when a test fails.
pub struct OnFailure(pub Rc<RefCell<Lateness>>);

impl Drop for OnFailure {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("stand-ins, links and callers of this test: {}", self.0.borrow());
        }
    }
}
