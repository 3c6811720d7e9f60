//! Classification and splitting of statements.

/// Kind of a statement, by how the server runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Empty statement.
    Empty,
    /// Begins a transaction.
    Begin,
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// `SET name = value`.
    Set { name: Box<str>, value: Box<str> },
    /// `SHOW name`.
    Show(Box<str>),
    /// `LISTEN channel`.
    Listen,
    /// `SELECT group_promise(term, 'holder')`.
    Promise { term: u64, holder: Box<str> },
    /// `SELECT group_promote(term, 'holder')`.
    Promote { term: u64, holder: Box<str> },
    /// Any other statement; run by SQLite.
    Sql,
}

/// Classifies a statement.
pub fn command(sql: &str) -> Command {
    let text = sql.trim().trim_end_matches(';').trim();
    let mut words = text.split_ascii_whitespace();
    let first = words.next().unwrap_or_default().to_ascii_uppercase();
    match first.as_str() {
        "" => Command::Empty,
        "BEGIN" | "START" => Command::Begin,
        "COMMIT" | "END" => Command::Commit,
        "ROLLBACK" if words.next().is_none_or(|w| !w.eq_ignore_ascii_case("to")) => {
            Command::Rollback
        }
        "ABORT" => Command::Rollback,
        "SET" => set(&text[3..]),
        "SHOW" => Command::Show(text[4..].trim().to_ascii_lowercase().into()),
        "LISTEN" => Command::Listen,
        "SELECT" => group_call(text).unwrap_or(Command::Sql),
        _ => Command::Sql,
    }
}

/// Parses the part of a `SET` statement after the keyword.
fn set(rest: &str) -> Command {
    let (name, value) =
        rest.split_once('=').or_else(|| rest.split_once(" TO ")).unwrap_or((rest, ""));
    let value = value.trim().trim_matches('\'');
    Command::Set { name: name.trim().to_ascii_lowercase().into(), value: value.into() }
}

/// Parses a `SELECT` that only calls `group_promise` or `group_promote`.
fn group_call(text: &str) -> Option<Command> {
    let call = text.get(6..)?.trim();
    let (name, rest) = call.split_once('(')?;
    let (term, holder) = rest.strip_suffix(')')?.split_once(',')?;
    let term = term.trim().parse().ok()?;
    let holder: Box<str> = holder.trim().trim_matches('\'').into();
    match name {
        "group_promise" => Some(Command::Promise { term, holder }),
        "group_promote" => Some(Command::Promote { term, holder }),
        _ => None,
    }
}

/// Splits statements at semicolons outside of quotes; comments are not recognized.
pub fn split(sql: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut quote = None;
    for (i, c) in sql.char_indices() {
        match (quote, c) {
            (None, '\'' | '"') => quote = Some(c),
            (Some(q), c) if c == q => quote = None,
            (None, ';') => {
                parts.push(&sql[start..i]);
                start = i + 1;
            }
            _ => {}
        }
    }
    parts.push(&sql[start..]);
    parts.retain(|part| !part.trim().is_empty());
    parts
}
