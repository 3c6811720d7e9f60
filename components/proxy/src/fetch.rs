//! Fetching a configuration from a host that knows a newer one.

use std::{rc::Rc, time::Instant};

use bergamottrack_coordination::{
    Revision,
    pieces::{self, Fetch, Piece, Progress},
};
use bergamottrack_peer::{Answer, Link, Question};
use bytes::Bytes;
use tracing::{info, warn};

use crate::{follow, host::Host, packed};

/// Begins to fetch a configuration over that link, or goes on with one that was begun;
/// nothing while one is being fetched.
///
/// One that cannot be read here is not fetched again: it would fill the link for ever.
pub fn begin(host: &Rc<Host>, link: &Rc<Link>, revision: Revision) {
    let known = host.version().max(host.unreadable.get());
    if revision <= known || host.fetches.replace(true) {
        return;
    }
    let (host, link) = (host.clone(), link.clone());
    monoio::spawn(async move {
        let fetch = host.fetch.take().filter(|fetch| fetch.revision > host.version());
        let fetch = fetch.unwrap_or_else(|| Fetch::new(revision));
        *host.fetch.borrow_mut() = run(&host, &link, fetch).await;
        host.fetches.set(false);
    });
}

/// Fetches over one link until all has come; otherwise what is left to be gone on with.
async fn run(host: &Rc<Host>, link: &Link, mut fetch: Fetch) -> Option<Fetch> {
    let began = host.now();
    loop {
        let asked = host.now();
        let answer = link.query(Question::Piece(fetch.next_request()), pieces::PIECE_TIMEOUT).await;
        let piece = match answer {
            Ok(Answer::Piece(piece)) => piece,
            Ok(_) => None,
            Err(error) => {
                fetch.miss();
                host.measures.unanswered.inc();
                note_miss(host, link, &fetch, asked, &error);
                return Some(fetch);
            }
        };
        let Some(piece) = piece else {
            info!(version = fetch.revision.0, from = %link.host, "configuration: not to be had there");
            return None;
        };
        match take(host, &mut fetch, piece, asked) {
            Progress::More => {}
            Progress::Complete(packed) => {
                let ms = (host.now() - began).as_millis() as u64;
                info!(
                    version = fetch.revision.0, from = %link.host, bytes = packed.len(),
                    pieces = fetch.pieces, missed = fetch.missed, ms,
                    "configuration: told by another host"
                );
                if !adopt(host, packed) {
                    host.unreadable.set(fetch.revision);
                }
                if host.version() == fetch.revision {
                    host.shelf.borrow_mut().confirm(fetch.confirmed);
                }
                return None;
            }
            Progress::Restarted => {
                let version = fetch.revision.0;
                info!(version, from = %link.host, "configuration: pieces do not fit, fetching anew");
            }
        }
    }
}

/// Puts a configuration in force that has been fetched; false when it cannot be read.
fn adopt(host: &Host, packed: Bytes) -> bool {
    match packed::unpack(&packed) {
        Ok(raw) => follow::adopt(host, &raw, |_| packed),
        Err(error) => {
            warn!(error = %format_args!("{error:#}"), "configuration: cannot be decompressed");
            false
        }
    }
}

fn take(host: &Host, fetch: &mut Fetch, piece: Piece, asked: Instant) -> Progress {
    host.measures.heard.inc_by(piece.bytes.len() as u64);
    fetch.take(piece, host.now() - asked)
}

fn note_miss(host: &Host, link: &Link, fetch: &Fetch, asked: Instant, error: &anyhow::Error) {
    let (wanted, ms) = (fetch.next_request(), (host.now() - asked).as_millis() as u64);
    let error = format_args!("{error:#}");
    info!(
        version = wanted.revision.0, at = wanted.from.0, from = %link.host, ms, %error,
        "configuration: a piece did not come"
    );
}

/// The piece that another host wants.
pub fn piece(host: &Host, wanted: pieces::PieceRequest) -> Option<Piece> {
    let piece = host.shelf.borrow().piece(wanted);
    let bytes = piece.as_ref().map_or(0, |piece| piece.bytes.len());
    host.measures.told.inc_by(bytes as u64);
    piece
}
