//! A request crashes each runner that begins to run it, at a service that gets no other requests meanwhile.

use crate::bed::*;
use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
};

const CONTACT_S: f64 = 3.0;

/// Longest time that the case lasts after the daemons are ready.
const LENGTH_S: f64 = 95.0;

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let trouble = has_trouble();
    let desk: Behaviour =
        Arc::new(move |request| match request.body.starts_with(b"toll for") && trouble {
            true => Act::Crash(2_500),
            false => Act::Serve(15),
        });
    let mut desk_runners = Vec::new();
    for zone in ZONES {
        desk_runners.push(Runner::start(
            "desk",
            zone,
            &store,
            &record,
            &arrivals,
            Arc::clone(&desk),
        ));
        Runner::start("status", zone, &store, &record, &arrivals, Arc::new(|_| Act::Serve(15)));
    }
    let routes = [
        route("book", "non_idempotent", 1_000, 100, 1, "desk"),
        route("status", "idempotent", 1_000, 100, 2, "status"),
    ];
    store.put("op/config", &config(7, &routes, &["desk", "status"]));
    let daemons: Vec<Daemon> = FRONT_ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| Daemon::start(&files, &format!("front-{zone}-{i}"), zone, store.addr))
        .collect();
    wait_until_ready(&daemons, &record);
    // The daemons list each other.
    sleep_ms(6_000);
    let started = record.now();
    let mut served = 0;
    let mut sound = 0;
    let mut sent = 0;
    while record.now() < started + LENGTH_S {
        let front = daemons[(unique() >> 33) as usize % daemons.len()].front;
        let status = |path: &str, body: &[u8]| {
            let (at, id) = (record.now(), attempt_id());
            let method = if body.is_empty() { "GET" } else { "POST" };
            let headers = "Deadline-Remaining: 1000\r\nCredential: key-of-kirk\r\n";
            let answer = Wire::connect(front)
                .and_then(|mut wire| exchange(&mut wire, method, path, &id, headers, body));
            let status = answer.map_or(0, |answer| answer.status());
            record.note_at(at, &format!("client sends {id} {method} {path}, answer {status}"));
            status
        };
        // The same request comes again and again, with the same path, caller and body.
        sent += 1;
        served += usize::from(status("/book/bells", b"toll for the kirk") == 200);
        // The other service has its usual traffic.
        for _ in 0..5 {
            sound += usize::from(status("/status/7", b"") == 200);
            thread::sleep(std::time::Duration::from_millis(180));
        }
        let late = late_arrivals(&arrivals.lock().unwrap(), &desk_runners, CONTACT_S).len();
        if trouble && late > 6 {
            break;
        }
    }
    let crashes: u64 = desk_runners
        .iter()
        .map(|runner| runner.crashes.load(std::sync::atomic::Ordering::SeqCst))
        .sum();
    let arrivals = arrivals.lock().unwrap();
    record.say(&format!(
        "the request was sent {sent} times and answered 200 {served} times; {crashes} crashes; {sound} requests to the other service answered 200"
    ));
    let late = match trouble {
        true => late_arrivals(&arrivals, &desk_runners, CONTACT_S),
        false => Vec::new(),
    };
    for arrival in &late {
        record.note(&format!(
            "BUDGET: {} reached {} at {:.3}",
            arrival.id, arrival.runner, arrival.at
        ));
    }
    record.say(&format!(
        "retries that reached runners later than 3 s after the third crash: {} (three are allowed)",
        late.len()
    ));
    if sound == 0 || (!trouble && served < sent) || (trouble && crashes < 3) {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    late.len() > 3
}

/// Arrivals of the crashing request at runners later than `contact_s` after the third crash. Each of them ran, and each
/// run is a crash.
fn late_arrivals(arrivals: &[Arrival], runners: &[Arc<Runner>], contact_s: f64) -> Vec<Arrival> {
    let is_desk = |arrival: &&Arrival| runners.iter().any(|runner| runner.id == arrival.runner);
    let poison: Vec<&Arrival> =
        arrivals.iter().filter(is_desk).filter(|arrival| arrival.has_crashed).collect();
    let Some(third) = poison.get(2) else { return Vec::new() };
    let late = poison.iter().filter(|arrival| arrival.at > third.at + contact_s);
    late.map(|arrival| (*arrival).clone()).collect()
}
