//! Rows, row descriptions and command tags.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::FieldDescription;

use super::values;

/// Returns whether a statement begins with `SELECT`.
pub fn is_select(sql: &str) -> bool {
    sql.trim_start().get(..6).is_some_and(|w| w.eq_ignore_ascii_case("select"))
}

/// Returns the command tag that ends the answer of a statement.
pub fn tag(sql: &str, rows: u64, changed: u64) -> String {
    let first = sql.split_ascii_whitespace().next().unwrap_or_default().to_ascii_uppercase();
    match first.as_str() {
        "INSERT" => format!("INSERT 0 {changed}"),
        "UPDATE" | "DELETE" => format!("{first} {changed}"),
        "CREATE" => "CREATE TABLE".into(),
        "DROP" => "DROP TABLE".into(),
        _ => format!("SELECT {rows}"),
    }
}

/// Appends a `DataRow` message with an encoded row.
pub fn put_row(out: &mut BytesMut, row: &[u8]) {
    out.put_u8(b'D');
    out.put_i32(row.len() as i32 + 4);
    out.put_slice(row);
}

/// Returns the description of a column, with format 0 for text and 1 for binary.
pub fn field(name: &str, type_id: u32, format: i16) -> FieldDescription {
    FieldDescription::new(name.into(), 0, 0, type_id, -1, -1, format)
}

/// Returns the descriptions of the columns of a statement.
pub fn fields(statement: &rusqlite::Statement<'_>, formats: &[i16]) -> Vec<FieldDescription> {
    let format = |i: usize| match formats {
        [] => 0,
        [format] => *format,
        formats => formats.get(i).copied().unwrap_or(0),
    };
    let columns = statement.columns();
    let numbered = columns.enumerate();
    numbered
        .map(|(i, c)| field(c.name(), values::column_type(c.decl_type(), c.name()), format(i)))
        .collect()
}

/// Copies column descriptions.
pub fn copy_fields(fields: &[FieldDescription]) -> Vec<FieldDescription> {
    fields.iter().map(|f| field(&f.name, f.type_id, f.format_code)).collect()
}
