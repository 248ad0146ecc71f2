//! Requests and prompts that crash runners: what still reaches runners once the fleet has seen enough crashes.

mod stand;

use stand::*;
use std::{
    collections::{BTreeMap, HashMap},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

/// Requests that may reach runners after the bound, by the rule.
const MAX_LATE: usize = 3;

/// Runners in each zone, by the sheet.
const RUNNERS: usize = 12;

/// Part that nearly all prompts begin with, and the one that crashes runners.
const FIRST_PART: &str = "51ab0001";
const BAD_PART: &str = "bad0bad0";

/// Time for which the store loses answers to writes, by the site file.
const LOSING_MS: u64 = 4_500;

/// Path of the request that crashes runners.
const BAD_PATH: &str = "/label/bottle-77";

/// Tokens of the last part of a prompt: the mean and the largest number of the sheet.
const MEAN_TOKENS: u64 = 5_000;
const MOST_TOKENS: u64 = 8_800;

struct Fleet {
    record: Record,
    daemons: Mutex<Vec<Daemon>>,
    /// Time at which each daemon was last started.
    started: Mutex<Vec<u64>>,
    /// Daemon that got each request, by the request's id.
    sent: Mutex<HashMap<String, usize>>,
    answers: Arc<Mutex<BTreeMap<String, usize>>>,
    stop: AtomicBool,
    last_number: Mutex<u64>,
}

/// Request of a client.
struct Request<'a> {
    kind: &'a str,
    /// Path; `None` for one of its own under `/label/`.
    path: Option<&'a str>,
    /// Parts of the prompt before the last one, which is the request's own.
    shared: &'a [&'a str],
    own_tokens: u64,
}

const SOUND: Request =
    Request { kind: "sound", path: None, shared: &[FIRST_PART], own_tokens: MEAN_TOKENS };
const BAD: Request =
    Request { kind: "bad", path: None, shared: &[FIRST_PART, BAD_PART], own_tokens: MEAN_TOKENS };

impl Fleet {
    /// Sends a stream to a daemon, in a thread of its own.
    fn send(&self, daemon: usize, request: &Request<'_>) {
        let number = {
            let mut last = self.last_number.lock().unwrap();
            *last += 1;
            *last
        };
        let Request { kind, path, shared, own_tokens } = request;
        let id = format!("{kind}-{number:05}");
        let parts: Vec<String> = shared.iter().map(|part| format!("{part}:100")).collect();
        let path = path.map_or_else(|| format!("/label/{number}"), str::to_owned);
        let body = match *kind {
            "again" => "the label of bottle 77".to_owned(),
            _ => format!("label {number}"),
        };
        let headers = [
            ("Request-Attempt-Id", id.clone()),
            ("Model", "m".to_owned()),
            ("Token-Counts", format!("{},480", own_tokens + 100 * shared.len() as u64)),
            ("Prompt-Prefix", format!("{},{number:08x}:{own_tokens}", parts.join(","))),
            ("Deadline-Remaining", "25000".to_owned()),
            ("Credential", "key-a".to_owned()),
        ];
        let front = self.daemons.lock().unwrap()[daemon].front;
        self.sent.lock().unwrap().insert(id.clone(), daemon);
        let (record, answers, kind) =
            (self.record.clone(), Arc::clone(&self.answers), kind.to_string());
        record.line(format!("client sends {id} POST {path} to daemon {daemon}"));
        spawn(move || {
            let reply = send(front, &format!("POST {path}"), &headers, body.as_bytes());
            let end = if reply.is_whole { "whole" } else { "broken off" };
            record.line(format!(
                "client gets {id}: {} {end}, {} events",
                reply.status,
                reply.events()
            ));
            *answers
                .lock()
                .unwrap()
                .entry(format!("{kind} {} {end}", reply.status))
                .or_default() += 1;
        });
    }

    /// Sends `count` requests, one after the other `gap_ms`, to the daemons in turn.
    fn send_all(&self, request: &Request<'_>, count: usize, gap_ms: u64) {
        for number in 0..count {
            self.send(number % DAEMONS, request);
            sleep_ms(gap_ms);
        }
    }

    fn restart_all(&self) {
        self.record.line("all daemons are killed");
        let daemons = self.daemons.lock().unwrap();
        daemons.iter().for_each(Daemon::kill);
        sleep_ms(1_000);
        daemons.iter().for_each(Daemon::spawn);
        self.started.lock().unwrap().fill(self.record.now_ms());
        wait_until_ready(&daemons);
        self.record.line("all daemons are back");
    }
}

/// The fleet is killed at once after it has learned which part crashes runners. The prompts with it come again when the
/// daemons are in touch.
fn restart(fleet: &Fleet, trouble: bool) {
    fleet.send_all(&BAD, 8, 50);
    sleep_ms(8_000);
    fleet.send_all(&BAD, 3, 200);
    sleep_ms(4_000);
    if trouble {
        fleet.restart_all();
    }
    sleep_ms(2 * CONTACT_MS);
    for _ in 0..5 {
        fleet.send_all(&BAD, 2, 100);
        sleep_ms(4_000);
    }
}

/// One request crashes each runner that begins to run it. It comes again with the same path, caller and body.
fn again(fleet: &Fleet) {
    for number in 0..8 {
        fleet.send(number % DAEMONS, &Request { kind: "again", path: Some(BAD_PATH), ..SOUND });
        sleep_ms(5_000);
    }
}

/// The store has lost answers to writes while the daemons started. Prompts with the part come later, one
/// after the other, to each of them.
fn unlisted(fleet: &Fleet, store: &Store) {
    sleep_ms(32_000);
    let listed = store.count("geraniumroad/daemons/");
    fleet.record.line(format!("{listed} of {DAEMONS} daemons are listed in the store"));
    for number in 0..DAEMONS + 2 {
        fleet.send(number % DAEMONS, &BAD);
        sleep_ms(6_000);
    }
}

/// A batch of prompts with the part comes now and then.
fn batches(fleet: &Fleet) {
    for _ in 0..4 {
        fleet.send_all(&BAD, 8, 50);
        sleep_ms(6_000);
    }
}

/// Nobody but one caller is at work, whose prompts all have the part.
fn alone(fleet: &Fleet) {
    fleet.stop.store(true, Ordering::SeqCst);
    sleep_ms(6_000);
    let end = fleet.record.now_ms() + 80_000;
    let mut random = Random::new();
    while fleet.record.now_ms() < end {
        fleet.send(random.next() as usize % DAEMONS, &Request { own_tokens: MOST_TOKENS, ..BAD });
        sleep_ms(100);
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (scene, out) = (args[1].clone(), PathBuf::from(&args[2]));
    let trouble = has_trouble();
    let (record, seen, folder, store) =
        (Record::new(), Seen::default(), Folder::new(), Store::start());
    store.put("op/config", &config(&[stream_route("label", scene != "batches")]));
    // Where something else is the disruption, the part crashes runners without it as well.
    let crashes = trouble || scene == "restart" || scene == "unlisted";
    if trouble && scene == "unlisted" {
        record.line(format!(
            "the store loses the answers to a third of all writes for {LOSING_MS} ms"
        ));
        store.lose_answers(LOSING_MS);
    }
    let options = RunnerOptions {
        service: "draft-models".to_owned(),
        version: "v1".to_owned(),
        crashing_part: (crashes && scene != "again").then(|| BAD_PART.to_owned()),
        crashing_path: (crashes && scene == "again").then(|| BAD_PATH.to_owned()),
        down_ms: 3_000,
        events: 60,
        event_ms: 30,
        slots: 12,
    };
    let zones = ZONES.iter().flat_map(|zone| std::iter::repeat_n(zone, RUNNERS));
    let _runners: Vec<_> =
        zones.map(|zone| Runner::start(&store, &seen, &record, zone, &options)).collect();
    let fleet = Arc::new(Fleet {
        record: record.clone(),
        daemons: Mutex::new(start_daemons(&folder, &store, &record)),
        started: Mutex::new(vec![0; DAEMONS]),
        sent: Mutex::default(),
        answers: Arc::default(),
        stop: AtomicBool::new(false),
        last_number: Mutex::default(),
    });
    let sounding = Arc::clone(&fleet);
    spawn(move || {
        let mut random = Random::new();
        while !sounding.stop.load(Ordering::SeqCst) {
            sounding.send(random.next() as usize % DAEMONS, &SOUND);
            sleep_ms(250);
        }
    });
    sleep_ms(4_000);
    match &*scene {
        "restart" => restart(&fleet, trouble),
        "again" => again(&fleet),
        "unlisted" => unlisted(&fleet, &store),
        "batches" => batches(&fleet),
        "alone" => alone(&fleet),
        _ => exit(2),
    }
    fleet.stop.store(true, Ordering::SeqCst);
    sleep_ms(3_000);
    let is_broken = judge(&scene, &fleet, &seen);
    record.write(&out);
    exit(i32::from(is_broken));
}

/// Counts the requests that reached runners after the bound of the rule, and returns whether they are too many.
fn judge(scene: &str, fleet: &Fleet, seen: &Seen) -> bool {
    let record = &fleet.record;
    let is_bad = |arrival: &Arrival| match scene {
        "again" => arrival.target == BAD_PATH,
        _ => arrival.parts.iter().rev().skip(1).any(|part| part == BAD_PART),
    };
    let mut crashes: Vec<u64> =
        seen.crashes.lock().unwrap().iter().map(|(at_ms, _)| *at_ms).collect();
    crashes.sort_unstable();
    let (number, name) = if scene == "again" { (3, "third") } else { (5, "fifth") };
    let bound_ms = crashes.get(number - 1).map(|at_ms| at_ms + CONTACT_MS);
    let (started, sent) = (fleet.started.lock().unwrap(), fleet.sent.lock().unwrap());
    let mut late = Vec::new();
    for arrival in seen.arrivals.lock().unwrap().iter().filter(|arrival| is_bad(arrival)) {
        let Some(&daemon) = sent.get(&arrival.id) else { continue };
        let is_in_touch = started[daemon] == 0 || arrival.at_ms > started[daemon] + CONTACT_MS;
        if is_in_touch && bound_ms.is_some_and(|bound_ms| arrival.at_ms > bound_ms) {
            late.push(format!("{} from daemon {daemon} at {} ms", arrival.id, arrival.at_ms));
        }
    }
    let answers: Vec<String> = fleet
        .answers
        .lock()
        .unwrap()
        .iter()
        .map(|(what, count)| format!("{what}: {count}"))
        .collect();
    let text = format!(
        "crashes: {}; the {name} and {CONTACT_MS} ms: {bound_ms:?} ms; requests that reached runners later, from \
         daemons in touch: {} ({MAX_LATE} allowed)",
        crashes.len(),
        late.len()
    );
    record.line(format!("answers: {}", answers.join("; ")));
    record.line(format!("late: {}", late.join(", ")));
    record.line(&text);
    println!("{scene}: {text}");
    late.len() > MAX_LATE
}
