//! Guards against input from engines and callers that makes a decoder panic or buffer more than its limit.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use wire::{
    engine::{EngineEvent, RawEngineEvent},
    openai::{ChatRequest, CompletionRequest},
    sse::{Decoder, DecoderError},
};

/// Seed of the generator for each property.
const SEED: u64 = 1;

/// Number of cases for each property.
const CASES: u64 = 3_000;

/// Largest size of an event that the decoder accepts in these tests.
const MAX_EVENT_BYTES: usize = 256;

/// Valid events, which are combined into a stream and mutated.
const EVENTS: [&str; 5] = [
    "data: {\"request_id\":\"g/1\",\"index\":0,\"token_id\":7,\"text\":\" a\"}\n\n",
    "id: g/1-1/entry-1/-/3\r\ndata: {\"request_id\":\"g/1\",\"finish_reason\":\"stop\",\
     \"usage\":{\"prompt_tokens\":4294967295,\"completion_tokens\":1}}\r\n\r\n",
    "data: {\"request_id\":\"g/1\",\"error\":\"no memory\"}\n\n",
    ": comment\n\n",
    "data: [DONE]\n\n",
];

/// Valid request bodies, which are mutated.
const BODIES: [&str; 2] = [
    "{\"model\":\"composer\",\"prompt\":[\"p\"],\"max_tokens\":4294967295,\"temperature\":1e308,\"n\":1,\
     \"stream\":true,\"stream_options\":{\"include_usage\":true}}",
    "{\"model\":\"composer:kirk\",\"messages\":[{\"role\":\"user\",\"content\":[{\"type\":\"text\",\"text\":\"p\"}]},\
     {\"role\":\"user\",\"content\":\"q\"}],\"max_completion_tokens\":0,\"top_p\":-0.0}",
];

/// Byte sequences that mutations insert into valid input.
const INSERTIONS: [&[u8]; 12] = [
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

/// Stream of valid events with some mutations.
#[derive(Clone, Debug)]
struct MutatedStream(Vec<u8>);

impl Arbitrary for MutatedStream {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut bytes = Vec::new();
        for _ in 0..usize::arbitrary(g) % 6 {
            bytes.extend_from_slice(g.choose(&EVENTS).unwrap().as_bytes());
        }
        Self(mutate(bytes, g))
    }
}

/// Valid request body with some mutations.
#[derive(Clone, Debug)]
struct MutatedBody(Vec<u8>);

impl Arbitrary for MutatedBody {
    fn arbitrary(g: &mut Gen) -> Self {
        let body = g.choose(&BODIES).unwrap().as_bytes().to_vec();
        Self(mutate(body, g))
    }
}

/// Applies up to four random mutations: insertions, truncations, changed bytes and repeated parts.
fn mutate(mut bytes: Vec<u8>, g: &mut Gen) -> Vec<u8> {
    for _ in 0..usize::arbitrary(g) % 5 {
        let at = usize::arbitrary(g) % (bytes.len() + 1);
        match u8::arbitrary(g) % 4 {
            0 => drop(bytes.splice(at..at, g.choose(&INSERTIONS).unwrap().iter().copied())),
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

fn check_property<A>(property: fn(A, Vec<u8>) -> bool)
where
    A: Arbitrary + std::fmt::Debug,
{
    let generator = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new().rng(generator).tests(CASES).quickcheck(property);
}

/// Decodes `bytes` and returns the data of the events. The decoder is fed with chunks whose sizes are the values of
/// `cuts` plus one, repeated in a cycle; without `cuts`, with a single chunk.
fn decode(bytes: &[u8], cuts: &[u8]) -> Result<Vec<String>, DecoderError> {
    let mut decoder = Decoder::new(MAX_EVENT_BYTES);
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
        assert!(decoder.pending_bytes() <= MAX_EVENT_BYTES);
    }
    Ok(data)
}

/// A stream yields the same events in any chunks as byte by byte, unless it is rejected, and the decoder never buffers
/// more than its limit.
#[test]
fn no_stream_panics_the_decoder_or_exceeds_its_limit() {
    fn property(stream: MutatedStream, cuts: Vec<u8>) -> bool {
        match (decode(&stream.0, &cuts), decode(&stream.0, &[0])) {
            (Ok(chunked), Ok(single)) => chunked == single,
            // Near the limit, only one of the two may fail: the first bytes of an event's end count towards the limit
            // until the rest of the end has arrived.
            (Err(_), _) | (_, Err(_)) => true,
        }
    }
    check_property(property);
}

#[test]
fn parsing_an_engine_event_never_panics() {
    fn property(stream: MutatedStream, cuts: Vec<u8>) -> bool {
        for data in decode(&stream.0, &cuts).unwrap_or_default() {
            let raw = serde_json::from_str::<RawEngineEvent<'_>>(&data);
            let _ = raw.map(EngineEvent::try_from);
        }
        true
    }
    check_property(property);
}

#[test]
fn parsing_a_caller_body_never_panics() {
    fn property(body: MutatedBody, arbitrary_bytes: Vec<u8>) -> bool {
        for bytes in [&body.0, &arbitrary_bytes] {
            let _ = serde_json::from_slice::<CompletionRequest>(bytes);
            let _ = serde_json::from_slice::<ChatRequest>(bytes);
        }
        true
    }
    check_property(property);
}

/// Deep nesting must cause an error instead of exhausting the stack.
#[test]
fn a_deeply_nested_body_is_rejected() {
    let nested = format!("{{\"model\":\"m\",\"prompt\":{}", "[".repeat(100_000));
    assert!(serde_json::from_str::<CompletionRequest>(&nested).is_err());
    assert!(serde_json::from_str::<ChatRequest>(&nested).is_err());
}
