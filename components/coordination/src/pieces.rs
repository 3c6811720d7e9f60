//! Transfer of a large document from another host in pieces.
//!
//! Handles a configuration of some hundred KB that all hosts of a failure domain fetch from
//! one of them at the same moment, over links of unknown bandwidth that also carry
//! statements and leases. A large document in a single answer takes longer than the timeout
//! of an answer; when it is requested again, the link is filled with copies that arrive too
//! late, so that the transfer never succeeds and other traffic is blocked. A piece is
//! therefore requested only after the preceding one has arrived, received pieces are kept
//! when the link fails, and the size of pieces adapts to the link.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{Revision, Size};

/// Timeout for a piece while its link is up. When a hundred hosts request a piece from the
/// same host at the same moment over 1 Mbit/s, each receives [`MIN_PIECE`] in this time; with a
/// shorter timeout, all pieces would be requested again while the first are still being
/// sent.
pub const PIECE_TIMEOUT: Duration = Duration::from_secs(4);

/// Minimum size of a piece, and the size of the first one, which probes the link.
const MIN_PIECE: Size = Size(4 * 1024);

/// Maximum size of a piece. A piece occupies a link of 10 Mbit/s for 100 ms, so the link can
/// still serve callers.
pub const MAX_PIECE: Size = Size(128 * 1024);

/// Transfer time of a piece below which the size of the next one is doubled.
const FAST_TRANSFER: Duration = Duration::from_millis(40);

/// Transfer time of a piece above which the size of the next one is halved: other traffic
/// on the link is delayed by this time.
const SLOW_TRANSFER: Duration = Duration::from_millis(160);

/// Maximum number of documents that a host offers. Older documents are for hosts that have
/// begun to fetch them: if a fetch started over with each version, it would never finish while
/// versions arrive faster than they can be fetched.
const MAX_DOCUMENTS: usize = 4;

/// Request for a piece of a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceRequest {
    /// Revision of the document.
    pub revision: Revision,
    /// Offset of the piece in bytes.
    pub from: Size,
    /// Maximum size of the piece in bytes; at most [`MAX_PIECE`] are sent.
    pub most: Size,
}

/// Piece of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// Digest of the whole document.
    pub digest: u64,
    /// Size of the whole document in bytes.
    pub whole: Size,
    /// Store time at which the sender confirmed that the document was the newest.
    pub confirmed: Duration,
    /// Content of the piece.
    pub bytes: Bytes,
}

#[derive(Clone, Debug)]
struct Document {
    revision: Revision,
    digest: u64,
    bytes: Bytes,
    /// Store time at which the document was confirmed to be the newest; never decreases.
    confirmed: Duration,
}

/// Documents that a host offers to other hosts.
#[derive(Debug, Default)]
pub struct Documents {
    /// Oldest first.
    documents: VecDeque<Document>,
}

impl Documents {
    /// Adds the document of a revision that is newer than all others here; drops the oldest
    /// beyond `MAX_DOCUMENTS`.
    pub fn add(&mut self, revision: Revision, bytes: Bytes) {
        let digest = xxh3::xxh3_64(&bytes);
        let confirmed = self.confirmed();
        self.documents.push_back(Document { revision, digest, bytes, confirmed });
        if self.documents.len() > MAX_DOCUMENTS {
            self.documents.pop_front();
        }
    }

    /// Records that the newest document here was still the newest at store time `clock`.
    pub fn confirm(&mut self, clock: Duration) {
        if let Some(newest) = self.documents.back_mut() {
            newest.confirmed = newest.confirmed.max(clock);
        }
    }

    /// Returns the store time up to which no document newer than the newest one here was
    /// accepted; zero before the first confirmation. This also holds for any newer document,
    /// so an added document starts with this time.
    pub fn confirmed(&self) -> Duration {
        self.documents.back().map(|newest| newest.confirmed).unwrap_or_default()
    }

    /// Returns a piece; `None` if the document is not available or the offset is beyond its
    /// end.
    pub fn piece(&self, request: PieceRequest) -> Option<Piece> {
        let Document { digest, bytes, confirmed, .. } =
            self.documents.iter().find(|document| document.revision == request.revision)?;
        let from = usize::try_from(request.from.0).ok().filter(|from| *from < bytes.len())?;
        let most = usize::try_from(request.most.min(MAX_PIECE).0).ok()?;
        let end = bytes.len().min(from + most);
        let whole = Size(bytes.len() as u64);
        Some(Piece { digest: *digest, whole, confirmed: *confirmed, bytes: bytes.slice(from..end) })
    }
}

/// Result of adding a piece to a fetch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// More pieces are missing.
    More,
    /// The document is complete.
    Complete(Bytes),
    /// The received pieces belonged to another document of the same revision or were
    /// damaged; the fetch starts over.
    Restarted,
}

/// Document being fetched, from one host or from several in turn.
#[derive(Debug)]
pub struct Fetch {
    /// Revision of the document.
    pub revision: Revision,
    /// Number of pieces received.
    pub pieces: u32,
    /// Number of requested pieces that were not received.
    pub missed: u32,
    /// Latest store time at which a sender confirmed that the document was the newest.
    pub confirmed: Duration,
    /// Digest of the whole document; `None` before the first piece.
    digest: Option<u64>,
    /// Beginning of the document, as far as received.
    bytes: Vec<u8>,
    /// Size to request for the next piece; from [`MIN_PIECE`] to [`MAX_PIECE`].
    piece_size: Size,
}

impl Fetch {
    /// Creates a fetch without any received pieces.
    pub fn new(revision: Revision) -> Self {
        let confirmed = Duration::ZERO;
        Self {
            revision,
            pieces: 0,
            missed: 0,
            confirmed,
            digest: None,
            bytes: Vec::new(),
            piece_size: MIN_PIECE,
        }
    }

    /// Returns the request for the next piece.
    pub fn next_request(&self) -> PieceRequest {
        let from = Size(self.bytes.len() as u64);
        PieceRequest { revision: self.revision, from, most: self.piece_size }
    }

    /// Adds the requested piece, which was received `took` after the request.
    pub fn take(&mut self, piece: Piece, took: Duration) -> Progress {
        self.pieces += 1;
        self.confirmed = self.confirmed.max(piece.confirmed);
        if took < FAST_TRANSFER {
            self.piece_size = Size(self.piece_size.0 * 2).min(MAX_PIECE);
        } else if took > SLOW_TRANSFER {
            self.shrink();
        }
        if self.digest.is_some_and(|digest| digest != piece.digest) {
            // The sender has another document of the same revision, whose beginning was not
            // received.
            return self.restart();
        }
        self.digest = Some(piece.digest);
        self.bytes.extend_from_slice(&piece.bytes);
        if (self.bytes.len() as u64) < piece.whole.0 && !piece.bytes.is_empty() {
            return Progress::More;
        }
        if xxh3::xxh3_64(&self.bytes) != piece.digest {
            return self.restart();
        }
        Progress::Complete(std::mem::take(&mut self.bytes).into())
    }

    /// Records that the requested piece was not received: the link was lost, or the timeout
    /// passed.
    pub fn miss(&mut self) {
        self.missed += 1;
        self.shrink();
    }

    fn shrink(&mut self) {
        self.piece_size = Size(self.piece_size.0 / 2).max(MIN_PIECE);
    }

    fn restart(&mut self) -> Progress {
        self.digest = None;
        self.bytes.clear();
        Progress::Restarted
    }
}
