//! One part of a prompt crashes each engine that begins to write an answer on it. It is the ninth of ten parts.

use crate::bed::*;
use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

/// Bound of the site, in seconds.
const CONTACT_S: f64 = 3.0;

/// Engines in each zone.
const ENGINES: usize = 4;

/// Longest time for which requests with the part come.
const LENGTH_S: f64 = 60.0;

/// The part that crashes engines.
const BAD_PART: &str = "bad0c0de";

/// Parts that the sound requests share with those that have the bad one.
const SOUND_PARTS: &str = "5c1e07a2:200,91bd3f06:150,1f00aa01:150,1f00aa02:150,1f00aa03:150,1f00aa04:150,1f00aa05:150,1f00aa06:150";

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
        status == 200 && is_whole
    };
    let send = Arc::new(send);
    let is_over = Arc::new(AtomicBool::new(false));
    let (sound, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (record, send) = (Arc::clone(&record), Arc::clone(&send));
            let is_over = Arc::clone(&is_over);
            let (sound, whole) = (Arc::clone(&sound), Arc::clone(&whole));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let part = format!("{:08x}", unique() >> 32);
                    sound.fetch_add(1, Ordering::SeqCst);
                    whole.fetch_add(usize::from(send(&record, &part)), Ordering::SeqCst);
                    sleep_ms(200);
                }
            })
        })
        .collect();
    sleep_ms(2_000);
    let started = record.now();
    let (mut sent, mut served) = (0, 0);
    while record.now() < started + LENGTH_S {
        sent += 1;
        served += usize::from(send(&record, BAD_PART));
        sleep_ms(2_000);
        if trouble && client_count(&late_arrivals(&arrivals.lock().unwrap())) > 6 {
            break;
        }
        if !trouble && sent > 8 {
            break;
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let crashes: u64 = engines.iter().map(|engine| engine.crashes.load(Ordering::SeqCst)).sum();
    let arrivals = arrivals.lock().unwrap();
    let late = if trouble { late_arrivals(&arrivals) } else { Vec::new() };
    let (sound, whole) = (sound.load(Ordering::SeqCst), whole.load(Ordering::SeqCst));
    record.say(&format!(
        "{sent} requests had the part, {served} were answered whole; {crashes} crashes; {whole} of {sound} sound requests answered whole"
    ));
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
    if whole == 0 || (!trouble && served < sent) || (trouble && crashes < 3) {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    late_clients > 3
}

/// Arrivals of requests with the part later than `CONTACT_S` after the fifth crash. Each arrival that ran is a crash.
fn late_arrivals(arrivals: &[Arrival]) -> Vec<Arrival> {
    let bad: Vec<&Arrival> =
        arrivals.iter().filter(|arrival| arrival.ran && arrival.has_crashed).collect();
    let Some(fifth) = bad.get(4) else { return Vec::new() };
    // The engine crashes 130 ms after the arrival.
    let bound = fifth.at + 0.13 + CONTACT_S;
    bad.iter().filter(|arrival| arrival.at > bound).map(|arrival| (*arrival).clone()).collect()
}

/// Number of requests of clients among the arrivals; their repeats by daemons are left out.
fn client_count(arrivals: &[Arrival]) -> usize {
    let ids: std::collections::HashSet<&str> =
        arrivals.iter().map(|arrival| &*arrival.id).collect();
    ids.len()
}
