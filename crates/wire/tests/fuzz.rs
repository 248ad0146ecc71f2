//! Guards against input of engines and callers that panics a decoder or makes it hold more than its limit.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use wire::{
    engine::{EngineEvent, RawEngineEvent},
    openai::{ChatRequest, CompletionRequest},
    sse::{Decoder, DecoderError},
};

/// Seed of all properties.
const SEED: u64 = 1;

/// Cases of each property.
const CASES: u64 = 3_000;

/// Largest event in these tests.
const EVENT_SIZE_BYTES: usize = 256;

/// Valid input that is mutated.
const EVENTS: [&str; 5] = [
    "data: {\"request_id\":\"g/1\",\"index\":0,\"token_id\":7,\"text\":\" a\"}\n\n",
    "id: g/1-1/entry-1/-/3\r\ndata: {\"request_id\":\"g/1\",\"finish_reason\":\"stop\",\
     \"usage\":{\"prompt_tokens\":4294967295,\"completion_tokens\":1}}\r\n\r\n",
    "data: {\"request_id\":\"g/1\",\"error\":\"no memory\"}\n\n",
    ": comment\n\n",
    "data: [DONE]\n\n",
];

const BODIES: [&str; 2] = [
    "{\"model\":\"composer\",\"prompt\":[\"p\"],\"max_tokens\":4294967295,\"temperature\":1e308,\"n\":1,\
     \"stream\":true,\"stream_options\":{\"include_usage\":true}}",
    "{\"model\":\"composer:kirk\",\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"p\"}]},\
     {\"role\":\"user\",\"content\":\"q\"}],\"max_completion_tokens\":0,\"top_p\":-0.0}",
];

/// Bytes that mutations put into valid input.
const PIECES: [&[u8]; 12] = [
    b"\n",
    b"\r\n",
    b"\n\n",
    b":",
    b"{",
    b"[[[[",
    b"\"",
    b"\\u0000",
    b"\xff\xfe",
    b"-1",
    b"1e999",
    b"99999999999999999999",
];

/// Valid text with some mutations.
#[derive(Clone, Debug)]
struct Mutated(Vec<u8>);

impl Arbitrary for Mutated {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = Vec::new();
        for _ in 0..usize::arbitrary(g) % 6 {
            bytes.extend_from_slice(g.choose(&EVENTS).unwrap().as_bytes());
        }
        Self(mutate(bytes, g))
    }
}

/// Valid body of a request with some mutations.
#[derive(Clone, Debug)]
struct MutatedBody(Vec<u8>);

impl Arbitrary for MutatedBody {
    fn arbitrary(g: &mut Gen) -> Self {
        let body = g.choose(&BODIES).unwrap().as_bytes().to_vec();
        Self(mutate(body, g))
    }
}

fn mutate(mut bytes: Vec<u8>, g: &mut Gen) -> Vec<u8> {
    for _ in 0..usize::arbitrary(g) % 5 {
        let at = usize::arbitrary(g) % (bytes.len() + 1);
        match u8::arbitrary(g) % 4 {
            0 => drop(bytes.splice(at..at, g.choose(&PIECES).unwrap().iter().copied())),
            1 => bytes.truncate(at),
            2 if at < bytes.len() => bytes[at] = u8::arbitrary(g),
            _ => {
                let end = (at + usize::arbitrary(g) % 40).min(bytes.len());
                let part = bytes[at..end].to_vec();
                bytes.splice(at..at, part);
            }
        }
    }
    bytes
}

fn check<A>(property: fn(A, Vec<u8>) -> bool)
where
    A: Arbitrary + std::fmt::Debug,
{
    let generator = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new().rng(generator).tests(CASES).quickcheck(property);
}

/// Decodes `bytes`, cut after the given lengths, into the data of its events.
fn decode(bytes: &[u8], cuts: &[u8]) -> Result<Vec<String>, DecoderError> {
    let mut decoder = Decoder::new(EVENT_SIZE_BYTES);
    let mut data = Vec::new();
    let mut rest = bytes;
    let mut cuts = cuts.iter().cycle();
    while !rest.is_empty() {
        let size = cuts.next().map_or(rest.len(), |&cut| usize::from(cut) + 1).min(rest.len());
        let (chunk, next) = rest.split_at(size);
        rest = next;
        decoder.feed(chunk)?;
        while let Some(event) = decoder.next_event()? {
            data.push(event.data);
        }
        assert!(decoder.pending_bytes() <= EVENT_SIZE_BYTES);
    }
    Ok(data)
}

/// Any stream gives the same events in chunks as in single bytes, or an error, and holds no more than one event.
#[test]
fn no_stream_panics_the_decoder_or_passes_its_limit() {
    fn property(stream: Mutated, cuts: Vec<u8>) -> bool {
        match (decode(&stream.0, &cuts), decode(&stream.0, &[0])) {
            (Ok(chunked), Ok(single)) => chunked == single,
            // The limit counts the end of an event as well, which a chunk may bring together with the event.
            (Err(_), _) | (_, Err(_)) => true,
        }
    }
    check(property);
}

#[test]
fn no_event_of_an_engine_panics() {
    fn property(stream: Mutated, cuts: Vec<u8>) -> bool {
        for data in decode(&stream.0, &cuts).unwrap_or_default() {
            let raw = serde_json::from_str::<RawEngineEvent<'_>>(&data);
            let _ = raw.map(EngineEvent::try_from);
        }
        true
    }
    check(property);
}

#[test]
fn no_body_of_a_caller_panics() {
    fn property(body: MutatedBody, noise: Vec<u8>) -> bool {
        for bytes in [&body.0, &noise] {
            let _ = serde_json::from_slice::<CompletionRequest>(bytes);
            let _ = serde_json::from_slice::<ChatRequest>(bytes);
        }
        true
    }
    check(property);
}

/// Deep nesting must be an error and not exhaust the stack.
#[test]
fn a_deeply_nested_body_is_refused() {
    let nested = format!("{{\"model\":\"m\",\"prompt\":{}", "[".repeat(100_000));
    assert!(serde_json::from_str::<CompletionRequest>(&nested).is_err());
    assert!(serde_json::from_str::<ChatRequest>(&nested).is_err());
}
