//! Merges a site's overlay into the base configuration.
//!
//! A value in the overlay replaces that in the base. Tables are merged entry by entry, and lists
//! of tables (`group`, `server`, `account`, `key`) item by item with equal `id`. An item whose
//! `id` is not in the base must contain `new = true`, so that a misspelt id is a fault and does
//! not create an account. An overlay cannot remove anything: servers are marked `leaving` and
//! keys `withdrawn`.

use crate::{
    fault::{Fault, Faults},
    source::{Data, Node},
};

/// Field that marks an overlay item as missing from the base.
pub const NEW: &str = "new";

/// Returns the base merged with the overlay.
pub fn merge(base: &Node, overlay: &Node) -> Result<Node, Faults> {
    let mut faults = Faults::default();
    let merged = merge_node("", base, overlay, &mut faults);
    if faults.0.is_empty() { Ok(merged) } else { Err(faults) }
}

fn merge_node(path: &str, base: &Node, overlay: &Node, faults: &mut Faults) -> Node {
    let data = match (&base.data, &overlay.data) {
        (Data::Table(entries), Data::Table(_)) => {
            Data::Table(merge_table(path, entries, overlay, faults))
        }
        (Data::List(items), Data::List(over)) => Data::List(merge_list(path, items, over, faults)),
        _ => return overlay.clone(),
    };
    Node { origin: base.origin.clone(), data }
}

fn merge_table(
    path: &str,
    base: &[(Box<str>, Node)],
    overlay: &Node,
    faults: &mut Faults,
) -> Vec<(Box<str>, Node)> {
    let mut merged: Vec<_> = base.to_vec();
    for (name, over) in overlay.entries() {
        let child_path = if path.is_empty() { name.to_string() } else { format!("{path}, {name}") };
        match merged.iter_mut().find(|(known, _)| known == name) {
            Some((_, node)) => *node = merge_node(&child_path, node, over, faults),
            // A list that the base lacks is merged as if the base had an empty one.
            None if matches!(over.data, Data::List(_)) => {
                let empty = Node { origin: over.origin.clone(), data: Data::List(Vec::new()) };
                merged.push((name.clone(), merge_node(&child_path, &empty, over, faults)));
            }
            None => merged.push((name.clone(), over.clone())),
        }
    }
    merged
}

fn merge_list(path: &str, base: &[Node], overlay: &[Node], faults: &mut Faults) -> Vec<Node> {
    let mut merged = base.to_vec();
    for (i, over) in overlay.iter().enumerate() {
        let id = over.id().unwrap_or_default();
        let child_path = format!("{path} {id}");
        let mut fault = |found: String, expected: &str| {
            let origin = over.origin.clone();
            let path = child_path.as_str().into();
            faults.0.push(Fault { origin, path, found: found.into(), expected: expected.into() });
        };
        if let Some(first) = overlay[..i].iter().find(|other| other.id() == over.id()) {
            fault(format!("it again after {}", first.origin), "each id once in an overlay");
            continue;
        }
        let is_new = is_new(over);
        let known = merged.iter_mut().find(|item| item.id() == Some(id));
        match known {
            Some(node) if is_new => {
                fault(format!("{NEW} = true"), &format!("none, for {} has it", node.origin));
            }
            Some(node) => *node = merge_node(&child_path, node, over, faults),
            None if is_new => merged.push(strip_new(over)),
            None => fault(
                format!("the id {id:?}"),
                &format!("an id that the base has, or {NEW} = true"),
            ),
        }
    }
    merged
}

fn is_new(node: &Node) -> bool {
    let mark = node.get(NEW).map(|mark| &mark.data);
    matches!(mark, Some(Data::Value(toml::Value::Boolean(true))))
}

/// Returns a new item without [`NEW`] marks, in its nested items too.
fn strip_new(node: &Node) -> Node {
    let data = match &node.data {
        Data::Table(entries) => Data::Table(
            entries
                .iter()
                .filter(|(name, _)| &**name != NEW)
                .map(|(name, node)| (name.clone(), strip_new(node)))
                .collect(),
        ),
        Data::List(items) => Data::List(items.iter().map(strip_new).collect()),
        Data::Value(value) => Data::Value(value.clone()),
    };
    Node { origin: node.origin.clone(), data }
}
