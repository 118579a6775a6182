//! Tests of `.ci/test` with `KNOWN-RED.txt`, the list of tests that are known to fail. A script
//! takes the place of cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A script in place of cargo with three tests, of which `red` fails. A run of all tests fails
/// unless `red` is skipped.
const FAKE_CARGO: &str = r#"#!/usr/bin/env bash
case "$*" in
    *--list) printf 'red: test\nb::green: test\nc: test\n' ;;
    *"--exact --skip"*) [[ "$*" == *"--skip red"* ]] ;;
    *"--exact red") exit 101 ;;
    *"--exact "*) exit 0 ;;
    *) exit 101 ;;
esac
"#;

/// Runs `.ci/test` in a folder called `name`, with `list` as the content of `KNOWN-RED.txt` or
/// without that file.
fn run_script(name: &str, list: Option<&str>) -> Output {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).unwrap();
    let cargo = folder.join("cargo");
    fs::write(&cargo, FAKE_CARGO).unwrap();
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).unwrap();
    let known_red = folder.join("KNOWN-RED.txt");
    match list {
        Some(list) => fs::write(&known_red, list).unwrap(),
        None => drop(fs::remove_file(&known_red)),
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/test");
    Command::new("bash")
        .arg(script)
        .env("CARGO", cargo)
        .env("KNOWN_RED", known_red)
        .output()
        .unwrap()
}

#[test]
fn a_listed_test_is_skipped_and_printed_with_its_outcome() {
    let listed = run_script(
        "listed",
        Some("red | a fault | issue 7\nb::green | mended | issue 8\n"),
    );
    assert!(listed.status.success(), "{listed:?}");
    let output = String::from_utf8_lossy(&listed.stdout).into_owned();
    let lines: Vec<_> = output
        .lines()
        .filter(|l| l.starts_with("known red"))
        .collect();
    let expected = [
        "known red, failed: red | a fault | issue 7",
        "known red, passed: b::green | mended | issue 8",
    ];
    assert_eq!(lines, expected);
}

#[test]
fn a_failing_test_that_is_not_listed_fails_the_run() {
    for list in [None, Some(""), Some("c | another fault | issue 7\n")] {
        assert!(!run_script("unlisted", list).status.success(), "{list:?}");
    }
}

#[test]
fn a_list_that_is_too_long_malformed_or_names_an_unknown_test_fails_the_run_with_the_reason() {
    for (list, word) in [
        (
            "red | a | 1\nc | b | 2\nb::green | c | 3\nred | d | 4\n",
            "three at most",
        ),
        ("red\n", "not of the form"),
        ("red | a fault\n", "not of the form"),
        ("red |  | issue 7\n", "not of the form"),
        ("# red | a fault | issue 7\n", "not of the form"),
        ("re | a fault | issue 7\n", "no test of the name re"),
    ] {
        let rejected = run_script("refused", Some(list));
        let output = String::from_utf8_lossy(&rejected.stderr).into_owned();
        assert!(
            !rejected.status.success() && output.contains(word),
            "{list:?}: {output}"
        );
    }
}
