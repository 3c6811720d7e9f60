//! Possible effects of a batch of a caller's messages, derived from its statement texts.
//!
//! The results are conservative: an effect that cannot be ruled out is assumed.

use bergamottrack_pg::frame;
use bytes::Bytes;
use pgwire::messages::PgWireFrontendMessage;

/// Messages of a caller, of which the last is `Query` or `Sync`.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Messages as sent to the server.
    pub raw: Bytes,
    /// Statement texts in upper case.
    texts: Vec<Box<str>>,
    /// Whether the batch may run a statement whose text it does not contain.
    opaque: bool,
}

impl Batch {
    /// Parses a batch.
    pub fn new(raw: Bytes) -> Self {
        let mut batch = Self { raw: raw.clone(), texts: Vec::new(), opaque: false };
        let Ok(frames) = frame::frames(raw) else {
            return Self { opaque: true, ..batch };
        };
        for frame in frames.iter().filter(|frame| matches!(frame.tag, b'Q' | b'P' | b'B')) {
            match frame.frontend() {
                Ok(PgWireFrontendMessage::Query(query)) => batch.add_text(&query.query),
                Ok(PgWireFrontendMessage::Parse(parse)) => batch.add_text(&parse.query),
                Ok(PgWireFrontendMessage::Bind(_)) => batch.opaque |= batch.texts.is_empty(),
                _ => batch.opaque = true,
            }
        }
        batch
    }

    fn add_text(&mut self, text: &str) {
        self.texts.push(text.to_ascii_uppercase().into());
    }

    /// Returns whether the batch may end an open transaction.
    pub fn may_end(&self) -> bool {
        const END_WORDS: [&str; 3] = ["COMMIT", "END", "PREPARE"];
        self.opaque || self.words().any(|word| END_WORDS.contains(&word))
    }

    /// Returns whether a statement of the batch begins a transaction, which the caller then ends.
    pub fn begins(&self) -> bool {
        let statements = self.texts.iter().flat_map(|text| text.split(';'));
        statements.filter_map(|text| words(text).next()).any(is_begin)
    }

    /// Returns whether the batch is a single statement that begins a transaction.
    pub fn only_begins(&self) -> bool {
        let [text] = &self.texts[..] else { return false };
        let text = text.trim().trim_end_matches(';');
        let first = words(text).next().unwrap_or_default();
        !self.opaque && is_begin(first) && !text.contains(';')
    }

    fn words(&self) -> impl Iterator<Item = &str> {
        self.texts.iter().flat_map(|text| words(text))
    }
}

fn is_begin(word: &str) -> bool {
    matches!(word, "BEGIN" | "START")
}

fn words(text: &str) -> impl Iterator<Item = &str> {
    text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_').filter(|word| !word.is_empty())
}
