//! Merging, validation, formatting and comparison of configurations.

use bergamottrack_contract::{Config, Node, Verifier, check, diff, merge, show};

const BASE: &str = r#"
site = "base"
[policy]
silence_ms = "450ms"
request_ms = 2000
[[account]]
id = "atelier"
rate = "20/s"
burst = 40
"#;

/// Parses [`BASE`] with a key; `state` is an additional line of the key's table.
fn with_key(state: &str) -> Config {
    let verifier = Verifier::new("secret", b"salt");
    let key = format!("[[account.key]]\nid = \"k1\"\nverifier = \"{verifier}\"\n{state}");
    Config::parse(&format!("{BASE}{key}")).unwrap()
}

#[test]
fn values_with_and_without_units_are_parsed() {
    let config = Config::parse(BASE).unwrap();
    assert_eq!((config.policy.silence_ms, config.policy.request_ms), (450, 2000));
    assert_eq!(config.accounts[0].rate.0, 20.0);
}

#[test]
fn overlay_changes_only_its_own_fields() {
    let overlay = "site = \"dakar\"\n[policy]\nrequest_ms = \"9s\"\n[[account]]\nid = \"atelier\"\nburst = 80";
    let base = Node::parse("base", BASE).unwrap();
    let merged = merge::merge(&base, &Node::parse("overlay", overlay).unwrap()).unwrap();
    let config = check::read(&merged).unwrap();
    assert_eq!(
        (&*config.site, config.policy.request_ms, config.policy.silence_ms),
        ("dakar", 9000, 450)
    );
    assert_eq!((config.accounts[0].rate.0, config.accounts[0].burst.0), (20.0, 80.0));
}

#[test]
fn formatted_configuration_parses_to_the_same_configuration() {
    let node = Node::parse("base", BASE).unwrap();
    assert_eq!(Config::parse(&show::text(&node)), Ok(check::read(&node).unwrap()));
}

#[test]
fn all_syntax_faults_are_reported() {
    let faults = Node::parse("f", "a = \nb = 1\nc = ]\n").unwrap_err();
    let lines: Vec<usize> = faults.0.iter().map(|fault| fault.origin.line).collect();
    assert_eq!(lines, [1, 3], "{faults}");
}

#[test]
fn added_key_is_one_change_without_its_verifier() {
    let before = Config::parse(BASE).unwrap();
    let after = with_key("");
    let changes = diff::diff(Some(&before), &after);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(lines.len(), 1);
    assert!(
        lines[0].starts_with("+ account atelier, key k1: standing stands, verifier "),
        "{lines:?}"
    );
    assert!(!lines[0].contains("SCRAM"));
}

/// Guards against a withdrawn key that works again: the operator's file still has it as valid, and
/// a later submit of that file for another reason restores it.
#[test]
fn restored_keys_are_detected() {
    let (valid, withdrawn) = (with_key(""), with_key("withdrawn = true"));
    assert_eq!(diff::restored_keys(&withdrawn, &valid).len(), 1);
    assert_eq!(diff::restored_keys(&withdrawn, &withdrawn).len(), 0);
    assert_eq!(diff::restored_keys(&valid, &withdrawn).len(), 0);
}
