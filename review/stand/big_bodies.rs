//! Clients of one tenant upload bodies within the config's limit at the same time. The platform's limit on the memory of
//! a process is played here: a process that exceeds it is killed.

use crate::bed::*;
use std::{
    io::Write,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Memory of a machine on the sheet, in kB.
const MEMORY_KB: u64 = 110 * 1024;

/// Size of a body. The config allows 4,194,304 bytes.
const BODY_BYTES: usize = 4_000_000;

/// Number of uploads at the same time.
const UPLOADS: usize = 30;

/// Number of clients with small requests on kept connections.
const SMALL_CLIENTS: usize = 30;

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    // A plate order takes 110 ms at most.
    for zone in ZONES {
        Runner::start("desk", zone, &store, &record, &arrivals, Arc::new(|_| Act::Serve(100)));
    }
    let routes = [
        route("plate", "non_idempotent", 1_000, 100, 1, "desk"),
        route("proof", "non_idempotent", 25_000, 4_500, 1, "desk"),
    ];
    store.put("op/config", &config(7, &routes, &["desk"]));
    let daemons: Vec<Daemon> =
        vec![Daemon::start(&files, "front-hafnarfjordur-0", ZONES[0], store.addr)];
    wait_until_ready(&daemons, &record);
    let front = daemons[0].front;
    let process = daemons[0].process();
    sleep_ms(1_000);
    let is_over = Arc::new(AtomicBool::new(false));
    // Small requests on kept connections: each client notes how many of its requests ended without an answer.
    let small: Vec<_> = (0..SMALL_CLIENTS)
        .map(|_| {
            let (record, is_over) = (Arc::clone(&record), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut ends: Vec<(String, u16, bool)> = Vec::new();
                let mut wire: Option<(Wire, bool)> = None;
                while !is_over.load(Ordering::SeqCst) {
                    let Some((mut open, is_kept)) =
                        wire.take().or_else(|| Wire::connect(front).ok().map(|open| (open, false)))
                    else {
                        sleep_ms(100);
                        continue;
                    };
                    let (at, id) = (record.now(), attempt_id());
                    let headers = "Deadline-Remaining: 1000\r\nCredential: key-of-dairy\r\n";
                    let answer = exchange(&mut open, "POST", "/plate/1", &id, headers, b"order");
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.note_at(
                        at,
                        &format!(
                            "client sends {id} POST /plate/1, kept={is_kept}, answer {status}"
                        ),
                    );
                    ends.push((id, status, is_kept));
                    if answer.is_ok_and(|answer| answer.get("connection").is_none()) {
                        wire = Some((open, true));
                    }
                    sleep_ms(20);
                }
                ends
            })
        })
        .collect();
    sleep_ms(3_000);
    let before = memory_kb(process);
    record.say(&format!("memory before the uploads: {} kB", before.map_or(0, |memory| memory.0)));
    // With TROUBLE=0 bodies of the same size come one after the other.
    let uploads: Vec<_> = (0..if has_trouble() { UPLOADS } else { 1 })
        .map(|_| {
            let (record, is_over) = (Arc::clone(&record), Arc::clone(&is_over));
            thread::spawn(move || {
                let body = vec![b'x'; BODY_BYTES];
                for _ in 0..if has_trouble() { 1 } else { UPLOADS / 4 } {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let (at, id) = (record.now(), attempt_id());
                    let status = upload(front, &id, &body).unwrap_or(0);
                    record.note_at(at, &format!("client sends {id} POST /proof/1 with {BODY_BYTES} bytes, answer {status}"));
                }
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(15);
    let (mut largest, mut killed_at) = (0, None);
    while Instant::now() < until {
        match memory_kb(process) {
            Some((resident, most)) => {
                largest = largest.max(most);
                if resident > MEMORY_KB && killed_at.is_none() {
                    killed_at = Some(record.now());
                    record.say(&format!("{:.3} the daemon uses {resident} kB, over {MEMORY_KB}: the platform kills it", record.now()));
                    daemons[0].kill();
                    break;
                }
            }
            None => break,
        }
        sleep_ms(2);
    }
    sleep_ms(1_500);
    is_over.store(true, Ordering::SeqCst);
    let ran_off = killed_at.is_none() && !daemons[0].is_running();
    let small: Vec<_> = small.into_iter().map(|client| client.join().unwrap_or_default()).collect();
    for upload in uploads {
        let _ = upload.join();
    }
    let arrivals = arrivals.lock().unwrap();
    let (mut answered, mut cut) = (0, 0);
    for client in small {
        for (id, status, is_kept) in client {
            answered += usize::from(status == 200);
            let was_passed_on = arrivals.iter().any(|a| a.ran && a.id == id);
            if status == 0 && is_kept && was_passed_on {
                cut += 1;
                record.note(&format!("LOST: {id} on a kept connection was passed on, and its connection ended without an answer"));
            }
        }
    }
    record.say(&format!(
        "largest memory of the daemon: {largest} kB; {answered} small requests answered 200"
    ));
    record.say(&format!("requests from kept connections that were passed on and lost their connection without an answer: {cut} (three are allowed)"));
    if answered == 0 || ran_off {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    cut > 3
}

/// Uploads a body in pieces, in about a second and a half.
fn upload(front: std::net::SocketAddr, id: &str, body: &[u8]) -> std::io::Result<u16> {
    let mut wire = Wire::connect(front)?;
    wire.write(&format!(
        "POST /proof/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Attempt-Id: {id}\r\nDeadline-Remaining: 25000\r\nCredential: key-of-kirk\r\nContent-Length: {}\r\n\r\n",
        body.len()
    ))?;
    for piece in body.chunks(100_000) {
        wire.stream.write_all(piece)?;
        sleep_ms(37);
    }
    Ok(wire.read()?.status())
}
