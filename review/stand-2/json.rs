//! JSON and Base64, as far as the stand-ins need them.

use std::fmt;

/// A JSON value; numbers are kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a document.
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = parse_value(&chars, &mut at)?;
        skip_blanks(&chars, &mut at);
        (at == chars.len()).then_some(value)
    }

    /// Member of an object.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(members) => {
                members.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    /// Text, or an empty one for any other value.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Whole number, or 0 for any other value.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    /// Entries of a list; none for any other value.
    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(entries) => entries,
            _ => &[],
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(text) => f.write_str(text),
            Self::Text(text) => write!(f, "{}", quote(text)),
            Self::List(entries) => {
                let entries: Vec<String> = entries.iter().map(ToString::to_string).collect();
                write!(f, "[{}]", entries.join(","))
            }
            Self::Object(members) => {
                let members: Vec<String> = members
                    .iter()
                    .map(|(name, value)| format!("{}:{value}", quote(name)))
                    .collect();
                write!(f, "{{{}}}", members.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                out.push('\\');
                out.push(c);
            }
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip_blanks(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn expect(chars: &[char], at: &mut usize, word: &str) -> Option<()> {
    for c in word.chars() {
        if chars.get(*at) != Some(&c) {
            return None;
        }
        *at += 1;
    }
    Some(())
}

fn parse_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_blanks(chars, at);
    match *chars.get(*at)? {
        'n' => expect(chars, at, "null").map(|()| Json::Null),
        't' => expect(chars, at, "true").map(|()| Json::Bool(true)),
        'f' => expect(chars, at, "false").map(|()| Json::Bool(false)),
        '"' => parse_text(chars, at).map(Json::Text),
        '[' => {
            *at += 1;
            let mut entries = Vec::new();
            loop {
                skip_blanks(chars, at);
                if chars.get(*at) == Some(&']') {
                    *at += 1;
                    return Some(Json::List(entries));
                }
                if !entries.is_empty() {
                    expect(chars, at, ",")?;
                }
                entries.push(parse_value(chars, at)?);
            }
        }
        '{' => {
            *at += 1;
            let mut members = Vec::new();
            loop {
                skip_blanks(chars, at);
                if chars.get(*at) == Some(&'}') {
                    *at += 1;
                    return Some(Json::Object(members));
                }
                if !members.is_empty() {
                    expect(chars, at, ",")?;
                    skip_blanks(chars, at);
                }
                let name = parse_text(chars, at)?;
                skip_blanks(chars, at);
                expect(chars, at, ":")?;
                members.push((name, parse_value(chars, at)?));
            }
        }
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| "+-.eE0123456789".contains(*c)) {
                *at += 1;
            }
            (*at > start).then(|| Json::Number(chars[start..*at].iter().collect()))
        }
    }
}

fn parse_text(chars: &[char], at: &mut usize) -> Option<String> {
    expect(chars, at, "\"")?;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let c = *chars.get(*at)?;
                *at += 1;
                match c {
                    'n' => text.push('\n'),
                    'r' => text.push('\r'),
                    't' => text.push('\t'),
                    'u' => {
                        let digits: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                    }
                    c => text.push(c),
                }
            }
            c => text.push(c),
        }
    }
}

/// Encodes bytes as Base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word =
            chunk.iter().enumerate().fold(0u32, |w, (i, b)| w | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
