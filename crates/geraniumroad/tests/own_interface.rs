//! Guards against callers and operators that make a daemon with the product's own interface outgrow the descriptors of its VM,
//! or keep it from stopping.
//!
//! The numbers of callers and the bounds were fixed on the code before the limits.

mod common;

use common::{DaemonProcess, FILE_DESCRIPTORS, MEMORY_MB, Sending, SilentCallers, Usage};
use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Time for which callers send, in which the usage is observed.
const ATTACK: Duration = Duration::from_millis(2_500);

/// Key of the client account.
const KEY: &str = "test-key";

/// The tests run one at a time, because each one observes a process under load.
static ALONE: Mutex<()> = Mutex::new(());

fn limits() -> String {
    format!("[limits]\nmemory_mb = {MEMORY_MB}\nfile_descriptors = {FILE_DESCRIPTORS}\n")
}

fn check(peak: Usage) {
    println!("peak={peak:?}");
    assert!(peak.memory_bytes <= MEMORY_MB * 1024 * 1024, "{peak:?}");
    // 200 of the descriptors are for files.
    assert!(peak.descriptors <= FILE_DESCRIPTORS - 200, "{peak:?}");
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\r\n")
}

/// Callers that do not read, or slowly, must not keep a planned stop from ending. The stop has `entry.shutdown_wait_ms`,
/// which is 1,000 ms, and the margin of `DaemonProcess::stop`.
#[test]
fn a_stop_beside_callers_that_do_not_read() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut daemon = DaemonProcess::run(&limits(), FILE_DESCRIPTORS);
    let sending = Sending::Repeated(get("/metrics"), 400_000);
    let _silent = SilentCallers::start(daemon.addr, 50, sending.clone());
    let _slow = SilentCallers::start_reading(daemon.addr, 50, sending, 16);
    check(daemon.peak_usage(ATTACK));
    assert!(daemon.stop().success());
}

/// Like the stop beside callers, at the port for operators.
#[test]
fn a_stop_beside_operators_that_do_not_read() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let sections = format!("{}[admin]\nlisten = \"127.0.0.1:0\"\n", limits());
    let mut daemon = DaemonProcess::run(&sections, FILE_DESCRIPTORS);
    let sending = Sending::Repeated(get("/admin/v1/status"), 400_000);
    let _silent = SilentCallers::start(daemon.internal_addrs[0], 20, sending);
    check(daemon.peak_usage(ATTACK));
    assert!(daemon.stop().success());
}

/// Connections to the port for operators are within the limits of the daemon's connections, and do not take the
/// descriptors of the callers.
#[test]
fn many_connections_at_the_port_for_operators() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let sections = format!("{}[admin]\nlisten = \"127.0.0.1:0\"\n", limits());
    let daemon = DaemonProcess::run(&sections, FILE_DESCRIPTORS);
    let [admin] = daemon.internal_addrs[..] else { panic!("one internal port") };
    let status = get("/admin/v1/status");
    let callers = SilentCallers::start(admin, 600, Sending::Once(status.clone()));
    let peak = daemon.peak_usage(ATTACK);
    check(peak);
    // The operator's key is not known, which is an answer of the server.
    let answer = DaemonProcess::ask_at(admin, &status).unwrap_or_default();
    assert!(answer.starts_with("HTTP/1.1 401 "), "{answer}");
    assert!(daemon.ask(&get("/healthz")).is_some_and(|answer| answer.starts_with("HTTP/1.1 200 ")));
    drop(callers);
}
