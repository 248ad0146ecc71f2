//! A request crashes each engine that begins to run it, and comes again with the same path, caller and body. The last
//! part of its prompt, which belongs to the request itself, is another one each time. Sound requests come all the while.

use crate::bed::*;
use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
};

const CONTACT_S: f64 = 3.0;

/// Engines in each zone.
const ENGINES: usize = 4;

/// Longest time that the case lasts after the daemons are ready.
const LENGTH_S: f64 = 60.0;

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let trouble = has_trouble();
    let engine: Behaviour = Arc::new(move |request| {
        match request.body.starts_with(b"brief for the dairy") && trouble {
            true => Act::Crash(2_500),
            false => Act::Stream { first_ms: 100, events: 20, pause_ms: 20 },
        }
    });
    let mut engines = Vec::new();
    for zone in ZONES {
        for _ in 0..ENGINES {
            engines.push(Runner::start(
                "models",
                zone,
                &store,
                &record,
                &arrivals,
                Arc::clone(&engine),
            ));
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
    let send = move |record: &Record, key: &str, body: &[u8]| {
        let front = fronts[(unique() >> 33) as usize % fronts.len()];
        let (at, id) = (record.now(), attempt_id());
        let headers = format!(
            "Deadline-Remaining: 25000\r\nCredential: {key}\r\nModel: m\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:200,{:08x}:1260\r\n",
            unique() >> 32
        );
        let answer = Wire::connect(front)
            .and_then(|mut wire| exchange(&mut wire, "POST", "/brief/1", &id, &headers, body));
        let (status, is_whole) =
            answer.map_or((0, false), |answer| (answer.status(), answer.is_whole));
        record.note_at(
            at,
            &format!(
                "client with {key} sends {id} POST /brief/1, answer {status}, whole={is_whole}"
            ),
        );
        status == 200 && is_whole
    };
    let send = Arc::new(send);
    let is_over = Arc::new(AtomicBool::new(false));
    let (sound, whole) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (record, send, is_over) =
                (Arc::clone(&record), Arc::clone(&send), Arc::clone(&is_over));
            let (sound, whole) = (Arc::clone(&sound), Arc::clone(&whole));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let body = format!("brief {:x}", unique());
                    sound.fetch_add(1, Ordering::SeqCst);
                    whole.fetch_add(
                        usize::from(send(&record, "key-of-kirk", body.as_bytes())),
                        Ordering::SeqCst,
                    );
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
        served += usize::from(send(&record, "key-of-dairy", b"brief for the dairy"));
        sleep_ms(2_000);
        if trouble && late_arrivals(&arrivals.lock().unwrap(), CONTACT_S).len() > 12 {
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
    let late = if trouble { late_arrivals(&arrivals, CONTACT_S) } else { Vec::new() };
    let (sound, whole) = (sound.load(Ordering::SeqCst), whole.load(Ordering::SeqCst));
    record.say(&format!(
        "the request was sent {sent} times and answered whole {served} times; {crashes} crashes; {whole} of {sound} sound requests answered whole"
    ));
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
    if whole == 0 || (!trouble && served < sent) || (trouble && crashes < 3) {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    late.len() > 3
}

/// Arrivals of the crashing request later than `contact_s` after the third crash. Each arrival that ran is a crash.
fn late_arrivals(arrivals: &[Arrival], contact_s: f64) -> Vec<Arrival> {
    let poison: Vec<&Arrival> =
        arrivals.iter().filter(|arrival| arrival.ran && arrival.has_crashed).collect();
    let Some(third) = poison.get(2) else { return Vec::new() };
    poison
        .iter()
        .filter(|arrival| arrival.at > third.at + contact_s)
        .map(|arrival| (*arrival).clone())
        .collect()
}
