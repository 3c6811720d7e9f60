//! What a person reads: help, faults, merged configuration and tables.

use std::process::{Command, Output};

use insta::assert_snapshot;

fn bergamottrack(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bergamottrack"))
        .args(args)
        .env_clear()
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cli"))
        .output()
        .unwrap()
}

/// Exit code, output and errors of a command, as a person sees them.
fn seen(args: &[&str]) -> String {
    let output = bergamottrack(args);
    format!(
        "exit code {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap()
    )
}

#[test]
fn help_names_every_command() {
    assert_snapshot!(seen(&["--help"]));
}

#[test]
fn help_shows_the_flag_and_the_variable_of_each_setting() {
    assert_snapshot!(seen(&["serve", "--help"]));
}

#[test]
fn all_faulty_settings_are_told_at_once() {
    let mut args = vec!["serve", "--listen=5432", "--log===", "--via=a", "--secret-file=missing"];
    args.extend(["--peer=127.0.0.1:5433", "--operator=127.0.0.1:5433"]);
    assert_snapshot!(seen(&args));
}

#[test]
fn the_merged_text_names_file_and_line_of_each_value() {
    assert_snapshot!(seen(&["config", "show", "--base=base.toml", "--overlay=dakar.toml"]));
}

#[test]
fn all_faults_of_a_configuration_are_told_at_once() {
    assert_snapshot!(seen(&["check", "--base=faulty.toml"]));
}

#[test]
fn an_overlay_may_not_name_what_the_base_lacks() {
    assert_snapshot!(seen(&["check", "--base=base.toml", "--overlay=misnamed.toml"]));
}

#[test]
fn a_sound_configuration_is_counted() {
    assert_snapshot!(seen(&["check", "--base=base.toml", "--overlay=dakar.toml"]));
}

#[test]
fn keys_are_listed() {
    assert_snapshot!(seen(&["key", "list", "--base=base.toml", "--overlay=dakar.toml"]));
}

/// A secret given in a wrong place ends up in a log or on a screen: the operator
/// pastes a key where its verifier belongs, or gives a secret twice, and the
/// fault quotes what was given.
#[test]
fn a_fault_never_quotes_a_key_or_a_secret() {
    let config = seen(&["check", "--base=faulty.toml"]);
    assert!(config.contains("verifier: given") && !config.contains("hunter2"), "{config}");
    let settings = seen(&["serve", "--secret=hunter2", "--secret-file=base.toml"]);
    assert!(settings.contains("--secret ") && !settings.contains("hunter2"), "{settings}");
}

#[test]
fn completions_and_manual_are_written() {
    assert!(seen(&["completions", "bash"]).contains("_bergamottrack"));
    assert!(seen(&["man"]).contains(".TH bergamottrack"));
}
