//! Runs a short soak with a fixed seed. A seed with which a soak has reported a violation gets a test here.

use soak::{Cli, FaultClass};
use std::path::PathBuf;

/// Returns the path of the daemon's program, which the build of the workspace puts beside the directory of the tests.
fn program() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.parent().unwrap().with_file_name("geraniumroad")
}

/// Guards against lost, repeated or wrongly reported requests while daemons, engines and the store fail at random.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_short_soak_reports_no_violations() {
    let cli = Cli { seed: 1, minutes: 2.0, daemons: 3, clients: 8, program: Some(program()) };
    let report = soak::run(&cli).await.unwrap();
    assert!(report.violations.is_empty(), "{}\n{}", report.summary(), report.violations.join("\n"));
    let missing = FaultClass::ALL.iter().filter(|class| !report.faults.contains_key(class));
    assert_eq!(
        missing.collect::<Vec<_>>(),
        Vec::<&FaultClass>::new(),
        "classes that did not occur"
    );
    assert!(report.abandoned > 0, "{}", report.summary());
    assert!(report.whole_streams > 0 && report.answered_calls > 0, "{}", report.summary());
}
