//! Merging, checking, showing and comparing configurations.

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

fn with_key(standing: &str) -> Config {
    let verifier = Verifier::new("secret", b"salt");
    let key = format!("[[account.key]]\nid = \"k1\"\nverifier = \"{verifier}\"\n{standing}");
    Config::parse(&format!("{BASE}{key}")).unwrap()
}

#[test]
fn units_are_read_with_or_without_a_suffix() {
    let config = Config::parse(BASE).unwrap();
    assert_eq!((config.policy.silence_ms, config.policy.request_ms), (450, 2000));
    assert_eq!(config.accounts[0].rate.0, 20.0);
}

#[test]
fn an_overlay_changes_only_what_it_names() {
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
fn the_plain_text_of_a_configuration_reads_back_the_same() {
    let node = Node::parse("base", BASE).unwrap();
    assert_eq!(Config::parse(&show::text(&node)), Ok(check::read(&node).unwrap()));
}

#[test]
fn every_syntax_fault_is_told() {
    let faults = Node::parse("f", "a = \nb = 1\nc = ]\n").unwrap_err();
    let lines: Vec<usize> = faults.0.iter().map(|fault| fault.origin.line).collect();
    assert_eq!(lines, [1, 3], "{faults}");
}

#[test]
fn a_difference_names_what_changed_and_no_verifier() {
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

/// A key that was withdrawn by phone works again: the operator's file still has it
/// standing, and a later submit of that file for another reason brings it back.
#[test]
fn a_withdrawn_key_that_would_stand_again_is_found() {
    let (stands, withdrawn) = (with_key(""), with_key("withdrawn = true"));
    assert_eq!(diff::restored_keys(&withdrawn, &stands).len(), 1);
    assert_eq!(diff::restored_keys(&withdrawn, &withdrawn).len(), 0);
    assert_eq!(diff::restored_keys(&stands, &withdrawn).len(), 0);
}
