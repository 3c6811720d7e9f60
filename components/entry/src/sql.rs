//! What a statement is, as far as the proxy must know.

use crate::tokens::{self, Token};

/// What a statement is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// It surely changes nothing and may run on a replica.
    Read,
    /// It may change data.
    Write,
    /// It begins a transaction.
    Begin,
    /// It ends a transaction; the answer's tag.
    End(&'static str),
    /// It holds nothing.
    Empty,
    /// `SET name = value`; `DEFAULT` is no value.
    Set {
        /// The setting, in small letters.
        name: Box<str>,
        /// Its new value.
        value: Option<Box<str>>,
    },
    /// `SET LOCAL` or `SET TRANSACTION`: kept by the server, within a transaction only.
    SetLocal,
    /// `RESET name`, or of all settings.
    Reset(Option<Box<str>>),
    /// `SHOW name`.
    Show(Box<str>),
    /// `DISCARD ALL`.
    Discard,
    /// `DEALLOCATE name`, or of all prepared statements.
    Deallocate(Option<Box<str>>),
    /// `UNLISTEN`: there is nothing to stop listening to.
    Unlisten,
    /// It needs a session of its own on a server; what is not carried.
    Unsupported(&'static str),
}

/// Reads each statement of a text; a text that cannot be read is one write.
pub fn parse(sql: &str) -> Vec<Command> {
    match tokens::split_statements(sql) {
        Some(all) if all.is_empty() => vec![Command::Empty],
        Some(all) => all.iter().map(|tokens| parse_tokens(tokens)).collect(),
        None => vec![Command::Write],
    }
}

/// Reads a text of one statement, as in a prepared statement.
pub fn parse_single(sql: &str) -> Command {
    let mut all = parse(sql);
    if all.len() == 1 { all.remove(0) } else { Command::Write }
}

fn parse_tokens(tokens: &[Token]) -> Command {
    let word = |i: usize| tokens.get(i).and_then(Token::word).unwrap_or_default();
    if let Some(what) = session_state(tokens) {
        return Command::Unsupported(what);
    }
    match (word(0), word(1)) {
        ("SELECT" | "VALUES" | "TABLE" | "WITH", _) if is_read_only(tokens) => Command::Read,
        ("BEGIN", _) | ("START", "TRANSACTION") => Command::Begin,
        ("COMMIT" | "END", _) => Command::End("COMMIT"),
        ("ROLLBACK", _) if tokens.iter().any(|t| t.word() == Some("TO")) => Command::Write,
        ("ROLLBACK" | "ABORT", _) => Command::End("ROLLBACK"),
        ("SET", "LOCAL" | "TRANSACTION" | "CONSTRAINTS") => Command::SetLocal,
        ("SET", _) => parse_set(&tokens[1..]),
        ("RESET", "ALL") => Command::Reset(None),
        ("RESET", _) => Command::Reset(Some(parse_name(&tokens[1..]))),
        ("SHOW", _) => Command::Show(parse_name(&tokens[1..])),
        ("DISCARD", "ALL") => Command::Discard,
        ("DEALLOCATE", _) => parse_deallocate(&tokens[1..]),
        ("UNLISTEN", _) => Command::Unlisten,
        _ => Command::Write,
    }
}

/// What of a statement would outlive its transaction on a server's connection.
///
/// The connection goes to another caller after the transaction, so such state
/// would be lost for the one who made it and shown to one who did not.
fn session_state(tokens: &[Token]) -> Option<&'static str> {
    let word = |i: usize| tokens.get(i).and_then(Token::word).unwrap_or_default();
    let is_temporary = |t: &Token| matches!(t.word(), Some("TEMP" | "TEMPORARY"));
    let into_temporary =
        tokens.windows(2).any(|pair| pair[0].word() == Some("INTO") && is_temporary(&pair[1]));
    match (word(0), word(1)) {
        ("LISTEN", _) => return Some("LISTEN"),
        ("COPY", _) => return Some("COPY"),
        ("DECLARE", _) => return Some("DECLARE"),
        ("PREPARE", _) => return Some("PREPARE"),
        ("EXECUTE", _) => return Some("EXECUTE"),
        ("LOAD", _) => return Some("LOAD"),
        ("DISCARD", what) if what != "ALL" => return Some("DISCARD of a part"),
        ("COMMIT" | "ROLLBACK", "PREPARED") => return Some("two-phase commit"),
        ("COMMIT" | "END" | "ROLLBACK" | "ABORT", _) if has_chain(tokens) => {
            return Some("AND CHAIN");
        }
        ("SET", "SESSION") if word(2) == "CHARACTERISTICS" => {
            return Some("SET SESSION CHARACTERISTICS");
        }
        ("SET", "ROLE") | ("SET", "SESSION") if word(2) == "AUTHORIZATION" || word(1) == "ROLE" => {
            return Some("SET ROLE");
        }
        ("CREATE", _) if tokens.iter().take(4).any(is_temporary) => {
            return Some("a temporary table");
        }
        _ if into_temporary => return Some("a temporary table"),
        _ => {}
    }
    let calls = called_functions(tokens);
    let locks = |f: &str| f.starts_with("PG_ADVISORY_") || f.starts_with("PG_TRY_ADVISORY_");
    if calls.iter().any(|f| locks(f) && !f.contains("_XACT_")) {
        return Some("an advisory lock of a session");
    }
    calls.contains(&"SET_CONFIG").then_some("set_config")
}

fn has_chain(tokens: &[Token]) -> bool {
    let words: Vec<_> = tokens.iter().filter_map(Token::word).collect();
    words.contains(&"CHAIN") && !words.contains(&"NO")
}

/// The names that stand before an opening parenthesis.
fn called_functions(tokens: &[Token]) -> Vec<&str> {
    let pairs = tokens.windows(2).filter(|pair| pair[1] == Token::Symbol('('));
    pairs
        .filter_map(|pair| match &pair[0] {
            Token::Word(word) => Some(&**word),
            // A quoted name may be any function.
            Token::Name(_) => Some("\""),
            _ => None,
        })
        .collect()
}

/// Words that make a statement change or lock something.
const WRITE_KEYWORDS: [&str; 8] =
    ["INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE", "CALL", "LOCK"];

/// Words that may stand before a parenthesis without being a function.
const NON_FUNCTION_KEYWORDS: [&str; 46] = [
    "ALL",
    "AND",
    "ANY",
    "ARRAY",
    "AS",
    "BETWEEN",
    "BY",
    "CASE",
    "CAST",
    "CHAR",
    "DECIMAL",
    "DISTINCT",
    "ELSE",
    "EXCEPT",
    "EXISTS",
    "FILTER",
    "FROM",
    "GROUP",
    "HAVING",
    "ILIKE",
    "IN",
    "INTERSECT",
    "INTERVAL",
    "IS",
    "JOIN",
    "LATERAL",
    "LIKE",
    "LIMIT",
    "MATERIALIZED",
    "NOT",
    "NUMERIC",
    "OFFSET",
    "ON",
    "OR",
    "OVER",
    "ROW",
    "SELECT",
    "SOME",
    "THEN",
    "TIMESTAMP",
    "UNION",
    "USING",
    "VALUES",
    "VARCHAR",
    "WHEN",
    "WHERE",
];

/// Functions that surely change nothing.
const PURE_FUNCTIONS: [&str; 50] = [
    "ABS",
    "ARRAY_AGG",
    "AVG",
    "BOOL_AND",
    "BOOL_OR",
    "CEIL",
    "CHAR_LENGTH",
    "COALESCE",
    "CONCAT",
    "COUNT",
    "DATE",
    "DATE_PART",
    "DATE_TRUNC",
    "DENSE_RANK",
    "EXTRACT",
    "FIRST_VALUE",
    "FLOOR",
    "FORMAT",
    "GREATEST",
    "JSONB_AGG",
    "JSONB_BUILD_OBJECT",
    "JSON_AGG",
    "JSON_BUILD_OBJECT",
    "LAG",
    "LAST_VALUE",
    "LEAD",
    "LEAST",
    "LENGTH",
    "LOWER",
    "LTRIM",
    "MAX",
    "MIN",
    "MOD",
    "NOW",
    "NULLIF",
    "POSITION",
    "RANK",
    "REPLACE",
    "ROUND",
    "ROW_NUMBER",
    "RTRIM",
    "STRING_AGG",
    "SUBSTR",
    "SUBSTRING",
    "SUM",
    "TO_CHAR",
    "TO_DATE",
    "TRIM",
    "UNNEST",
    "UPPER",
];

/// Whether a statement surely changes nothing.
///
/// A function that is not known here may write. It is taken for a write, for a
/// read that was lost on the way is told as "not run" and tried again.
fn is_read_only(tokens: &[Token]) -> bool {
    let words = || tokens.iter().filter_map(Token::word);
    let changes = words().any(|word| WRITE_KEYWORDS.contains(&word));
    let qualified = tokens
        .windows(3)
        .any(|part| part[0] == Token::Symbol('.') && part[2] == Token::Symbol('('));
    let known = |f: &&str| NON_FUNCTION_KEYWORDS.contains(f) || PURE_FUNCTIONS.contains(f);
    !changes && !qualified && called_functions(tokens).iter().all(known)
}

/// A name of several parts, in small letters.
fn parse_name(tokens: &[Token]) -> Box<str> {
    let parts: Vec<String> = tokens.iter().map(token_text).collect();
    parts.join(" ").replace(" . ", ".").to_ascii_lowercase().into()
}

fn token_text(token: &Token) -> String {
    match token {
        // Unquoted words are the same in capitals and small letters, kept small.
        Token::Word(text) => text.to_lowercase(),
        Token::Name(text) | Token::Text(text) => text.to_string(),
        Token::Symbol(c) => c.to_string(),
    }
}

fn parse_set(tokens: &[Token]) -> Command {
    let tokens = match tokens.first().and_then(Token::word) {
        Some("SESSION") => &tokens[1..],
        _ => tokens,
    };
    let two_words = [("TIME", "ZONE", "timezone"), ("NAMES", "", "client_encoding")];
    let word = |i: usize| tokens.get(i).and_then(Token::word).unwrap_or_default();
    for (first, second, setting) in two_words {
        if word(0) == first && (second.is_empty() || word(1) == second) {
            let skip = if second.is_empty() { 1 } else { 2 };
            return Command::Set { name: setting.into(), value: parse_value(&tokens[skip..]) };
        }
    }
    let is_end = |t: &Token| *t == Token::Symbol('=') || t.word() == Some("TO");
    match tokens.iter().position(is_end) {
        Some(at) => {
            Command::Set { name: parse_name(&tokens[..at]), value: parse_value(&tokens[at + 1..]) }
        }
        None => Command::Write,
    }
}

fn parse_value(tokens: &[Token]) -> Option<Box<str>> {
    match tokens {
        [] => None,
        [Token::Word(word)] if &**word == "DEFAULT" => None,
        [one] => Some(token_text(one).into()),
        many => {
            let text: String = many.iter().map(token_text).collect();
            Some(text.replace(',', ", ").into())
        }
    }
}

fn parse_deallocate(tokens: &[Token]) -> Command {
    let tokens = match tokens {
        [Token::Word(first), rest @ ..] if &**first == "PREPARE" => rest,
        all => all,
    };
    match tokens {
        [Token::Word(word)] if &**word == "ALL" => Command::Deallocate(None),
        [Token::Word(word)] => Command::Deallocate(Some(word.to_ascii_lowercase().into())),
        [Token::Name(name)] => Command::Deallocate(Some(name.clone())),
        _ => Command::Write,
    }
}
