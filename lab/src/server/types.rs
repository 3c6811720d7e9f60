//! Inference of parameter types that a caller does not state, from the columns that the
//! parameters are inserted into or compared with.

use std::collections::HashMap;

use rusqlite::Connection;

use super::values::{self, oid};

/// Returns the types of the parameters `$1`, `$2` and so on. A type in `stated_types` other than 0
/// takes precedence; a type that cannot be inferred is text.
pub fn infer(db: &Connection, sql: &str, stated_types: &[u32]) -> rusqlite::Result<Vec<u32>> {
    let statement = db.prepare(sql)?;
    let tokens = tokens(sql);
    let columns = columns(db, &tokens);
    let inserted_types = inserted_types(db, &tokens);
    let mut types = Vec::new();
    loop {
        let param = format!("${}", types.len() + 1);
        if statement.parameter_index(&param)?.is_none() {
            return Ok(types);
        }
        let stated = stated_types.get(types.len()).copied().filter(|oid| *oid != 0);
        let inferred = || {
            inserted_types
                .get(&*param)
                .or_else(|| compared_type(&tokens, &columns, &param))
                .copied()
        };
        types.push(stated.or_else(inferred).unwrap_or(oid::TEXT));
    }
}

/// Splits a statement into names, numbers, parameters and operators, in lower case.
fn tokens(sql: &str) -> Vec<String> {
    let mut tokens: Vec<String> = Vec::new();
    let in_word = |c: char| c.is_alphanumeric() || matches!(c, '_' | '$');
    let in_operator = |c: char| matches!(c, '<' | '>' | '=' | '!');
    let mut last = ' ';
    for c in sql.chars().filter(|c| *c != '"') {
        let joins = (in_word(c) && in_word(last)) || (in_operator(c) && in_operator(last));
        match tokens.last_mut() {
            Some(token) if joins => token.extend(c.to_lowercase()),
            _ if c.is_whitespace() => {}
            _ => tokens.push(c.to_lowercase().collect()),
        }
        last = c;
    }
    tokens
}

/// Returns the names and types of the columns of a table; empty if there is no such table.
fn table_columns(db: &Connection, name: &str) -> Vec<(String, u32)> {
    let read = |row: &rusqlite::Row<'_>| {
        let (column, declared): (String, String) = (row.get(0)?, row.get(1)?);
        let type_id = values::column_type(Some(&declared), &column);
        Ok((column.to_ascii_lowercase(), type_id))
    };
    let columns = db
        .prepare_cached("SELECT name, type FROM pragma_table_info(?1)")
        .and_then(|mut s| s.query_map([name], read)?.collect());
    columns.unwrap_or_default()
}

/// Returns the column types of all tables named in the statement, by column name.
fn columns(db: &Connection, tokens: &[String]) -> HashMap<String, u32> {
    tokens.iter().flat_map(|token| table_columns(db, token)).collect()
}

/// Returns the types of the parameters in `INSERT INTO t (a, b) VALUES ($1, $2), ($3, $4)`.
fn inserted_types<'w>(db: &Connection, tokens: &'w [String]) -> HashMap<&'w str, u32> {
    let mut types = HashMap::new();
    let Some(at) = tokens.iter().position(|w| w == "into") else { return types };
    let Some(values) = tokens.iter().position(|w| w == "values") else { return types };
    let Some(name) = tokens.get(at + 1) else { return types };
    let columns = table_columns(db, name);
    let named: Vec<&String> = tokens[(at + 2).min(values)..values]
        .iter()
        .filter(|w| !matches!(w.as_str(), "(" | ")" | ","))
        .collect();
    let type_of = |index: usize| match named.get(index) {
        Some(column) => columns.iter().find(|(name, _)| name == *column).map(|(_, id)| *id),
        None if named.is_empty() => columns.get(index).map(|(_, id)| *id),
        None => None,
    };
    let (mut index, mut depth) = (0, 0);
    for token in &tokens[values + 1..] {
        match token.as_str() {
            "(" => (index, depth) = (if depth == 0 { 0 } else { index }, depth + 1),
            ")" => depth -= 1,
            "," if depth == 1 => index += 1,
            param if depth == 1 && param.starts_with('$') => {
                if let Some(id) = type_of(index) {
                    types.insert(param, id);
                }
            }
            "on" | "returning" if depth == 0 => break,
            _ => {}
        }
    }
    types
}

/// Returns the type of the column that a parameter is compared with or assigned to.
fn compared_type<'c>(
    tokens: &[String],
    columns: &'c HashMap<String, u32>,
    param: &str,
) -> Option<&'c u32> {
    const INT8: &u32 = &oid::INT8;
    let at = tokens.iter().position(|w| w == param)?;
    let before = |n: usize| at.checked_sub(n).and_then(|i| tokens.get(i)).map(String::as_str);
    if matches!(before(1), Some("limit" | "offset")) {
        return Some(INT8);
    }
    let is_operator = |w: &str| matches!(w, "=" | "<" | ">" | "<=" | ">=" | "<>" | "!=" | "like");
    if before(1).is_some_and(is_operator) {
        // `col = $1`; the next case handles `col = col + $1`.
        return columns.get(before(2)?);
    }
    if matches!(before(1), Some("+" | "-" | "*" | "/")) {
        return columns.get(before(2)?);
    }
    if tokens.get(at + 1).is_some_and(|w| is_operator(w)) {
        return columns.get(tokens.get(at + 2)?);
    }
    // `col IN ($1, $2)`
    let open = tokens[..at].iter().rposition(|w| w == "(")?;
    let is_in = open >= 2 && tokens[open - 1] == "in";
    if is_in { columns.get(&tokens[open - 2]) } else { None }
}
