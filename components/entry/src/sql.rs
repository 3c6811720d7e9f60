//! Classification of SQL statements, as far as the proxy needs it.

use crate::tokens::{self, Token};

/// Class of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Known to be read-only; may run on a replica.
    Read,
    /// May change data.
    Write,
    /// Begins a transaction.
    Begin,
    /// Ends a transaction; with the command tag of the answer.
    End(&'static str),
    /// Empty query string.
    Empty,
    /// `SET name = value`.
    Set {
        /// Name of the setting, in lower case.
        name: Box<str>,
        /// New value; `None` for `DEFAULT`.
        value: Option<Box<str>>,
    },
    /// `SET LOCAL`, `SET TRANSACTION` or `SET CONSTRAINTS`, which the server applies to the open
    /// transaction only.
    SetLocal,
    /// `RESET name`, or `RESET ALL` if `None`.
    Reset(Option<Box<str>>),
    /// `SHOW name`.
    Show(Box<str>),
    /// `DISCARD ALL`.
    Discard,
    /// `DEALLOCATE name`, or `DEALLOCATE ALL` if `None`.
    Deallocate(Option<Box<str>>),
    /// `UNLISTEN`, which has no effect since `LISTEN` is not supported.
    Unlisten,
    /// Needs a dedicated server connection; with the name of the unsupported feature.
    Unsupported(&'static str),
}

/// Classifies each statement of a query string. One that cannot be tokenized counts as a single
/// write.
pub fn parse(sql: &str) -> Vec<Command> {
    match tokens::split_statements(sql) {
        Some(all) if all.is_empty() => vec![Command::Empty],
        Some(all) => all.iter().map(|tokens| parse_tokens(tokens)).collect(),
        None => vec![Command::Write],
    }
}

/// Classifies a query string of one statement, as in a prepared statement. One with several
/// statements counts as a write.
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

/// Returns the feature through which a statement leaves state on its server connection beyond
/// the transaction, if any.
///
/// Another caller gets the connection after the transaction, so the state would be lost for the
/// caller that created it and visible to one that did not.
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

/// Returns all names that are followed by an opening parenthesis.
fn called_functions(tokens: &[Token]) -> Vec<&str> {
    let pairs = tokens.windows(2).filter(|pair| pair[1] == Token::Symbol('('));
    pairs
        .filter_map(|pair| match &pair[0] {
            Token::Word(word) => Some(&**word),
            // A quoted name may be any function; `"` is in no list of functions.
            Token::Name(_) => Some("\""),
            _ => None,
        })
        .collect()
}

/// Keywords of statements that change or lock data.
const WRITE_KEYWORDS: [&str; 8] =
    ["INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE", "CALL", "LOCK"];

/// Keywords that may be followed by a parenthesis without being a function.
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

/// Functions that are known to change nothing.
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

/// Returns whether a statement is known to change nothing.
///
/// A statement that calls a function outside [`PURE_FUNCTIONS`] counts as a write. If it were
/// sent as a read and the answer got lost, it would be reported as "not run" and retried.
fn is_read_only(tokens: &[Token]) -> bool {
    let words = || tokens.iter().filter_map(Token::word);
    let changes = words().any(|word| WRITE_KEYWORDS.contains(&word));
    let qualified = tokens
        .windows(3)
        .any(|part| part[0] == Token::Symbol('.') && part[2] == Token::Symbol('('));
    let known = |f: &&str| NON_FUNCTION_KEYWORDS.contains(f) || PURE_FUNCTIONS.contains(f);
    !changes && !qualified && called_functions(tokens).iter().all(known)
}

/// Parses a name of several parts into lower case.
fn parse_name(tokens: &[Token]) -> Box<str> {
    let parts: Vec<String> = tokens.iter().map(token_text).collect();
    parts.join(" ").replace(" . ", ".").to_ascii_lowercase().into()
}

fn token_text(token: &Token) -> String {
    match token {
        // Unquoted words are case-insensitive and are stored in lower case.
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
