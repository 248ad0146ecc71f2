//! Guards against a check of the settings file that reports only one problem at a time or overlooks one.

use conf::{LogFormat, Problems, RecoveryPolicy, RecoverySettings, Settings};

/// Settings without problems, with the optional section `[peer]`.
const VALID: &str = r#"
[entry]
vm_id = "entry-1"
domain = "lothian"
listen = "127.0.0.1:8080"

[platform]
addr = "127.0.0.1:9000"

[log]
format = "json"
parts = { recovery = "debug" }

[peer]
listen = "127.0.0.1:8081"
"#;

#[test]
fn a_valid_file_gives_its_values_and_the_defaults() {
    let settings = Settings::try_from(VALID).unwrap();
    assert_eq!(settings.entry.domain.as_str(), "lothian");
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.log.component_levels, [("recovery".to_owned(), log::LevelFilter::Debug)]);
    assert_eq!(settings.platform.timeout_ms, 1_000);
    assert_eq!(settings.peer.unwrap().ping_interval_ms, 1_000);
}

#[test]
fn every_problem_is_reported_with_key_and_line() {
    let text = "[entry]\nvm_id = \"a b\"\nlisten = 8080\nport = 1\n[platform]\n\
                addr = \"127.0.0.1:9\"\ntimeout_ms = 0\n[log]\nlevel = \"loud\"\nparts = { entry = 1 }\n[extra]\n";
    let Problems(problems) = Settings::try_from(text).unwrap_err();
    let found: Vec<(usize, &str)> =
        problems.iter().map(|problem| (problem.line, problem.key.as_str())).collect();
    assert_eq!(
        found,
        [
            (1, "entry.domain"),
            (2, "entry.vm_id"),
            (3, "entry.listen"),
            (4, "entry.port"),
            (7, "platform.timeout_ms"),
            (9, "log.level"),
            (10, "log.parts.entry"),
            (11, "extra"),
        ]
    );
    assert!(problems.iter().all(|problem| !problem.allowed.is_empty()));
}

#[test]
fn the_recovery_section_gives_its_values_or_problems() {
    let valid = format!("{VALID}\n[recovery]\npolicy = \"restart\"\nsilence_factor = 12\n");
    let expected = RecoverySettings {
        policy: RecoveryPolicy::Restart,
        silence_factor: 12,
        ..RecoverySettings::default()
    };
    assert_eq!(Settings::try_from(valid.as_str()).unwrap().recovery, expected);
    let invalid = format!("{VALID}\n[recovery]\npolicy = \"none\"\nburst = 0\n");
    let Problems(problems) = Settings::try_from(invalid.as_str()).unwrap_err();
    let keys: Vec<&str> = problems.iter().map(|problem| problem.key.as_str()).collect();
    assert_eq!(keys, ["recovery.policy", "recovery.burst"]);
}

#[test]
fn a_syntax_error_is_reported_with_its_line() {
    let Problems(problems) = Settings::try_from("[entry]\nvm_id = \n").unwrap_err();
    assert!(problems.iter().any(|problem| problem.line == 2 && problem.key.is_empty()));
}

#[test]
fn the_admin_section_is_optional_and_rejects_an_invalid_hash() {
    assert_eq!(Settings::try_from(VALID).unwrap().admin, None);
    let hash = "0123456789abcdef".repeat(4);
    let valid = format!("{VALID}\n[admin]\nbootstrap_key_hash = \"{hash}\"\n");
    let admin = Settings::try_from(valid.as_str()).unwrap().admin.unwrap();
    assert_eq!(admin.bootstrap_key_hash.unwrap().as_str(), hash);
    // A key in place of its hash would put a secret into the file, so it must be rejected.
    let invalid = format!("{VALID}\n[admin]\nbootstrap_key_hash = \"first-key\"\n");
    let Problems(problems) = Settings::try_from(invalid.as_str()).unwrap_err();
    assert_eq!(problems[0].key, "admin.bootstrap_key_hash");
    assert!(problems[0].allowed.contains("64"));
}

#[test]
fn the_peer_section_is_optional_but_must_be_complete() {
    let (without_peers, _) = VALID.split_once("[peer]").unwrap();
    assert_eq!(Settings::try_from(without_peers).unwrap().peer, None);
    let text = format!("{without_peers}[peer]\ntimeout_ms = 1\n");
    let Problems(problems) = Settings::try_from(text.as_str()).unwrap_err();
    let found: Vec<&str> = problems.iter().map(|problem| problem.key.as_str()).collect();
    assert_eq!(found, ["peer.listen", "peer.timeout_ms"]);
}
