//! Guards against commands of the daemon that do not do, print or return what their help says.

use serde_json::Value;
use std::{
    path::PathBuf,
    process::{Command, Output},
};

fn daemon(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_geraniumroad")).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    path.to_string_lossy().into_owned()
}

#[test]
fn dev_once_checks_every_answer_and_ends_with_one_json_object() {
    let output = daemon(&["dev", "--once", "--seed", "3", "--json"]);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let report: Value = serde_json::from_str(text(&output.stdout).lines().last().unwrap()).unwrap();
    assert_eq!(report["whole"], report["answers"]);
    assert!(report["deaths"].as_u64().unwrap() > 0);
    for field in ["resume_p95_ms", "extra_tokens_pct"] {
        assert!(report[field].is_number(), "{field}");
    }
}

#[test]
fn check_accepts_the_examples_and_reports_every_mistake() {
    let good = daemon(&["check", "--settings", &example("alba/settings.toml")]);
    assert!(good.status.success());
    let file = std::env::temp_dir().join(format!("geraniumroad-check-{}.toml", std::process::id()));
    std::fs::write(&file, "[entry]\nlisten = 1\n[platform]\naddr = \"x\"\n").unwrap();
    let bad = daemon(&["check", "--settings", &file.to_string_lossy()]);
    std::fs::remove_file(&file).unwrap();
    assert!(!bad.status.success());
    let problems = text(&bad.stderr);
    for part in ["line 2: entry.listen", "entry.vm_id", "entry.domain", "line 4: platform.addr"] {
        assert!(problems.contains(part), "{part} is missing in {problems}");
    }
}

#[test]
fn help_and_version_are_everywhere() {
    for args in [&["--help"][..], &["run", "--help"], &["check", "--help"], &["dev", "--help"]] {
        let output = daemon(args);
        assert!(output.status.success());
        assert!(text(&output.stdout).contains("Usage:"));
    }
    assert!(text(&daemon(&["--version"]).stdout).starts_with("geraniumroad "));
    assert_eq!(daemon(&[]).status.code(), Some(2));
}
