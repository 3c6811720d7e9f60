//! What the tables hold afterwards, against what callers were told.

use std::collections::BTreeMap;

use anyhow::Context;

use super::callers::{Fate, Told};
use crate::system::{self, System};

/// Checks that no booking is lost, doubled or run in spite of "not run", and
/// that no transaction is kept in part.
pub async fn bookings(system: &System, told: &[Told]) -> anyhow::Result<Vec<String>> {
    let client = system.connect(0, "baobab", "g1").await?;
    system::run_until_ok(&client, "INSERT INTO booking VALUES ('last', -1)").await?;
    let ids = system::rows(&client, "SELECT id FROM booking").await.context("reading bookings")?;
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    ids.iter().for_each(|id| *counts.entry(id).or_default() += 1);
    let mut broken = Vec::new();
    for write in told {
        let count = counts.get(write.id.as_str()).copied().unwrap_or(0);
        let wrong = match write.fate {
            Fate::Done => count != 1,
            Fate::NotRun => count != 0,
            Fate::Unknown => count > 1,
        };
        if wrong {
            broken.push(format!(
                "booking {} (request id: {}) was told {:?} ({}) and stands {count} times",
                write.id, write.named, write.fate, write.answer
            ));
        }
    }
    broken.extend(pairs(&client, &counts).await?);
    Ok(broken)
}

/// Both sides of a transaction and its booking stand, or none does.
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
    let whole = |id: &&str, sides: &[&str]| {
        sides.len() == 2
            && sides.contains(&"left")
            && sides.contains(&"right")
            && counts.contains_key(*id)
    };
    let torn = seen.iter().filter(|(id, sides)| !whole(id, sides));
    Ok(torn
        .map(|(id, sides)| format!("the transaction of {id} is kept in part: {sides:?}"))
        .collect())
}
