//! Another writer leaves entries of a service that the config does not name, at the addresses of live runners.

use crate::bed::*;
use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let start = |zone| {
        Runner::start("desk", zone, &store, &record, &arrivals, Arc::new(|_| Act::Serve(15)))
    };
    let runners = ZONES.map(start);
    let routes = [route("free", "idempotent", 1_000, 100, 2, "desk")];
    store.put("op/config", &config(7, &routes, &["desk"]));
    let daemons: Vec<Daemon> = FRONT_ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| Daemon::start(&files, &format!("front-{zone}-{i}"), zone, store.addr))
        .collect();
    wait_until_ready(&daemons, &record);
    sleep_ms(2_000);
    if has_trouble() {
        for (i, runner) in runners.iter().enumerate() {
            let entry = format!(
                r#"{{"service":"not-named","address":"{}","zone":"{}","version":"v1","slots":12,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
                runner.addr,
                ZONES[i],
                unix_ms()
            );
            store.put(&format!("servers/x-{i}"), &entry);
        }
        record.say(&format!("{:.3} another writer leaves three entries", record.now()));
        sleep_ms(1_000);
    }
    let (mut sent, mut served) = (0, 0);
    let ask = |front| {
        let (at, id) = (record.now(), attempt_id());
        let headers = "Deadline-Remaining: 1000\r\nCredential: key-of-kirk\r\n";
        let answer = Wire::connect(front)
            .and_then(|mut wire| exchange(&mut wire, "GET", "/free/1", &id, headers, b""));
        let status = answer.map_or(0, |answer| answer.status());
        record.note_at(at, &format!("client sends {id}, answer {status}"));
        status == 200
    };
    for round in 0..600 {
        sent += 1;
        served += usize::from(ask(daemons[round % daemons.len()].front));
        thread::sleep(Duration::from_millis(50));
        if round == 300 {
            (0..ZONES.len()).for_each(|i| store.remove(&format!("servers/x-{i}")));
            record.say(&format!("{:.3} the three entries are removed", record.now()));
        }
    }
    record.say(&format!("{served} of {sent} requests were served"));
    served == 0
}
