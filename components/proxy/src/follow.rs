//! Follows two tables of the store: the operator's configuration and the list of servers.

use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

use bergamottrack_adapter::{
    configuration, registry,
    store::{self, Feed, Row, Rows, Table},
};
use bergamottrack_coordination::{ServerId, freshness};
use bergamottrack_model::ListedServer;
use bergamottrack_peer::message::ServerChanges;
use bergamottrack_platform::http::Client;
use bytes::Bytes;
use tracing::{info, warn};

use crate::{compression, host::Host, placement};

/// Timeout of a call to the store until its answer begins, added to the wait of a long poll.
/// On days when the store is slowest, an answer takes 250 ms, sixty times as long as usual.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum wait of a long poll for changes of the list of servers. A poll that is lost is noticed
/// after this time plus [`STORE_TIMEOUT`], and the list read again and sent to the other hosts, before
/// its age reaches [`MAX_SERVERS_AGE`].
const SERVERS_POLL_TIMEOUT: Duration = Duration::from_millis(3000);

/// Delay after a change of the list of servers before the next poll, so that one call returns
/// several changes. When all servers start they report within one heartbeat; without the delay each
/// report would cost a call.
const SERVERS_BATCH_DELAY: Duration = Duration::from_millis(300);

/// Delay after a failed call before the next one; the store's rate limit allows far more calls.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time for which a server is kept after its entry disappeared. Entries that expired in an outage
/// of the store are back within 2 s of its return; the rest covers the delay between two reads of
/// the list. A server that has stopped is detected by refused connections, and a server that is
/// leaving serves for longer than this.
pub const MISSING_ENTRY_TTL: Duration = Duration::from_millis(2500);

/// Maximum age of the list of servers before a host that receives the list from its hub reads it
/// from the store. A server that leaves continues to serve for longer than this.
const MAX_SERVERS_AGE: Duration = Duration::from_millis(5600);

/// Maximum random time added to [`MAX_SERVERS_AGE`]. All hosts learn at the same time when the list
/// was last confirmed, and without it they would all read the store at once.
const SERVERS_AGE_SPREAD: Duration = Duration::from_millis(1000);

/// Time that a new host of a large fleet waits for a link to its hub before it reads the tables from
/// the store: several connection attempts and two heartbeats of a starting host.
const HUB_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a new host waits for the tables while it has a link to its hub. A hub whose hosts all
/// start together sends them one after the other, and the store has no capacity for all of them.
const HUB_TRANSFER_TIMEOUT: Duration = Duration::from_millis(4000);

/// Interval at which a host that does not read the store checks whether it has to.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Follows a table in an endless loop: passes its rows to `apply`, with true for the whole table
/// and false for changes. Reads only while `needed` returns true. `wait` is the maximum wait of a
/// long poll, and `known` returns the version of the rows that other hosts have sent, 0 if there are
/// none.
async fn follow(
    host: &Rc<Host>,
    table: Table,
    wait: Duration,
    needed: impl Fn() -> bool,
    known: impl Fn() -> u64,
    apply: impl Fn(&Rows, bool),
) -> ! {
    let client = Client::new(host.settings.store_address);
    let mut after: Option<u64> = None;
    let mut unreachable = false;
    let started = host.now();
    loop {
        let awaits_hub = || host.now().saturating_duration_since(started) < hub_timeout(host);
        if !needed() || (after.is_none() && awaits_hub()) {
            monoio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        let sent_at = host.now();
        after = after.max(Some(known()).filter(|version| *version > 0));
        let read = match after {
            None => store::read(&client, table, STORE_TIMEOUT).await.map(|rows| (rows, true)),
            Some(version) => {
                let feed = store::follow(&client, table, version, wait, STORE_TIMEOUT).await;
                match feed {
                    Ok(Feed::Changed(rows)) => Ok((rows, false)),
                    Ok(Feed::Truncated) => {
                        info!(
                            %table, version,
                            "store: history of changes expired, reading the whole table"
                        );
                        store::read(&client, table, STORE_TIMEOUT).await.map(|rows| (rows, true))
                    }
                    Err(error) => Err(error),
                }
            }
        };
        match read {
            Ok((rows, whole)) => {
                if whole {
                    let (rows, version) = (rows.rows.len(), rows.version);
                    info!(%table, rows, version, "store: whole table read");
                }
                if std::mem::take(&mut unreachable) {
                    let ms = (host.now() - sent_at).as_millis() as u64;
                    info!(%table, ms, "store: table service reachable again");
                }
                host.store_clock.borrow_mut().note(sent_at, host.now(), rows.clock);
                after = Some(rows.version);
                apply(&rows, whole);
                if table == Table::Servers && !rows.rows.is_empty() {
                    monoio::time::sleep(SERVERS_BATCH_DELAY).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut unreachable, true) {
                    let ms = (host.now() - sent_at).as_millis() as u64;
                    warn!(
                        %table, ms, error = %format_args!("{error:#}"),
                        "store: table service unreachable"
                    );
                }
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns how long after its start a host waits for its hub to send the tables. In a large fleet
/// the store has capacity for the calls of a few hosts a second, not of all at once.
fn hub_timeout(host: &Host) -> Duration {
    if host.is_hub_candidate() {
        Duration::ZERO
    } else if host.hub() == host.settings.host {
        HUB_TIMEOUT
    } else {
        HUB_TRANSFER_TIMEOUT
    }
}

/// Follows the configuration and the evacuations, in an endless loop.
pub async fn configuration(host: Rc<Host>) {
    let apply = |rows: &Rows, whole| {
        let evacuated = configuration::evacuations(&rows.rows);
        placement::apply_rows(&host, &evacuated, whole, rows.version, rows.clock);
        let plans = rows.rows.iter().filter(|row| &*row.key == configuration::KEY && !row.removed);
        let mut readable = true;
        for row in plans {
            readable &= adopt(&host, &row.value, compression::compress);
        }
        if readable {
            host.documents.borrow_mut().confirm(rows.clock);
        }
    };
    let intervals = freshness::PollIntervals::for_bound(
        host.settings.apply_bound.min(host.settings.evacuation_bound),
    );
    let needed = || host.reads_store() || host.plan_age().is_none_or(|age| age > intervals.read);
    // The configuration and the evacuations that other hosts sent have no common version.
    follow(&host, Table::Configuration, intervals.wait, needed, || 0, apply).await
}

/// Decodes a configuration and puts it in force if it is newer; returns false if it cannot be
/// decoded. `compress` compresses the encoded configuration for transfer to other hosts.
pub fn adopt(host: &Host, raw: &[u8], compress: impl FnOnce(&[u8]) -> Bytes) -> bool {
    match configuration::decode(raw) {
        Ok(plan) if host.plan().is_some_and(|known| plan.version <= known.version) => true,
        Ok(plan) => {
            host.set_plan(plan, compress(raw));
            true
        }
        Err(error) => {
            warn!(
                error = %format_args!("{error:#}"),
                "configuration: cannot be decoded, not adopted"
            );
            false
        }
    }
}

/// Follows the list of servers, in an endless loop.
pub async fn servers(host: Rc<Host>) {
    let apply = |rows: &Rows, whole: bool| {
        let expected = if whole { known_servers(&host) } else { Vec::new() };
        let (mut listed, missing) = resolve_entries(&rows.rows, expected, rows.clock);
        let catalog = host.backends.catalog.borrow();
        listed.iter_mut().for_each(|listed| catalog.keep_cold_end(listed));
        drop(catalog);
        apply_list(&host, listed, missing, rows.version, whole);
        host.backends.clock.set(host.backends.clock.get().max(rows.clock));
    };
    let max_age = MAX_SERVERS_AGE + SERVERS_AGE_SPREAD.mul_f64(rand::random());
    let needed = || {
        let age = host.store_age(host.backends.clock.get());
        host.reads_store() || age.is_none_or(|age| age > max_age)
    };
    let known = || host.backends.catalog.borrow().version();
    follow(&host, Table::Servers, SERVERS_POLL_TIMEOUT, needed, known, apply).await
}

fn known_servers(host: &Host) -> Vec<ServerId> {
    host.backends.catalog.borrow().all().map(|listed| listed.id.clone()).collect()
}

/// Applies present and disappeared entries, after which the list contains all changes up to
/// `version`; `whole` if these are all entries.
fn apply_list(
    host: &Rc<Host>,
    listed: Vec<ListedServer>,
    missing: Vec<ServerId>,
    version: u64,
    whole: bool,
) {
    let (present, gone) = (listed.len(), missing.len());
    let mut changed = 0;
    for listed in listed {
        changed += usize::from(host.upsert_server(listed, version));
    }
    for id in missing {
        changed += usize::from(schedule_removal(host, id, version));
    }
    host.backends.catalog.borrow_mut().advance(version);
    if changed > 0 {
        info!(version, whole, present, gone, changed, "servers: list changed");
        host.refresh();
    }
}

/// Adopts the whole list of servers, of the given version, from another host.
///
/// That host may have started just after an outage of the store, in which entries expired, and lack
/// these entries. Servers missing from its list are therefore kept for `MISSING_ENTRY_TTL`, like
/// servers missing from the store.
pub fn adopt_servers(host: &Rc<Host>, listed: Vec<ListedServer>, version: u64) {
    let present: HashSet<_> = listed.iter().map(|listed| &listed.id).collect();
    let known = known_servers(host).into_iter();
    let missing = known.filter(|id| !present.contains(id)).collect();
    apply_list(host, listed, missing, version, true);
}

/// Adopts changes of the list of servers from another host. If this host's list is then not that of
/// the other host, the next request is for the whole list.
pub fn adopt_changes(host: &Rc<Host>, changes: ServerChanges) {
    let ServerChanges { since, version, stamp, changed, gone } = changes;
    let known = host.backends.catalog.borrow().version();
    if since > known || version < known {
        return;
    }
    apply_list(host, changed, gone, version, false);
    let mut catalog = host.backends.catalog.borrow_mut();
    if catalog.stamp() != stamp {
        info!(version, "servers: list differs after changes, requesting the whole list");
        catalog.reset_version();
    }
}

/// Resolves rows of the list of servers into the present entries and the servers without an entry.
/// Servers in `expected` that have no row count as servers without an entry. `clock` is the store's
/// clock when the rows were read.
///
/// Rows are in the order of their changes, and the last one of a server counts: an entry that
/// expired in an outage of the store and came back remains.
pub fn resolve_entries(
    rows: &[Row],
    expected: Vec<ServerId>,
    clock: Duration,
) -> (Vec<ListedServer>, Vec<ServerId>) {
    let mut entries: BTreeMap<ServerId, Option<ListedServer>> =
        expected.into_iter().map(|id| (id, None)).collect();
    for row in rows {
        // Keys that are not valid server names belong to no server.
        if let Ok(id) = row.key.parse() {
            entries.insert(id, decode_entry(row, clock));
        }
    }
    let (present, missing): (Vec<_>, Vec<_>) =
        entries.into_iter().partition(|(_, listed)| listed.is_some());
    let present = present.into_iter().filter_map(|(_, listed)| listed).collect();
    (present, missing.into_iter().map(|(id, _)| id).collect())
}

fn decode_entry(row: &Row, clock: Duration) -> Option<ListedServer> {
    if row.removed {
        return None;
    }
    match registry::decode(&row.key, &row.value, clock) {
        Ok(listed) => Some(listed),
        Err(error) => {
            info!(
                key = %row.key, error = %format_args!("{error:#}"),
                "servers: entry cannot be decoded, treated as missing"
            );
            None
        }
    }
}

/// Removes a server that has no entry since `version` of the list after [`MISSING_ENTRY_TTL`],
/// unless the entry is back by then. Returns false, without any effect, for an unknown server or if
/// the removal is scheduled already.
fn schedule_removal(host: &Rc<Host>, id: ServerId, version: u64) -> bool {
    let occurrence = host.backends.catalog.borrow_mut().mark_missing(&id, version);
    let Some(occurrence) = occurrence else { return false };
    info!(server = %id, "servers: entry disappeared");
    monoio::spawn(remove_after_ttl(host.clone(), id, occurrence));
    true
}

async fn remove_after_ttl(host: Rc<Host>, id: ServerId, occurrence: u64) {
    monoio::time::sleep(MISSING_ENTRY_TTL).await;
    if host.remove_server(&id, occurrence) {
        host.refresh();
    }
}
