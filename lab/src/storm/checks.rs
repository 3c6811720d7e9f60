//! Checks of the tables after a storm against the outcomes reported to callers.

use std::collections::BTreeMap;

use anyhow::Context;

use super::callers::{WriteResult, WriteStatus};
use crate::system::{self, System};

/// Checks that no booking is lost, duplicated or stored although it was reported as not run, and
/// that no transaction is stored in part. Returns a description of each violation.
pub async fn bookings(system: &System, writes: &[WriteResult]) -> anyhow::Result<Vec<String>> {
    let client = system.connect(0, "baobab", "g1").await?;
    system::run_until_ok(&client, "INSERT INTO booking VALUES ('last', -1)").await?;
    let ids = system::rows(&client, "SELECT id FROM booking").await.context("reading bookings")?;
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    ids.iter().for_each(|id| *counts.entry(id).or_default() += 1);
    let mut broken = Vec::new();
    for write in writes {
        let count = counts.get(write.id.as_str()).copied().unwrap_or(0);
        let violated = match write.status {
            WriteStatus::Done => count != 1,
            WriteStatus::NotRun => count != 0,
            WriteStatus::Unknown => count > 1,
        };
        if violated {
            broken.push(format!(
                "booking {} (request id: {}) was told {:?} ({}) and stands {count} times",
                write.id, write.with_request_id, write.status, write.answer
            ));
        }
    }
    broken.extend(pairs(&client, &counts).await?);
    Ok(broken)
}

/// Checks that both sides of each transaction and its booking are stored, or none of them.
async fn pairs(
    client: &tokio_postgres::Client,
    counts: &BTreeMap<&str, usize>,
) -> anyhow::Result<Vec<String>> {
    let sides = system::rows(client, "SELECT side FROM pair").await.context("reading pairs")?;
    let mut seen: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for side in &sides {
        let (id, side) = side.rsplit_once('-').context("a side without a booking")?;
        seen.entry(id).or_default().push(side);
    }
    let is_whole = |id: &&str, sides: &[&str]| {
        sides.len() == 2
            && sides.contains(&"left")
            && sides.contains(&"right")
            && counts.contains_key(*id)
    };
    let partial = seen.iter().filter(|(id, sides)| !is_whole(id, sides));
    Ok(partial
        .map(|(id, sides)| format!("the transaction of {id} is kept in part: {sides:?}"))
        .collect())
}
