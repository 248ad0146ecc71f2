//! Guards against commands of the daemon whose effect, output or exit code differs from their help.

use serde_json::Value;
use std::{
    path::PathBuf,
    process::{Command, Output},
};

/// Executes the daemon's program with these arguments until it exits.
fn run_daemon(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_geraniumroad")).args(args).output().unwrap()
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn example_path(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    path.to_string_lossy().into_owned()
}

#[test]
fn dev_once_checks_every_answer_and_prints_a_json_report_last() {
    let output = run_daemon(&["dev", "--once", "--seed", "3", "--json"]);
    assert!(output.status.success(), "{}", utf8(&output.stderr));
    let report: Value = serde_json::from_str(utf8(&output.stdout).lines().last().unwrap()).unwrap();
    assert_eq!(report["whole"], report["answers"]);
    assert!(report["deaths"].as_u64().unwrap() > 0);
    for field in ["resume_p95_ms", "extra_tokens_pct"] {
        assert!(report[field].is_number(), "{field}");
    }
}

#[test]
fn check_accepts_the_examples_and_reports_every_mistake() {
    let valid = run_daemon(&["check", "--settings", &example_path("alba/settings.toml")]);
    assert!(valid.status.success());
    let file = std::env::temp_dir().join(format!("geraniumroad-check-{}.toml", std::process::id()));
    std::fs::write(&file, "[entry]\nlisten = 1\n[platform]\naddr = \"x\"\n").unwrap();
    let invalid = run_daemon(&["check", "--settings", &file.to_string_lossy()]);
    std::fs::remove_file(&file).unwrap();
    assert!(!invalid.status.success());
    let problems = utf8(&invalid.stderr);
    for key in ["line 2: entry.listen", "entry.vm_id", "entry.domain", "line 4: platform.addr"] {
        assert!(problems.contains(key), "{key} is missing in {problems}");
    }
}

#[test]
fn help_and_version_are_printed_and_a_missing_command_is_an_error() {
    for args in [&["--help"][..], &["run", "--help"], &["check", "--help"], &["dev", "--help"]] {
        let output = run_daemon(args);
        assert!(output.status.success());
        assert!(utf8(&output.stdout).contains("Usage:"));
    }
    assert!(utf8(&run_daemon(&["--version"]).stdout).starts_with("geraniumroad "));
    assert_eq!(run_daemon(&[]).status.code(), Some(2));
}
