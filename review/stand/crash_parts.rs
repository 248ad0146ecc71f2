//! One part of a prompt crashes each engine that begins to write an answer on it. It is the ninth of ten parts.

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

/// Engines in each zone.
const ENGINES: usize = 4;

/// How long requests with the part come, in seconds, and the pause between two of them.
const LENGTH_S: f64 = 40.0;
const BAD_PAUSE_MS: u64 = 1_000;

/// The part that crashes engines.
const BAD_PART: &str = "bad0c0de";

/// Parts that the sound requests share with those that have the bad one.
const SOUND_PARTS: &str = "5c1e07a2:200,91bd3f06:150,1f00aa01:150,1f00aa02:150,1f00aa03:150,1f00aa04:150,1f00aa05:150,1f00aa06:150";

/// How a request ended.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Outcome {
    Whole,
    /// The stream began and was cut off.
    Cut,
    /// No stream began.
    Refused,
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let trouble = has_trouble();
    let has_part = |request: &Message| {
        request.get("prompt-prefix").is_some_and(|parts| parts.contains(BAD_PART))
    };
    let engine: Behaviour = Arc::new(move |request| match has_part(request) && trouble {
        true => Act::CrashInAnswer { head_ms: 100, crash_ms: 30, down_ms: 2_500 },
        false => Act::Stream { first_ms: 100, events: 20, pause_ms: 20 },
    });
    let mut engines = Vec::new();
    for zone in ZONES {
        for _ in 0..ENGINES {
            let engine = Arc::clone(&engine);
            engines.push(Runner::start("models", zone, &store, &record, &arrivals, engine));
        }
    }
    let routes = [stream_route("brief", 25_000, 4_500, 5, "models")];
    store.put("op/config", &config_with_engines(7, &routes, "models"));
    let daemons: Vec<Daemon> = FRONT_ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| Daemon::start(&files, &format!("front-{zone}-{i}"), zone, store.addr))
        .collect();
    wait_until_ready(&daemons, &record);
    // The daemons list each other.
    sleep_ms(6_000);
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let send = move |record: &Record, ninth_part: &str| {
        let front = fronts[(unique() >> 33) as usize % fronts.len()];
        let (at, id) = (record.now(), attempt_id());
        let headers = format!(
            "Deadline-Remaining: 25000\r\nCredential: key-of-kirk\r\nModel: m\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: {SOUND_PARTS},{ninth_part}:50,{:08x}:60\r\n",
            unique() >> 32
        );
        // No two requests are alike.
        let body = format!("brief {:x}", unique());
        let answer = Wire::connect(front).and_then(|mut wire| {
            exchange(&mut wire, "POST", "/brief/1", &id, &headers, body.as_bytes())
        });
        let (status, is_whole) =
            answer.map_or((0, false), |answer| (answer.status(), answer.is_whole));
        record.note_at(
            at,
            &format!(
                "client sends {id} with the part {ninth_part}, answer {status}, whole={is_whole}"
            ),
        );
        match (status, is_whole) {
            (200, true) => Outcome::Whole,
            (200, false) => Outcome::Cut,
            _ => Outcome::Refused,
        }
    };
    let send = Arc::new(send);
    let is_over = Arc::new(AtomicBool::new(false));
    // When each sound request was sent, and whether its stream began and was whole.
    let sound: Arc<Mutex<Vec<(f64, Outcome)>>> = Arc::default();
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (record, send) = (Arc::clone(&record), Arc::clone(&send));
            let (is_over, sound) = (Arc::clone(&is_over), Arc::clone(&sound));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let part = format!("{:08x}", unique() >> 32);
                    let at = record.now();
                    let outcome = send(&record, &part);
                    sound.lock().unwrap().push((at, outcome));
                    sleep_ms(200);
                }
            })
        })
        .collect();
    sleep_ms(6_000);
    let started = record.now();
    record.note("requests with the part come from now on");
    let mut requests = Vec::new();
    while record.now() < started + LENGTH_S {
        let (record, send) = (Arc::clone(&record), Arc::clone(&send));
        requests.push(thread::spawn(move || send(&record, BAD_PART)));
        sleep_ms(BAD_PAUSE_MS);
    }
    let sent = requests.len();
    let served = requests.into_iter().filter_map(|request| request.join().ok());
    let served = served.filter(|outcome| *outcome == Outcome::Whole).count();
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let crashes: u64 = engines.iter().map(|engine| engine.crashes.load(Ordering::SeqCst)).sum();
    let arrivals = arrivals.lock().unwrap();
    let late = if trouble { late_arrivals(&arrivals) } else { Vec::new() };
    let sound = sound.lock().unwrap();
    let share = |from: f64, until: f64| {
        let sent = sound.iter().filter(|(at, _)| *at >= from && *at < until);
        let outcomes: Vec<Outcome> = sent.map(|(_, outcome)| *outcome).collect();
        let count = |wanted: &[Outcome]| outcomes.iter().filter(|o| wanted.contains(o)).count();
        let begun = count(&[Outcome::Whole, Outcome::Cut]);
        (outcomes.len(), begun, count(&[Outcome::Cut]))
    };
    let before = share(0.0, started - 1.0);
    let fifth_at = fifth_crash(&arrivals).unwrap_or(started);
    let during = share(fifth_at + 2.0 * CONTACT_S, f64::MAX);
    record.say(&format!(
        "{sent} requests had the part, {served} were answered whole; {crashes} crashes of engines"
    ));
    for (what, (sent, begun, cut)) in
        [("before", before), ("from 6 s after the fifth crash on", during)]
    {
        record.say(&format!(
            "sound requests {what}: {sent} sent, {begun} begun at the first attempt, {cut} of these cut off"
        ));
    }
    for arrival in &late {
        record.note(&format!(
            "BUDGET: {} reached {} at {:.3}",
            arrival.id, arrival.runner, arrival.at
        ));
    }
    let late_clients = client_count(&late);
    record.say(&format!(
        "requests with the part that reached runners later than 3 s after the fifth crash: {} ({late_clients} as clients count them; three are allowed)",
        late.len()
    ));
    if before.1 < 20 || (!trouble && served < sent) || (trouble && crashes < 5) {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    late_clients > 3
}

/// When the fifth crash was, in seconds. Each arrival that ran is a crash, 130 ms later.
fn fifth_crash(arrivals: &[Arrival]) -> Option<f64> {
    let mut crashes = arrivals.iter().filter(|arrival| arrival.ran && arrival.has_crashed);
    Some(crashes.nth(4)?.at + 0.13)
}

/// Arrivals of requests with the part later than `CONTACT_S` after the fifth crash.
fn late_arrivals(arrivals: &[Arrival]) -> Vec<Arrival> {
    let Some(fifth_at) = fifth_crash(arrivals) else { return Vec::new() };
    let bad = arrivals.iter().filter(|arrival| arrival.ran && arrival.has_crashed);
    bad.filter(|arrival| arrival.at > fifth_at + CONTACT_S).cloned().collect()
}

/// Number of requests of clients among the arrivals; their repeats by daemons are left out.
fn client_count(arrivals: &[Arrival]) -> usize {
    let ids: std::collections::HashSet<&str> =
        arrivals.iter().map(|arrival| &*arrival.id).collect();
    ids.len()
}
