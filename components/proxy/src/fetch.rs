//! Fetch of a newer configuration from another host.

use std::{rc::Rc, time::Instant};

use bergamottrack_coordination::{
    Revision,
    pieces::{self, Fetch, Piece, Progress},
};
use bergamottrack_peer::{Answer, Link, Question};
use bytes::Bytes;
use tracing::{info, warn};

use crate::{compression, follow, host::Host};

/// Starts to fetch a configuration over a link, or resumes an interrupted fetch of a version that
/// is newer than this host's. Does nothing while a fetch is running or if `revision` is not newer.
///
/// A version that this host cannot decode is not fetched again: repeated fetches would
/// occupy the link permanently.
pub fn begin(host: &Rc<Host>, link: &Rc<Link>, revision: Revision) {
    let known = host.version().max(host.unreadable_version.get());
    if revision <= known || host.is_fetching.replace(true) {
        return;
    }
    let (host, link) = (host.clone(), link.clone());
    monoio::spawn(async move {
        let fetch = host.fetch.take().filter(|fetch| fetch.revision > host.version());
        let fetch = fetch.unwrap_or_else(|| Fetch::new(revision));
        *host.fetch.borrow_mut() = fetch_pieces(&host, &link, fetch).await;
        host.is_fetching.set(false);
    });
}

/// Fetches the remaining pieces over one link and activates the configuration. Returns the
/// unfinished fetch, to be resumed later, if a request fails; an answer without a piece discards
/// the fetch. If the fetched version is then this host's version, records the latest store time
/// at which a sender confirmed that it was the newest.
async fn fetch_pieces(host: &Rc<Host>, link: &Link, mut fetch: Fetch) -> Option<Fetch> {
    let started = host.now();
    loop {
        let requested_at = host.now();
        let answer = link.query(Question::Piece(fetch.next_request()), pieces::PIECE_TIMEOUT).await;
        let piece = match answer {
            Ok(Answer::Piece(piece)) => piece,
            Ok(_) => None,
            Err(error) => {
                fetch.miss();
                host.metrics.unanswered.inc();
                log_miss(host, link, &fetch, requested_at, &error);
                return Some(fetch);
            }
        };
        let Some(piece) = piece else {
            info!(version = fetch.revision.0, from = %link.host, "configuration: version not available at the other host");
            return None;
        };
        match accept_piece(host, &mut fetch, piece, requested_at) {
            Progress::More => {}
            Progress::Complete(compressed) => {
                let ms = (host.now() - started).as_millis() as u64;
                info!(
                    version = fetch.revision.0, from = %link.host, bytes = compressed.len(),
                    pieces = fetch.pieces, missed = fetch.missed, ms,
                    "configuration: fetched from another host"
                );
                if !adopt(host, compressed) {
                    host.unreadable_version.set(fetch.revision);
                }
                if host.version() == fetch.revision {
                    host.documents.borrow_mut().confirm(fetch.confirmed);
                }
                return None;
            }
            Progress::Restarted => {
                let version = fetch.revision.0;
                info!(version, from = %link.host, "configuration: digest mismatch, restarting the fetch");
            }
        }
    }
}

/// Activates a fetched configuration if it is newer than this host's. Returns false if it cannot
/// be decompressed or decoded.
fn adopt(host: &Host, compressed: Bytes) -> bool {
    match compression::decompress(&compressed) {
        Ok(raw) => follow::adopt(host, &raw, |_| compressed),
        Err(error) => {
            warn!(error = %format_args!("{error:#}"), "configuration: decompression failed");
            false
        }
    }
}

fn accept_piece(host: &Host, fetch: &mut Fetch, piece: Piece, requested_at: Instant) -> Progress {
    host.metrics.received_bytes.inc_by(piece.bytes.len() as u64);
    fetch.take(piece, host.now() - requested_at)
}

fn log_miss(host: &Host, link: &Link, fetch: &Fetch, requested_at: Instant, error: &anyhow::Error) {
    let (request, ms) = (fetch.next_request(), (host.now() - requested_at).as_millis() as u64);
    let error = format_args!("{error:#}");
    info!(
        version = request.revision.0, at = request.from.0, from = %link.host, ms, %error,
        "configuration: piece not received"
    );
}

/// Returns the piece that another host requests; `None` if this host does not have it.
pub fn piece(host: &Host, request: pieces::PieceRequest) -> Option<Piece> {
    let piece = host.documents.borrow().piece(request);
    let bytes = piece.as_ref().map_or(0, |piece| piece.bytes.len());
    host.metrics.sent_bytes.inc_by(bytes as u64);
    piece
}
