//! An entry of another writer, with a field missing: what reaches the runner that it seems to name.

mod stand;

use stand::*;
use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

/// Time for which the other writer writes its entry, and the time between two writes.
const FOREIGN_MS: u64 = 8_000;
const FOREIGN_GAP_MS: u64 = 1_000;

fn main() {
    let out = PathBuf::from(std::env::args().nth(1).expect("the path of the record is given"));
    let trouble = has_trouble();
    let (record, seen, folder, store) =
        (Record::new(), Seen::default(), Folder::new(), Store::start());
    store.put("op/config", &config(&[stream_route("label", true), call_route("plate")]));
    let options = |service: &str, slots: u32| RunnerOptions {
        service: service.to_owned(),
        version: "v1".to_owned(),
        crashing_part: None,
        crashing_path: None,
        down_ms: 3_000,
        events: 60,
        event_ms: 30,
        slots,
    };
    let start = |service: &str, slots: u32| -> Vec<Arc<Runner>> {
        ZONES
            .iter()
            .map(|zone| Runner::start(&store, &seen, &record, zone, &options(service, slots)))
            .collect()
    };
    let (engines, _desks) = (start("draft-models", 12), start("print-desk", 6));
    let daemons = start_daemons(&folder, &store, &record);
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    for (number, front) in fronts.into_iter().enumerate() {
        let (stop, answers, record) = (Arc::clone(&stop), Arc::clone(&answers), record.clone());
        spawn(move || {
            let mut order = 0;
            while !stop.load(Ordering::SeqCst) {
                order += 1;
                let id = format!("plate-{number}-{order:04}");
                let headers = [
                    ("Request-Attempt-Id", id.clone()),
                    ("Deadline-Remaining", "1000".to_owned()),
                    ("Credential", "key-a".to_owned()),
                ];
                record.line(format!("client sends {id} to daemon {number}"));
                let reply = send(front, &format!("POST /plate/{order}"), &headers, b"one plate");
                record.line(format!("client gets {id}: {} {}", reply.status, reply.body.trim()));
                answers.lock().unwrap().push((id, reply.status));
                sleep_ms(80);
            }
        });
    }
    sleep_ms(3_000);
    let engine = &engines[0];
    for _ in 0..FOREIGN_MS / FOREIGN_GAP_MS {
        if trouble {
            // All fields of an entry but `sequence`.
            let entry = format!(
                r#"{{"service":"print-desk","address":"{}","zone":"{}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0}}"#,
                engine.addr(),
                ZONES[0]
            );
            record.line(format!("another writer writes servers/{}: {entry}", engine.id()));
            store.put(&format!("servers/{}", engine.id()), &entry);
        }
        sleep_ms(FOREIGN_GAP_MS);
    }
    sleep_ms(2_000);
    stop.store(true, Ordering::SeqCst);
    sleep_ms(1_500);
    let arrivals = seen.arrivals.lock().unwrap();
    let foreign: Vec<String> = arrivals
        .iter()
        .filter(|arrival| arrival.target.starts_with("/plate/") && arrival.service != "print-desk")
        .map(|arrival| format!("{} at {} of {}", arrival.id, arrival.runner, arrival.service))
        .collect();
    let answers = answers.lock().unwrap();
    let whole = answers.iter().filter(|(_, status)| *status == 200).count();
    record.line(format!("orders sent: {}, answered 200: {whole}", answers.len()));
    record.line(format!(
        "orders run by a service to which no config allows them to go: {} (none allowed): {}",
        foreign.len(),
        foreign.join(", ")
    ));
    record.write(&out);
    println!("orders run by a wrong service: {}", foreign.len());
    exit(match (whole, foreign.len()) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    });
}
