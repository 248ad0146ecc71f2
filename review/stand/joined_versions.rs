//! The store comes back from a copy that is some seconds old, while all daemons are killed. Callers take their streams up.

use crate::bed::*;
use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Streams that are begun before the disruption.
const STREAMS: usize = 60;

/// New streams that are begun after the disruption.
const LATER_STREAMS: usize = 12;

/// How long the store is away.
const AWAY_MS: u64 = 200;

struct Stream {
    /// Versions of the runners whose events arrived, over all tries.
    versions: Vec<String>,
    tries: usize,
    is_whole: bool,
}

pub fn run(folder: &Path) -> bool {
    let record = Record::create(folder);
    let files = temporary_folder();
    let store = Store::start();
    let arrivals = Arc::default();
    let engine: Behaviour = Arc::new(|_| Act::Stream { first_ms: 100, events: 120, pause_ms: 50 });
    let start_engines = |version: &str| {
        for zone in ZONES.iter().chain(&ZONES) {
            let engine = Arc::clone(&engine);
            Runner::start_version(version, "models", zone, &store, &record, &arrivals, engine);
        }
    };
    start_engines("v1");
    let routes = [stream_route("brief", 25_000, 4_500, 5, "models")];
    store.put("op/config", &config_with_engines(7, &routes, "models"));
    let mut daemons: Vec<Daemon> = FRONT_ZONES
        .iter()
        .enumerate()
        .map(|(i, zone)| Daemon::start(&files, &format!("front-{zone}-{i}"), zone, store.addr))
        .collect();
    wait_until_ready(&daemons, &record);
    sleep_ms(4_000);
    store.save_copy();
    let copied = Instant::now();
    record.say(&format!("{:.3} the copy of the store is made", record.now()));
    sleep_ms(500);
    start_engines("v2");
    record.say(&format!("{:.3} engines of v2 start", record.now()));
    sleep_ms(1_500);
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, streams, fronts) =
                (Arc::clone(&record), Arc::clone(&streams), fronts.clone());
            let client = thread::spawn(move || {
                let stream = read_stream(&record, &fronts, number);
                streams.lock().unwrap().push(stream);
            });
            sleep_ms(30);
            client
        })
        .collect();
    // The store falls away just after the engines have written their entries.
    let until = copied + Duration::from_millis(500 + 3 * HEARTBEAT_MS + 150);
    thread::sleep(until.saturating_duration_since(Instant::now()));
    if has_trouble() {
        record.say(&format!(
            "{:.3} the store is away, and all daemons are killed; the copy is {:.1} s old",
            record.now(),
            copied.elapsed().as_secs_f64()
        ));
        store.leave();
        daemons.iter().for_each(Daemon::kill);
        sleep_ms(AWAY_MS);
        store.restore_copy();
        daemons.iter_mut().for_each(Daemon::start_again);
        record.say(&format!(
            "{:.3} the store is back with the copy, the daemons are started again",
            record.now()
        ));
    }
    sleep_ms(3_000);
    let later_clients: Vec<_> = (STREAMS..STREAMS + LATER_STREAMS)
        .map(|number| {
            let (record, fronts) = (Arc::clone(&record), fronts.clone());
            thread::spawn(move || read_stream(&record, &fronts, number))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let later: Vec<Stream> =
        later_clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let later_whole = later.iter().filter(|stream| stream.is_whole).count();
    let streams = streams.lock().unwrap();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    let taken_up = streams.iter().filter(|stream| stream.tries > 1).count();
    let joined = streams.iter().chain(&later).filter(|stream| stream.versions.len() > 1).count();
    record.say(&format!(
        "{} streams, {taken_up} taken up or begun again, {whole} whole",
        streams.len()
    ));
    record.say(&format!("{} new streams after that, {later_whole} whole", later.len()));
    record.say(&format!(
        "streams with events of runners of two software versions: {joined} (two are allowed)"
    ));
    let is_served = later_whole == LATER_STREAMS && (has_trouble() || whole == STREAMS);
    if !is_served || (has_trouble() && taken_up == 0) {
        record.say("the deployment did not serve: the case could not run");
        end(2);
    }
    joined > 2
}

/// Reads one stream to its end. After a broken connection the client takes it up at another daemon. A client whose
/// take-up is refused gives up.
fn read_stream(record: &Record, fronts: &[std::net::SocketAddr], number: usize) -> Stream {
    let until = Instant::now() + Duration::from_secs(25);
    let prompt = format!("5c1e07a2:200,{:08x}:5000", unique() >> 32);
    let mut stream = Stream { versions: Vec::new(), tries: 0, is_whole: false };
    let (mut last_id, mut first_attempt) = (0, String::new());
    let mut daemon = number;
    while Instant::now() < until {
        let front = fronts[daemon % fronts.len()];
        daemon += 1;
        let Ok(mut wire) = Wire::connect(front) else {
            sleep_ms(50);
            continue;
        };
        let (at, id) = (record.now(), attempt_id());
        let mut headers = format!(
            "Deadline-Remaining: {}\r\nCredential: key-of-kirk\r\nModel: m\r\nToken-Counts: 5200,960\r\nPrompt-Prefix: {prompt}\r\n",
            until.saturating_duration_since(Instant::now()).as_millis()
        );
        if last_id > 0 {
            headers += &format!("Last-Event-Id: {last_id}\r\nResumes: {first_attempt}\r\n");
        }
        stream.tries += 1;
        let Ok(answer) = exchange(&mut wire, "POST", "/brief/1", &id, &headers, b"a plan") else {
            record.note_at(at, &format!("client {number} sends {id} after {last_id}: no answer"));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let before = last_id;
        // Only events with their end count.
        for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
            let id = event.lines().find_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
            let version =
                event.lines().find_map(|line| line.strip_prefix("data: ")?.rsplit(' ').next());
            let (Some(event_id), Some(version)) = (id, version) else { continue };
            if last_id == 0 {
                first_attempt = id_of(&answer);
            }
            last_id = event_id;
            if !stream.versions.iter().any(|known| known == version) {
                stream.versions.push(version.to_owned());
            }
        }
        record.note_at(
            at,
            &format!(
                "client {number} sends {id} after {before}: answer {}, events up to {last_id}, whole={}, versions so far {}",
                answer.status(),
                answer.is_whole,
                stream.versions.join("+")
            ),
        );
        match answer.status() {
            200 if answer.is_whole => {
                stream.is_whole = true;
                return stream;
            }
            200 => {}
            503 if before == 0 => sleep_ms(300),
            _ => return stream,
        }
    }
    stream
}

fn id_of(answer: &Message) -> String {
    answer.get("request-attempt-id").unwrap_or("").to_owned()
}
