//! What a statement is, as far as the proxy must know.

/// What a statement is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It surely changes nothing and may run on a replica.
    Read,
    /// It may change data.
    Write,
    /// It begins a transaction.
    Begin,
    /// It ends a transaction.
    End,
}

/// Looks at the first words of a statement; what is not surely a read is a write.
pub fn kind(sql: &str) -> Kind {
    let upper = sql.trim_start().to_ascii_uppercase();
    let first = upper.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or_default();
    match first {
        "SELECT" | "VALUES" | "TABLE" if !locks(&upper) => Kind::Read,
        "SHOW" => Kind::Read,
        "BEGIN" | "START" => Kind::Begin,
        "COMMIT" | "END" | "ROLLBACK" | "ABORT" => Kind::End,
        _ => Kind::Write,
    }
}

fn locks(upper: &str) -> bool {
    [" FOR UPDATE", " FOR SHARE", " FOR NO KEY", " FOR KEY", " INTO ", ";"]
        .iter()
        .any(|word| upper.trim_end_matches([';', ' ', '\n']).contains(word))
}
