//! Texts of two lines: each statement that an instance runs must be one that a client sent.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    client::Client,
    world::{KEY, Setting, World},
};

/// Number of statements that carry a text of two lines.
const NOTES: usize = 10;

/// Runs the case; returns whether the rule held.
pub fn run(setting: &Setting) -> std::io::Result<bool> {
    let times = (Duration::from_millis(33), Duration::from_millis(11));
    let world = World::start(setting, 2, times, false)?;
    let record = &setting.record;
    // With trouble a line feed alone separates the two lines of a note, otherwise a blank.
    let separator = if setting.trouble { '\n' } else { ' ' };
    let mut sent: BTreeMap<String, String> = BTreeMap::new();
    for i in 0..NOTES {
        let (id, data) = match i % 2 {
            0 => (format!("a{i}"), format!("ring twice{separator}and wait at the gate")),
            _ => (format!("a{i}"), format!("see{separator}QUERY b{i} WRITE visit{i} cancelled")),
        };
        let text = format!("WRITE note{i} {data}");
        record.line(&format!("client sends the query {id}: {text}"));
        sent.insert(id.clone(), text.clone());
        let mut client = Client::start(world.hosts[i % 2].front, "bookings", KEY)?;
        match client.query(&id, &text) {
            Ok(answer) => record.line(&format!("{id} is answered: {}", answer.outcome)),
            Err(error) => record.line(&format!("{id} has no whole answer: {error}")),
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    let state = world.service.state.lock().unwrap();
    let mut held = true;
    for run in &state.runs {
        let verdict = match sent.get(&run.id) {
            Some(text) if *text == run.text => "as sent",
            Some(_) => "BROKEN: with a changed text",
            None => "BROKEN: no client sent this id",
        };
        held &= verdict == "as sent";
        let (instance, tenant) = (&run.instance, &run.tenant);
        let text = format!("{instance} ran {} of {tenant}: {} ({verdict})", run.id, run.text);
        record.line_at(run.at, &text);
    }
    Ok(held)
}
