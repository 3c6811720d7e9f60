//! A host is stopped while clients are in transactions that it has accepted after the signal.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    host::SIGTERM,
    world::{KEY, Record, Setting, World},
};

/// Sessions, of which each runs one transaction.
const SESSIONS: usize = 70;

/// Statements of a transaction with its `BEGIN` and `COMMIT`.
const STATEMENTS: usize = 12;

/// Pause between two statements of a transaction; within `transactionIdleMs`.
const PAUSE: Duration = Duration::from_millis(260);

/// Time from the signal to the first transaction; the host still takes new ones.
const FIRST_BEGIN: Duration = Duration::from_millis(1900);

/// Time between the first statements of two sessions.
const SPREAD: Duration = Duration::from_micros(4500);

/// Time from the signal after which a request is not excused by its instance being still at work.
const EXCUSED: Duration = Duration::from_secs(3);

/// Time from the signal in which the process has to end.
const GRACE: Duration = Duration::from_secs(6);

/// Timeout of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(3000);

/// A statement without a whole answer.
struct Cut {
    id: String,
    sent: Instant,
    ended: Instant,
}

/// Runs a transaction; returns its statement without a whole answer, if there is one.
fn transaction(client: &mut Client, n: usize, record: &Record) -> Option<Cut> {
    for step in 0..STATEMENTS {
        let text = match step {
            0 => "BEGIN READ".to_owned(),
            step if step + 1 == STATEMENTS => "COMMIT".to_owned(),
            step => format!("READ round{n}x{step}"),
        };
        let (id, sent) = (format!("c{n}s{step}"), Instant::now());
        record.line(&format!("client sends {id}: {text}"));
        match client.query(&id, &text) {
            Ok(answer) => {
                record.line(&format!("{id} is answered: {} {}", answer.outcome, answer.state));
                if !answer.is_done() {
                    return None;
                }
            }
            Err(error) => {
                record.line(&format!("{id} has no whole answer: {error}"));
                return Some(Cut { id, sent, ended: Instant::now() });
            }
        }
        thread::sleep(PAUSE);
    }
    None
}

/// Runs the case; returns whether the rule held.
pub fn run(setting: &Setting) -> io::Result<bool> {
    let times = (Duration::from_millis(55), Duration::from_millis(11));
    let mut world = World::start(setting, 2, times, false)?;
    let record = &setting.record;
    let open = |_| Client::start(world.hosts[0].front, "rounds", KEY);
    let mut clients: Vec<Client> = (0..SESSIONS).map(open).collect::<io::Result<_>>()?;
    for (n, client) in clients.iter_mut().enumerate() {
        let answer = client.query(&format!("w{n}"), "READ warm")?;
        record.line(&format!("session {n} is open: {}", answer.outcome));
    }
    // Positions of the primary are known to all hosts.
    thread::sleep(Duration::from_secs(2));
    let signalled = Instant::now();
    if setting.trouble {
        world.hosts[0].signal(SIGTERM);
        record.line("SIGTERM is sent to front-1");
    }
    let cuts: Vec<Option<Cut>> = thread::scope(|scope| {
        let tasks: Vec<_> = clients
            .iter_mut()
            .enumerate()
            .map(|(n, client)| {
                scope.spawn(move || {
                    thread::sleep(FIRST_BEGIN + SPREAD * n as u32);
                    transaction(client, n, record)
                })
            })
            .collect();
        tasks.into_iter().map(|task| task.join().expect("a session ended")).collect()
    });
    thread::sleep(GRACE.saturating_sub(signalled.elapsed()));
    let ended = world.hosts[0].ended();
    record.line(&format!("process of front-1: {ended:?}"));
    let state = world.service.state.lock().unwrap();
    let mut held = true;
    for cut in cuts.into_iter().flatten() {
        let passed_on = state.runs.iter().find(|run| run.id == cut.id);
        let (after, took) = (cut.sent - signalled, cut.ended - cut.sent);
        let counts = passed_on.is_some()
            && after > EXCUSED
            && cut.ended - signalled < GRACE + Duration::from_secs(1)
            && took < ROUTE_TIMEOUT;
        held &= !counts;
        let verdict = if counts { "BROKEN" } else { "not counted" };
        let instance = passed_on.map(|run| run.instance.as_str());
        let (after, took) = (after.as_millis(), took.as_millis());
        record.line(&format!(
            "{}: sent {after} ms after the signal, run by {instance:?}, its connection ended {took} ms \
             later without an answer ({verdict})",
            cut.id
        ));
    }
    Ok(held)
}
