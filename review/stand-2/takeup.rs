//! All machines lose power, and a second software version begins to serve before the clients notice: which streams go on.

mod stand;

use stand::*;
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Runners in each zone, by the sheet.
const RUNNERS: usize = 12;

/// Events of a whole answer, and the time between two, by the sheet: 8 tokens, of which each takes 3.7 ms.
const EVENTS: u64 = 130;
const EVENT_MS: u64 = 30;

/// Time limit of a client, and the gap between two events after which it abandons a stream: the longest of two seconds, four
/// times the objective of 4,500 ms and eight times the pause of 700 ms.
const LIMIT: Duration = Duration::from_millis(25_000);
const GAP: Duration = Duration::from_millis(18_000);

/// Time for which the machines have no power.
const DARK_MS: u64 = 2_000;

/// Smallest number of streams that clients take up again for which the rule holds.
const MIN_TAKE_UPS: usize = 12;

/// What became of the streams after the loss of power.
#[derive(Default)]
struct Counts {
    /// Streams that were taken up again, and those of them that went on.
    taken_up: usize,
    went_on: usize,
    /// New streams at the same time, and those of them that began.
    new: usize,
    began: usize,
}

struct Site {
    record: Record,
    machines: Vec<Machine>,
    counts: Mutex<Counts>,
    /// Whether new streams count: they are sent after the machines were back and in touch.
    counts_new: AtomicBool,
    is_dark: AtomicBool,
    stop: AtomicBool,
}

impl Site {
    fn front(&self, random: &mut Random) -> SocketAddr {
        self.machines[random.next() as usize % self.machines.len()].front
    }

    /// Serves one client: sends a stream, and takes it up once if it is broken off.
    fn client(&self, number: usize) {
        let mut random = Random::seeded(number as u64);
        let start = Instant::now();
        let id = format!("s{number:04}");
        let is_counted = self.counts_new.load(Ordering::SeqCst);
        let (events, is_whole) = self.stream(self.front(&mut random), number, &id, start, None);
        if is_counted {
            let mut counts = self.counts.lock().unwrap();
            counts.new += 1;
            counts.began += usize::from(events > 0);
        }
        if is_whole || events == 0 || start.elapsed() >= LIMIT {
            return;
        }
        let front = self.front(&mut random);
        let again = format!("s{number:04}-again");
        let (more, _) = self.stream(front, number, &again, start, Some((&id, events)));
        let mut counts = self.counts.lock().unwrap();
        counts.taken_up += 1;
        counts.went_on += usize::from(more > 0);
    }

    /// Sends one client attempt. `resumed` is the id of the first one with the number of its last event. Returns the number of
    /// events that arrived, and whether the stream has ended.
    fn stream(
        &self,
        front: SocketAddr,
        number: usize,
        id: &str,
        start: Instant,
        resumed: Option<(&str, u64)>,
    ) -> (u64, bool) {
        let left = LIMIT.saturating_sub(start.elapsed());
        let more = resumed.map_or_else(String::new, |(first, last)| {
            format!("Resumes: {first}\r\nLast-Event-Id: {last}\r\n")
        });
        let body = format!("label {number}");
        let request = format!(
            "POST /label/{number} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Attempt-Id: {id}\r\nModel: m\r\n\
             Token-Counts: 5200,1040\r\nPrompt-Prefix: 51ab0001:200,{number:08x}:5000\r\nDeadline-Remaining: {}\r\n\
             Credential: key-a\r\n{more}Content-Length: {}\r\n\r\n{body}",
            left.as_millis(),
            body.len()
        );
        let what = if resumed.is_some() { "takes up" } else { "sends" };
        self.record.line(format!("client {what} {id} {more:?}"));
        let (mut status, mut events, mut is_whole) = (0, 0, false);
        if let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
            let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(GAP.min(left))));
            let mut writer = &stream;
            let _ = writer.write_all(request.as_bytes());
            let mut reader = BufReader::new(&stream);
            (status, events, is_whole) = read_events(&mut reader);
        }
        let end = if is_whole { "whole" } else { "broken off or abandoned" };
        self.record.line(format!("client gets {id}: {status}, {events} events, {end}"));
        (events, is_whole)
    }
}

/// Reads an answer. Returns its status, the number of events that arrived, and whether its end did.
fn read_events(reader: &mut impl BufRead) -> (u16, u64, bool) {
    let mut lines = Vec::new();
    let (mut events, mut status) = (0, 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return (status, events, false);
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    status = lines[0].split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    if status != 200 {
        return (status, 0, true);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return (status, events, false);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return (status, events, false);
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (status, events, false);
        }
        if size == 0 {
            return (status, events, true);
        }
        let text = String::from_utf8_lossy(&chunk);
        events += text.lines().filter(|line| line.starts_with("id: ")).count() as u64;
    }
}

fn main() {
    let out = PathBuf::from(std::env::args().nth(1).expect("the path of the record is given"));
    let trouble = has_trouble();
    let (record, seen, folder, store) =
        (Record::new(), Seen::default(), Folder::new(), Store::start());
    store.put("op/config", &config(&[stream_route("label", true)]));
    let options = |version: &str| RunnerOptions {
        service: "draft-models".to_owned(),
        version: version.to_owned(),
        crashing_part: None,
        crashing_path: None,
        down_ms: 3_000,
        events: EVENTS,
        event_ms: EVENT_MS,
        slots: 12,
    };
    let start = |zone: &str, version: &str| {
        record.line(format!("a runner of version {version} starts in {zone}"));
        Runner::start(&store, &seen, &record, zone, &options(version))
    };
    let zones = ZONES.iter().flat_map(|zone| std::iter::repeat_n(zone, RUNNERS));
    let mut runners: Vec<_> = zones.map(|zone| start(zone, "v1")).collect();
    let daemons = start_daemons(&folder, &store, &record);
    let site = Arc::new(Site {
        record: record.clone(),
        machines: daemons.iter().map(|daemon| Machine::start(daemon.front)).collect(),
        counts: Mutex::default(),
        counts_new: AtomicBool::new(false),
        is_dark: AtomicBool::new(false),
        stop: AtomicBool::new(false),
    });
    let sending = Arc::clone(&site);
    spawn(move || {
        let mut number = 0;
        while !sending.stop.load(Ordering::SeqCst) {
            if !sending.is_dark.load(Ordering::SeqCst) {
                number += 1;
                let site = Arc::clone(&sending);
                spawn(move || site.client(number));
            }
            sleep_ms(110);
        }
    });
    sleep_ms(8_000);
    if trouble {
        record.line("all machines lose power");
        site.is_dark.store(true, Ordering::SeqCst);
        site.machines.iter().for_each(Machine::lose_power);
        daemons.iter().for_each(Daemon::kill);
        sleep_ms(DARK_MS);
        daemons.iter().for_each(Daemon::spawn);
        wait_until_ready(&daemons);
        site.machines.iter().for_each(Machine::get_power);
        site.is_dark.store(false, Ordering::SeqCst);
        record.line("all machines are back");
    } else {
        sleep_ms(DARK_MS);
    }
    sleep_ms(2_000);
    // RELEASE=0 leaves the second version out, to show what it changes.
    if std::env::var("RELEASE").map_or(true, |value| value != "0") {
        runners.extend(ZONES.iter().map(|zone| start(zone, "v1.1")));
    }
    sleep_ms(CONTACT_MS);
    site.counts_new.store(true, Ordering::SeqCst);
    sleep_ms(16_000);
    site.counts_new.store(false, Ordering::SeqCst);
    site.stop.store(true, Ordering::SeqCst);
    sleep_ms(10_000);
    let counts = site.counts.lock().unwrap();
    let Counts { taken_up, went_on, new, began } = *counts;
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    let is_broken = taken_up >= MIN_TAKE_UPS && share(went_on, taken_up) < share(began, new) / 2.0;
    let text = format!(
        "of {taken_up} streams that clients took up again {went_on} went on, while {} runners of their version serve; \
         of {new} new ones {began} began",
        RUNNERS * ZONES.len()
    );
    record.line(&text);
    println!("{text}");
    record.write(&out);
    exit(if new == 0 { 2 } else { i32::from(is_broken) });
}
