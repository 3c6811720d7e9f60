//! Lays a site's overlay over the base.
//!
//! A value of the overlay replaces that of the base. Tables merge entry by
//! entry, and lists of tables (`group`, `server`, `account`, `key`) item by item
//! with equal `id`. An item whose `id` the base lacks must say `new = true`, so
//! that a misspelt name is a fault and not a new account. Nothing is taken out
//! by an overlay: a server is marked `leaving`, a key `withdrawn`.

use crate::{
    fault::{Fault, Faults},
    source::{Data, Node},
};

/// Marks an item of an overlay that the base does not have.
pub const NEW: &str = "new";

/// The base with the overlay laid over it.
pub fn merge(base: &Node, overlay: &Node) -> Result<Node, Faults> {
    let mut faults = Faults::default();
    let merged = lay("", base, overlay, &mut faults);
    if faults.0.is_empty() { Ok(merged) } else { Err(faults) }
}

fn lay(place: &str, base: &Node, overlay: &Node, faults: &mut Faults) -> Node {
    let data = match (&base.data, &overlay.data) {
        (Data::Table(entries), Data::Table(_)) => {
            Data::Table(lay_table(place, entries, overlay, faults))
        }
        (Data::List(items), Data::List(over)) => Data::List(lay_list(place, items, over, faults)),
        _ => return overlay.clone(),
    };
    Node { origin: base.origin.clone(), data }
}

fn lay_table(
    place: &str,
    base: &[(Box<str>, Node)],
    overlay: &Node,
    faults: &mut Faults,
) -> Vec<(Box<str>, Node)> {
    let mut merged: Vec<_> = base.to_vec();
    for (name, over) in overlay.entries() {
        let below = if place.is_empty() { name.to_string() } else { format!("{place}, {name}") };
        match merged.iter_mut().find(|(known, _)| known == name) {
            Some((_, node)) => *node = lay(&below, node, over, faults),
            // All that a list lacks in the base is new.
            None if matches!(over.data, Data::List(_)) => {
                let empty = Node { origin: over.origin.clone(), data: Data::List(Vec::new()) };
                merged.push((name.clone(), lay(&below, &empty, over, faults)));
            }
            None => merged.push((name.clone(), over.clone())),
        }
    }
    merged
}

fn lay_list(place: &str, base: &[Node], overlay: &[Node], faults: &mut Faults) -> Vec<Node> {
    let mut merged = base.to_vec();
    for (i, over) in overlay.iter().enumerate() {
        let id = over.id().unwrap_or_default();
        let below = format!("{place} {id}");
        let mut fault = |given: String, wanted: &str| {
            let origin = over.origin.clone();
            let place = below.as_str().into();
            faults.0.push(Fault { origin, place, given: given.into(), wanted: wanted.into() });
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
            Some(node) => *node = lay(&below, node, over, faults),
            None if is_new => merged.push(without_mark(over)),
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

/// A new item as the merged text has it: all that it holds is new with it.
fn without_mark(node: &Node) -> Node {
    let data = match &node.data {
        Data::Table(entries) => Data::Table(
            entries
                .iter()
                .filter(|(name, _)| &**name != NEW)
                .map(|(name, node)| (name.clone(), without_mark(node)))
                .collect(),
        ),
        Data::List(items) => Data::List(items.iter().map(without_mark).collect()),
        Data::Value(value) => Data::Value(value.clone()),
    };
    Node { origin: node.origin.clone(), data }
}
