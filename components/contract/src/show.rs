//! Formats a configuration as TOML.

use std::fmt::Write;

use crate::source::{Data, Node};

/// Column at which the comments with origins start.
const ORIGIN_COLUMN: usize = 44;

/// Formats a configuration as TOML; each value is followed by a comment with its file and line.
pub fn with_origins(node: &Node) -> String {
    let mut out = String::new();
    table(&mut out, "", node, true);
    out
}

/// Formats a configuration as TOML without origins.
pub fn text(node: &Node) -> String {
    let mut out = String::new();
    table(&mut out, "", node, false);
    out
}

fn table(out: &mut String, path: &str, node: &Node, origins: bool) {
    for (name, node) in node.entries() {
        if let Data::Value(value) = &node.data {
            line(out, &format!("{} = {value}", key(name)), node, origins);
        }
    }
    for (name, node) in node.entries() {
        let path = if path.is_empty() { key(name) } else { format!("{path}.{}", key(name)) };
        match &node.data {
            Data::Value(_) => {}
            Data::Table(_) => {
                line(out, &format!("\n[{path}]"), node, origins);
                table(out, &path, node, origins);
            }
            Data::List(items) => {
                for item in items {
                    line(out, &format!("\n[[{path}]]"), item, origins);
                    table(out, &path, item, origins);
                }
            }
        }
    }
}

fn line(out: &mut String, text: &str, node: &Node, origins: bool) {
    let width = ORIGIN_COLUMN + usize::from(text.starts_with('\n'));
    let _ = match origins {
        true => writeln!(out, "{text:width$}  # {}", node.origin),
        false => writeln!(out, "{text}"),
    };
}

fn key(name: &str) -> String {
    let bare = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    match !name.is_empty() && name.chars().all(bare) {
        true => name.to_owned(),
        false => toml::Value::String(name.to_owned()).to_string(),
    }
}
