//! Fetching a large document from another host, piece by piece.
//!
//! The load it answers: a configuration of some hundred KB that all hosts of a failure
//! domain fetch from one of them at the same moment, over links whose rates nobody knows
//! and which carry statements and leases too. A whole document in one answer needs
//! longer than an answer may take once it is large enough; asked for again it fills the
//! link with copies that come too late, so that it never arrives and nothing else gets
//! through. So a piece is asked for only when the one before has come, what has come is
//! kept whatever happens to the link, and pieces are as large as the link shows to bear.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::{Revision, Size};

/// How long a piece is waited for while the link that it was asked over is up. A hundred
/// hosts that ask one at the same moment have [`MIN_PIECE`] in this time over 1 Mbit/s; asked
/// for sooner, all would be sent again while the first is still on its way.
pub const PIECE_TIMEOUT: Duration = Duration::from_secs(4);

/// The smallest piece, and the first one, which shows what the link bears.
const MIN_PIECE: Size = Size(4 * 1024);

/// The largest piece. A link of 10 Mbit/s, busy with it for 100 ms, still serves callers.
pub const MAX_PIECE: Size = Size(128 * 1024);

/// After a piece that took less the next one is twice as large.
const FAST_TRANSFER: Duration = Duration::from_millis(40);

/// After a piece that took more the next one is half as large: what else goes over the
/// link waits as long.
const SLOW_TRANSFER: Duration = Duration::from_millis(160);

/// Documents that a host gives out. Those before the newest are for hosts that have begun
/// to fetch them: begun anew with each version, a fetch would never end while versions
/// come faster than they can be fetched.
const MAX_DOCUMENTS: usize = 4;

/// The piece of a document that a host asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceRequest {
    /// The document.
    pub revision: Revision,
    /// Where the piece begins.
    pub from: Size,
    /// How large it may be.
    pub most: Size,
}

/// A piece of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Piece {
    /// Digest of the whole document.
    pub digest: u64,
    /// Size of the whole document.
    pub whole: Size,
    /// Store time at which the sender knew the document to be the newest.
    pub confirmed: Duration,
    /// The piece.
    pub bytes: Bytes,
}

#[derive(Clone, Debug)]
struct Document {
    revision: Revision,
    digest: u64,
    bytes: Bytes,
    /// Store time at which the document was known to be the newest; never decreases.
    confirmed: Duration,
}

/// The documents that a host gives out.
#[derive(Debug, Default)]
pub struct Documents {
    /// The newest last.
    documents: VecDeque<Document>,
}

impl Documents {
    /// Adds the document of a revision that is newer than all before.
    pub fn add(&mut self, revision: Revision, bytes: Bytes) {
        let digest = xxh3::xxh3_64(&bytes);
        let confirmed = self.confirmed();
        self.documents.push_back(Document { revision, digest, bytes, confirmed });
        if self.documents.len() > MAX_DOCUMENTS {
            self.documents.pop_front();
        }
    }

    /// Notes that the newest document here was still the newest at store time `clock`.
    pub fn confirm(&mut self, clock: Duration) {
        if let Some(newest) = self.documents.back_mut() {
            newest.confirmed = newest.confirmed.max(clock);
        }
    }

    /// Store time up to which nothing newer than the newest document here was accepted. It
    /// holds for a newer document as well, so an added one starts from it.
    pub fn confirmed(&self) -> Duration {
        self.documents.back().map(|newest| newest.confirmed).unwrap_or_default()
    }

    /// A piece; `None` of a document that is not there, or from beyond its end.
    pub fn piece(&self, request: PieceRequest) -> Option<Piece> {
        let Document { digest, bytes, confirmed, .. } =
            self.documents.iter().find(|document| document.revision == request.revision)?;
        let from = usize::try_from(request.from.0).ok().filter(|from| *from < bytes.len())?;
        let most = usize::try_from(request.most.min(MAX_PIECE).0).ok()?;
        let to = bytes.len().min(from + most);
        let whole = Size(bytes.len() as u64);
        Some(Piece { digest: *digest, whole, confirmed: *confirmed, bytes: bytes.slice(from..to) })
    }
}

/// What a piece has brought.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// There is more to fetch.
    More,
    /// The whole document.
    Complete(Bytes),
    /// What had come was of another document of that name, or was damaged: it is fetched anew.
    Restarted,
}

/// A document that is being fetched, from one host or from several in turn.
#[derive(Debug)]
pub struct Fetch {
    /// The document.
    pub revision: Revision,
    /// Pieces that have come.
    pub pieces: u32,
    /// Pieces that did not come.
    pub missed: u32,
    /// Store time at which a sender knew the document to be the newest.
    pub confirmed: Duration,
    /// Digest of the whole document; none before the first piece.
    digest: Option<u64>,
    /// The beginning of the document, as far as it has come.
    bytes: Vec<u8>,
    /// How large the next piece may be; from [`MIN_PIECE`] to [`MAX_PIECE`].
    piece_size: Size,
}

impl Fetch {
    /// A fetch of which nothing has come.
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

    /// The piece to ask for next.
    pub fn next_request(&self) -> PieceRequest {
        let from = Size(self.bytes.len() as u64);
        PieceRequest { revision: self.revision, from, most: self.piece_size }
    }

    /// Takes the piece that was asked for, which took so long.
    pub fn take(&mut self, piece: Piece, took: Duration) -> Progress {
        self.pieces += 1;
        self.confirmed = self.confirmed.max(piece.confirmed);
        if took < FAST_TRANSFER {
            self.piece_size = Size(self.piece_size.0 * 2).min(MAX_PIECE);
        } else if took > SLOW_TRANSFER {
            self.shrink();
        }
        if self.digest.is_some_and(|digest| digest != piece.digest) {
            // Another host's document of that revision. Of its beginning nothing has come.
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

    /// Notes that the piece did not come: the link was lost, or it took too long.
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
