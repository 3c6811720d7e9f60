//! Conversion of values between SQLite and the PostgreSQL protocol.

use anyhow::{Context, bail};
use bytes::{BufMut, BytesMut};
use rusqlite::{Statement, types::ValueRef};
use serde::{Deserialize, Serialize};

/// Type OIDs of the PostgreSQL protocol.
pub mod oid {
    pub const BOOL: u32 = 16;
    pub const BYTEA: u32 = 17;
    pub const INT8: u32 = 20;
    pub const INT2: u32 = 21;
    pub const INT4: u32 = 23;
    pub const TEXT: u32 = 25;
    pub const FLOAT4: u32 = 700;
    pub const FLOAT8: u32 = 701;
}

/// Value of a statement parameter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Value {
    Null,
    Int(i64),
    Real(f64),
    Text(Box<str>),
    Blob(Vec<u8>),
}

/// Binds the values to the statement's parameters `$1`, `$2` and so on.
pub fn bind(statement: &mut Statement<'_>, params: &[Value]) -> anyhow::Result<()> {
    for (i, value) in params.iter().enumerate() {
        let Some(index) = statement.parameter_index(&format!("${}", i + 1))? else { continue };
        match value {
            Value::Null => statement.raw_bind_parameter(index, rusqlite::types::Null)?,
            Value::Int(n) => statement.raw_bind_parameter(index, n)?,
            Value::Real(n) => statement.raw_bind_parameter(index, n)?,
            Value::Text(text) => statement.raw_bind_parameter(index, &**text)?,
            Value::Blob(bytes) => statement.raw_bind_parameter(index, bytes)?,
        }
    }
    Ok(())
}

/// Decodes a parameter of a type from its text or binary format.
pub fn decode(bytes: Option<&[u8]>, oid: u32, binary: bool) -> anyhow::Result<Value> {
    let Some(bytes) = bytes else { return Ok(Value::Null) };
    if !binary {
        return decode_text(std::str::from_utf8(bytes)?, oid);
    }
    let wrong_length = "a binary parameter of the wrong length";
    Ok(match oid {
        oid::BOOL => Value::Int(i64::from(bytes.first().copied().unwrap_or(0) != 0)),
        oid::INT2 => Value::Int(i16::from_be_bytes(bytes.try_into().context(wrong_length)?).into()),
        oid::INT4 => Value::Int(i32::from_be_bytes(bytes.try_into().context(wrong_length)?).into()),
        oid::INT8 => Value::Int(i64::from_be_bytes(bytes.try_into().context(wrong_length)?)),
        oid::FLOAT4 => {
            Value::Real(f32::from_be_bytes(bytes.try_into().context(wrong_length)?).into())
        }
        oid::FLOAT8 => Value::Real(f64::from_be_bytes(bytes.try_into().context(wrong_length)?)),
        oid::BYTEA => Value::Blob(bytes.to_vec()),
        _ => Value::Text(std::str::from_utf8(bytes)?.into()),
    })
}

fn decode_text(text: &str, oid: u32) -> anyhow::Result<Value> {
    Ok(match oid {
        oid::INT2 | oid::INT4 | oid::INT8 => Value::Int(text.parse()?),
        oid::FLOAT4 | oid::FLOAT8 => Value::Real(text.parse()?),
        oid::BOOL => Value::Int(i64::from(matches!(text, "t" | "true" | "1"))),
        _ => Value::Text(text.into()),
    })
}

/// Returns the type OID of a column from its declared type. Without one, expressions named
/// like a numeric aggregate or an integer are `INT8` and all others `TEXT`.
pub fn column_type(declared: Option<&str>, name: &str) -> u32 {
    let Some(declared) = declared else {
        let name = name.to_ascii_lowercase();
        let numeric = ["count(", "sum(", "max(", "min(", "changes("];
        return if numeric.iter().any(|f| name.starts_with(f)) || name.parse::<i64>().is_ok() {
            oid::INT8
        } else {
            oid::TEXT
        };
    };
    match declared.to_ascii_uppercase().as_str() {
        "INT" | "INTEGER" | "INT4" => oid::INT4,
        "BIGINT" | "INT8" => oid::INT8,
        "REAL" | "FLOAT" | "DOUBLE" => oid::FLOAT8,
        "BLOB" | "BYTEA" => oid::BYTEA,
        "BOOL" | "BOOLEAN" => oid::BOOL,
        _ => oid::TEXT,
    }
}

/// Appends a value of a row, preceded by its length; NULL has length -1.
pub fn encode(
    out: &mut BytesMut,
    value: ValueRef<'_>,
    oid: u32,
    binary: bool,
) -> anyhow::Result<()> {
    if matches!(value, ValueRef::Null) {
        out.put_i32(-1);
        return Ok(());
    }
    let bytes = if binary { encode_binary(value, oid)? } else { encode_text(value, oid) };
    out.put_i32(i32::try_from(bytes.len())?);
    out.put_slice(&bytes);
    Ok(())
}

fn encode_text(value: ValueRef<'_>, oid: u32) -> Vec<u8> {
    match value {
        ValueRef::Null => Vec::new(),
        ValueRef::Integer(n) if oid == oid::BOOL => vec![if n == 0 { b'f' } else { b't' }],
        ValueRef::Integer(n) => n.to_string().into_bytes(),
        ValueRef::Real(n) => n.to_string().into_bytes(),
        ValueRef::Text(text) => text.to_vec(),
        ValueRef::Blob(bytes) => {
            let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
            format!("\\x{hex}").into_bytes()
        }
    }
}

fn encode_binary(value: ValueRef<'_>, oid: u32) -> anyhow::Result<Vec<u8>> {
    Ok(match (oid, value) {
        (oid::INT4, ValueRef::Integer(n)) => i32::try_from(n)?.to_be_bytes().to_vec(),
        (oid::INT8, ValueRef::Integer(n)) => n.to_be_bytes().to_vec(),
        (oid::BOOL, ValueRef::Integer(n)) => vec![u8::from(n != 0)],
        (oid::FLOAT8, ValueRef::Real(n)) => n.to_be_bytes().to_vec(),
        (oid::FLOAT8, ValueRef::Integer(n)) => (n as f64).to_be_bytes().to_vec(),
        (oid::BYTEA, ValueRef::Blob(bytes)) => bytes.to_vec(),
        (oid::INT4 | oid::INT8 | oid::FLOAT8, other) => {
            bail!("a column of type {oid} holds {:?}", other.data_type())
        }
        (_, other) => encode_text(other, oid),
    })
}
