//! Classification of SQL statements for routing and session settings.

use crate::tokens::{self, SplitError, Token};

/// Class of a statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Known to be read-only; may run on a replica.
    Read,
    /// May change data, or is not recognized.
    Write,
    /// Begins a transaction.
    Begin,
    /// Ends a transaction; contains the command tag of the answer.
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
    /// Uses an unsupported feature; contains the name of the feature.
    Unsupported(&'static str),
}

/// Classifies each statement of a query string. A query string that cannot be tokenized counts as
/// a single write.
pub fn parse(sql: &str) -> Vec<Command> {
    match tokens::split_statements(sql) {
        Ok(all) if all.is_empty() => vec![Command::Empty],
        Ok(all) => all.iter().map(|tokens| parse_tokens(tokens)).collect(),
        Err(SplitError::Unterminated) => vec![Command::Write],
        Err(SplitError::TooLong) => {
            vec![Command::Unsupported("a query of more than 500,000 tokens")]
        }
    }
}

/// Classifies a query string of one statement, as in a prepared statement. A query string with
/// several statements counts as a write.
pub fn parse_single(sql: &str) -> Command {
    let mut all = parse(sql);
    if all.len() == 1 { all.remove(0) } else { Command::Write }
}

fn parse_tokens(tokens: &[Token]) -> Command {
    let word = |i: usize| tokens.get(i).and_then(Token::word).unwrap_or_default();
    if let Some(feature) = unsupported_feature(tokens) {
        return Command::Unsupported(feature);
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

/// Returns the name of the unsupported feature that a statement uses, if any.
///
/// Features that leave state on the server connection beyond the transaction are not supported.
/// Another caller gets the connection after the transaction, so the state would be lost for the
/// caller that created it and visible to others.
fn unsupported_feature(tokens: &[Token]) -> Option<&'static str> {
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
        ("DISCARD", kind) if kind != "ALL" => return Some("DISCARD of a part"),
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
    let is_advisory_lock =
        |f: &str| f.starts_with("PG_ADVISORY_") || f.starts_with("PG_TRY_ADVISORY_");
    if calls.iter().any(|f| is_advisory_lock(f) && !f.contains("_XACT_")) {
        return Some("an advisory lock of a session");
    }
    calls.contains(&"SET_CONFIG").then_some("set_config")
}

fn has_chain(tokens: &[Token]) -> bool {
    let words: Vec<_> = tokens.iter().filter_map(Token::word).collect();
    words.contains(&"CHAIN") && !words.contains(&"NO")
}

/// Returns all unquoted words that are followed by an opening parenthesis, and `"` for each such
/// quoted name.
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

/// Keywords after which a parenthesis is no function call, and types with a length or precision.
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
const READ_ONLY_FUNCTIONS: [&str; 50] = [
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
/// A statement that calls a function outside [`READ_ONLY_FUNCTIONS`], or one with a qualified name,
/// counts as a write. If it were sent as a read and the answer got lost, it would be reported as
/// "not run" and retried.
fn is_read_only(tokens: &[Token]) -> bool {
    let words = || tokens.iter().filter_map(Token::word);
    let has_write_keyword = words().any(|word| WRITE_KEYWORDS.contains(&word));
    let calls_qualified = tokens
        .windows(3)
        .any(|window| window[0] == Token::Symbol('.') && window[2] == Token::Symbol('('));
    let is_allowed =
        |f: &&str| NON_FUNCTION_KEYWORDS.contains(f) || READ_ONLY_FUNCTIONS.contains(f);
    !has_write_keyword && !calls_qualified && called_functions(tokens).iter().all(is_allowed)
}

/// Joins the tokens of a name, which may be qualified or of several words, in lower case.
fn parse_name(tokens: &[Token]) -> Box<str> {
    let parts: Vec<String> = tokens.iter().map(token_text).collect();
    parts.join(" ").replace(" . ", ".").to_ascii_lowercase().into()
}

fn token_text(token: &Token) -> String {
    match token {
        // The tokenizer converts unquoted words to upper case; names and values have
        // them in lower case.
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
    // Forms without `=` or `TO`: one or two keywords, and the name of the setting.
    let keyword_forms = [("TIME", "ZONE", "timezone"), ("NAMES", "", "client_encoding")];
    let word = |i: usize| tokens.get(i).and_then(Token::word).unwrap_or_default();
    for (first, second, setting) in keyword_forms {
        if word(0) == first && (second.is_empty() || word(1) == second) {
            let skip = if second.is_empty() { 1 } else { 2 };
            return Command::Set { name: setting.into(), value: parse_value(&tokens[skip..]) };
        }
    }
    let is_assignment = |t: &Token| *t == Token::Symbol('=') || t.word() == Some("TO");
    match tokens.iter().position(is_assignment) {
        Some(index) => Command::Set {
            name: parse_name(&tokens[..index]),
            value: parse_value(&tokens[index + 1..]),
        },
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
