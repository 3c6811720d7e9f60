//! What a batch of a caller's messages may do, read off its texts.
//!
//! All answers err on the safe side: what cannot be excluded counts as done.

use bergamottrack_pg::frame;
use bytes::Bytes;
use pgwire::messages::PgWireFrontendMessage;

/// A caller's messages, the last of them `Query` or `Sync`.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The messages as they are sent on.
    pub raw: Bytes,
    /// The statements' texts, in upper case.
    texts: Vec<Box<str>>,
    /// Whether it runs a statement whose text is not in it.
    opaque: bool,
}

impl Batch {
    /// Reads a batch.
    pub fn new(raw: Bytes) -> Self {
        let mut batch = Self { raw: raw.clone(), texts: Vec::new(), opaque: false };
        let Ok(frames) = frame::frames(raw) else {
            return Self { opaque: true, ..batch };
        };
        for frame in frames.iter().filter(|frame| matches!(frame.tag, b'Q' | b'P' | b'B')) {
            match frame.frontend() {
                Ok(PgWireFrontendMessage::Query(query)) => batch.add(&query.query),
                Ok(PgWireFrontendMessage::Parse(parse)) => batch.add(&parse.query),
                Ok(PgWireFrontendMessage::Bind(_)) => batch.opaque |= batch.texts.is_empty(),
                _ => batch.opaque = true,
            }
        }
        batch
    }

    fn add(&mut self, text: &str) {
        self.texts.push(text.to_ascii_uppercase().into());
    }

    /// Whether it may end a transaction that is open.
    pub fn may_end(&self) -> bool {
        const ENDS: [&str; 3] = ["COMMIT", "END", "PREPARE"];
        self.opaque || self.words().any(|word| ENDS.contains(&word))
    }

    /// Whether a statement of it begins a transaction that the caller ends.
    pub fn begins(&self) -> bool {
        let statements = self.texts.iter().flat_map(|text| text.split(';'));
        statements.filter_map(|text| words(text).next()).any(is_begin)
    }

    /// Whether it is one statement that begins a transaction and nothing else.
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
