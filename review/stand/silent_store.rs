//! Connections to the store go silent, and a change of the config is acknowledged at the same time.

use crate::bed::*;
use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// Bounds of the site, in seconds.
const CONTACT_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.0;

/// Pause between two requests of one client.
const PAUSE_MS: u64 = 40;

struct Sent {
    at: f64,
    daemon: String,
    key: &'static str,
    id: String,
    status: u16,
}

/// Keys of the clients. The second one is taken away.
const KEYS: [&str; 2] = ["key-of-kirk", "key-of-dairy"];

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let proxy = Proxy::start(store.addr);
    let arrivals = Arc::default();
    let serve: Behaviour = Arc::new(|_| Act::Serve(15));
    for service in ["desk-old", "desk-new"] {
        for zone in ZONES {
            Runner::start(service, zone, &store, &record, &arrivals, Arc::clone(&serve));
        }
    }
    let routes = |service: &str| [route("free", "idempotent", 1_000, 100, 2, service)];
    store.put("op/config", &config(7, &routes("desk-old"), &["desk-old", "desk-new"]));
    let daemons: Vec<Daemon> = FRONT_ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| Daemon::start(&files, &format!("front-{zone}-{i}"), zone, proxy.addr))
        .collect();
    wait_until_ready(&daemons, &record);
    sleep_ms(3_000);
    let (sent, is_over) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = daemons
        .iter()
        .map(|daemon| {
            let (front, name) = (daemon.front, daemon.name.clone());
            let (record, sent, is_over) =
                (Arc::clone(&record), Arc::clone(&sent), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut wire = None;
                for key in KEYS.into_iter().cycle() {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let mut open = match wire.take().map_or_else(|| Wire::connect(front), Ok) {
                        Ok(open) => open,
                        Err(_) => continue,
                    };
                    let (at, id) = (record.now(), attempt_id());
                    let headers = format!("Deadline-Remaining: 1000\r\nCredential: {key}\r\n");
                    let answer = exchange(&mut open, "GET", "/free/1", &id, &headers, b"");
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.note_at(
                        at,
                        &format!("client at {name} with {key} sends {id}, answer {status}"),
                    );
                    let request = Sent { at, daemon: name.clone(), key, id, status };
                    sent.lock().unwrap().push(request);
                    if answer.is_ok_and(|answer| answer.get("connection").is_none()) {
                        wire = Some(open);
                    }
                    sleep_ms(PAUSE_MS);
                }
            })
        })
        .collect();
    sleep_ms(6_000);
    let silenced_at = record.now();
    if has_trouble() {
        proxy.silence_open();
        record.say(&format!(
            "{silenced_at:.3} the open connections to the store go silent, new ones work"
        ));
    }
    sleep_ms(100);
    let changed = config(9, &routes("desk-new"), &["desk-old", "desk-new"]);
    store.put("op/config", &changed.replace(&format!("\"{}\"", KEYS[1]), ""));
    let acked_at = record.now();
    record.say(&format!(
        "{acked_at:.3} the store acknowledges version 9: the route goes to desk-new, {} is taken away",
        KEYS[1]
    ));
    sleep_ms(9_000);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let all_run = daemons.iter().all(Daemon::is_running);
    let arrivals: Vec<Arrival> = std::mem::take(&mut *arrivals.lock().unwrap());
    let sent = sent.lock().unwrap();
    // The machines are in touch again `contact_ms` after the connections went silent.
    let from =
        (acked_at + CONFIG_APPLY_S).max(if has_trouble() { silenced_at + CONTACT_S } else { 0.0 });
    let run_by =
        |sent: &Sent| arrivals.iter().find(|a| a.ran && a.id == sent.id).map(|a| &*a.service);
    let late = || sent.iter().filter(|sent| sent.at > from);
    let by_old: Vec<&Sent> = late().filter(|sent| run_by(sent) == Some("desk-old")).collect();
    let with_key: Vec<&Sent> =
        late().filter(|sent| sent.key == KEYS[1] && run_by(sent).is_some()).collect();
    let answered = sent.iter().filter(|sent| sent.status == 200).count();
    let refused = sent.iter().filter(|sent| sent.status == 401).count();
    record.say(&format!(
        "{} requests sent, {answered} answered 200, {refused} answered 401",
        sent.len()
    ));
    for (stale, what) in
        [(&by_old, "run by the old service"), (&with_key, "run with the key taken away")]
    {
        for sent in stale {
            record.note(&format!(
                "CONFIG: {} at {} sent {:.3} s after the ack ({:.3} s after the silence) was {what}",
                sent.id,
                sent.daemon,
                sent.at - acked_at,
                sent.at - silenced_at
            ));
        }
        let last = stale.iter().map(|sent| sent.at - acked_at).fold(0.0, f64::max);
        record.say(&format!(
            "requests sent by machines in touch over 2 s after the ack and {what}: {}; the last one {last:.3} s after it",
            stale.len()
        ));
    }
    if !all_run || (answered + refused) * 10 < sent.len() * 9 {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    !by_old.is_empty() || !with_key.is_empty()
}
