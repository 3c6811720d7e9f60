//! Output of the commands: help, invalid settings, configuration faults, merged configuration and
//! keys.

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

/// Runs a command and returns its exit code, standard output and standard error as text.
fn transcript(args: &[&str]) -> String {
    let output = bergamottrack(args);
    format!(
        "exit code {}\n{}{}",
        output.status.code().unwrap(),
        String::from_utf8(output.stdout).unwrap(),
        String::from_utf8(output.stderr).unwrap()
    )
}

#[test]
fn help_lists_every_command() {
    assert_snapshot!(transcript(&["--help"]));
}

#[test]
fn serve_help_shows_flag_and_variable_of_each_setting() {
    assert_snapshot!(transcript(&["serve", "--help"]));
}

#[test]
fn serve_reports_all_invalid_settings_together() {
    let mut args = vec!["serve", "--listen=5432", "--log===", "--via=a", "--secret-file=missing"];
    args.extend(["--peer=127.0.0.1:5433", "--operator=127.0.0.1:5433"]);
    assert_snapshot!(transcript(&args));
}

#[test]
fn config_show_prints_file_and_line_of_each_value() {
    assert_snapshot!(transcript(&["config", "show", "--base=base.toml", "--overlay=dakar.toml"]));
}

#[test]
fn check_reports_all_configuration_faults_together() {
    assert_snapshot!(transcript(&["check", "--base=faulty.toml"]));
}

#[test]
fn check_rejects_overlay_ids_that_do_not_fit_the_base() {
    assert_snapshot!(transcript(&["check", "--base=base.toml", "--overlay=misnamed.toml"]));
}

#[test]
fn check_counts_the_parts_of_a_valid_configuration() {
    assert_snapshot!(transcript(&["check", "--base=base.toml", "--overlay=dakar.toml"]));
}

#[test]
fn key_list_prints_the_keys_of_the_configuration() {
    assert_snapshot!(transcript(&["key", "list", "--base=base.toml", "--overlay=dakar.toml"]));
}

/// Guards against secrets in logs or on screens: an operator gives a key in place of its verifier,
/// or a secret twice, and the error message quotes the given value.
#[test]
fn faults_never_quote_keys_or_secrets() {
    let config = transcript(&["check", "--base=faulty.toml"]);
    assert!(config.contains("verifier: given") && !config.contains("hunter2"), "{config}");
    let settings = transcript(&["serve", "--secret=hunter2", "--secret-file=base.toml"]);
    assert!(settings.contains("--secret ") && !settings.contains("hunter2"), "{settings}");
}

#[test]
fn completions_and_manual_are_printed() {
    assert!(transcript(&["completions", "bash"]).contains("_bergamottrack"));
    assert!(transcript(&["man"]).contains(".TH bergamottrack"));
}
