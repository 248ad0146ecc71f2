//! The runners of a service are in need and name a limit. One of them does not reach the store for five seconds, so its
//! entry lapses and comes back.

use crate::bed::*;
use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Bound of the site, in seconds.
const CONTACT_S: f64 = 3.0;

/// Requests a second that a runner in need takes from all machines together.
const LIMIT: &str = "2";
const LIMIT_PER_S: f64 = 2.0;

/// How long a runner works on a request while it is in need, and before.
const NEEDY_WORK_MS: u64 = 400;
const WORK_MS: u64 = 15;

/// How long the runner does not reach the store.
const CUT_MS: u64 = 5_000;

/// Pause between two requests at each daemon: about 27 a second in each zone.
const PAUSES_MS: [u64; 6] = [110, 110, 110, 74, 74, 37];

struct Sent {
    id: String,
    daemon: usize,
    /// When the answer arrived.
    answered_at: f64,
    status: u16,
    names_limit: bool,
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let is_in_need = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for zone in ZONES {
        let is_in_need = Arc::clone(&is_in_need);
        let desk: Behaviour = Arc::new(move |_| match is_in_need.load(Ordering::SeqCst) {
            true => Act::ServeLimited { work_ms: NEEDY_WORK_MS, limit: LIMIT },
            false => Act::Serve(WORK_MS),
        });
        runners.push(Runner::start("desk", zone, &store, &record, &arrivals, desk));
    }
    let needy = Arc::clone(&runners[2]);
    let routes = [route("plate", "non_idempotent", 1_000, 100, 1, "desk")];
    store.put("op/config", &config(7, &routes, &["desk"]));
    let daemons: Vec<Daemon> = FRONT_ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| Daemon::start(&files, &format!("front-{zone}-{i}"), zone, store.addr))
        .collect();
    wait_until_ready(&daemons, &record);
    // The daemons list each other, and divide limits by their number.
    sleep_ms(8_000);
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = daemons
        .iter()
        .zip(PAUSES_MS)
        .enumerate()
        .map(|(i, (daemon, pause_ms))| {
            let (front, name) = (daemon.front, daemon.name.clone());
            let (record, is_over, sent) =
                (Arc::clone(&record), Arc::clone(&is_over), Arc::clone(&sent));
            thread::spawn(move || {
                let mut requests = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let (record, sent, name) =
                        (Arc::clone(&record), Arc::clone(&sent), name.clone());
                    requests.push(thread::spawn(move || {
                        let (at, id) = (record.now(), attempt_id());
                        let headers = "Deadline-Remaining: 1000\r\nCredential: key-of-kirk\r\n";
                        let answer = Wire::connect(front).and_then(|mut wire| {
                            exchange(&mut wire, "POST", "/plate/1", &id, headers, b"order")
                        });
                        let status = answer.as_ref().map_or(0, Message::status);
                        record
                            .note_at(at, &format!("client at {name} sends {id}, answer {status}"));
                        let names_limit =
                            answer.is_ok_and(|answer| answer.get("server-limit").is_some());
                        let answered_at = record.now();
                        let request = Sent { id, daemon: i, answered_at, status, names_limit };
                        sent.lock().unwrap().push(request);
                    }));
                    sleep_ms(pause_ms);
                }
                for request in requests {
                    let _ = request.join();
                }
            })
        })
        .collect();
    sleep_ms(1_000);
    is_in_need.store(true, Ordering::SeqCst);
    record.say(&format!("{:.3} the runners name Server-Limit: {LIMIT} from now on", record.now()));
    sleep_ms(8_000);
    if has_trouble() {
        needy.is_cut_off.store(true, Ordering::SeqCst);
        record.say(&format!("{:.3} runner {} does not reach the store", record.now(), needy.id));
    }
    sleep_ms(CUT_MS);
    if needy.is_cut_off.swap(false, Ordering::SeqCst) {
        record.say(&format!("{:.3} the runner reaches the store again", record.now()));
    }
    sleep_ms(10_000);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let arrivals = arrivals.lock().unwrap();
    let limited = |request: &&Sent| request.names_limit;
    let first_named = sent.iter().filter(limited).map(|r| r.answered_at).fold(f64::MAX, f64::min);
    // When each machine first passed on an answer that names the limit.
    let passed_on = |daemon: usize| {
        let answers = sent.iter().filter(limited).filter(|request| request.daemon == daemon);
        answers.map(|request| request.answered_at).fold(f64::MAX, f64::min)
    };
    let passed_on: Vec<f64> = (0..daemons.len()).map(passed_on).collect();
    let counted: Vec<&Arrival> = arrivals
        .iter()
        .filter(|a| a.runner == needy.id && a.at > first_named + CONTACT_S)
        .filter(|a| {
            let request = sent.iter().find(|request| request.id == a.id);
            request.is_some_and(|request| a.at > passed_on[request.daemon] + 0.5)
        })
        .collect();
    let in_window =
        |from: f64| counted.iter().filter(|a| a.at >= from && a.at < from + 4.0).count();
    let most = counted.iter().map(|a| in_window(a.at)).max().unwrap_or(0);
    let bound = (1.5 * LIMIT_PER_S * 4.0 + 5.0) as usize;
    let answered = sent.iter().filter(|request| request.status == 200).count();
    record.say(&format!("{} requests sent, {answered} answered 200", sent.len()));
    record.say(&format!(
        "most requests that reached the runner in 4 s, from machines that knew its limit: {most} ({bound} are allowed)"
    ));
    if answered == 0 || first_named == f64::MAX {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    most > bound
}
