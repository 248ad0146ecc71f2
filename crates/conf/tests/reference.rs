//! Guards against a settings reference or example settings that no longer match the code.

use conf::Settings;
use std::{collections::BTreeSet, fs::read_to_string, path::PathBuf};

/// Returns the root folder of the repository.
fn repository() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[test]
fn the_reference_lists_all_known_keys_and_no_others() {
    let page = read_to_string(repository().join("docs/settings.md")).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: BTreeSet<String> =
        rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect();
    let known: BTreeSet<String> = Settings::keys().into_iter().collect();
    assert_eq!(documented, known);
}

#[test]
fn the_examples_are_valid() {
    for deployment in ["alba", "is-sudvestur"] {
        let path = repository().join("examples").join(deployment).join("settings.toml");
        let text = read_to_string(path).unwrap();
        Settings::try_from(text.as_str()).unwrap();
    }
}
