//! Guards against configuration documents and intents that cause a panic, and against overflows with extreme values.

use base::{KeyHash, OperatorName, PlanId, ServiceName};
use fleet::{Document, Plan, PlanContext, PlannedIntent, parse_intent};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Seed of the random cases.
const SEED: u64 = 1;

/// Number of cases of the intent property.
const INTENT_CASES: u64 = 200;

/// Valid intents that are mutated. Most numbers are the maximum of their field.
const INTENTS: [&str; 16] = [
    "create service composer kind=generation preset=economy max_wait_ms=4294967295",
    "create service belfry-desk kind=plain",
    "create model composer service=composer version=v1",
    "create version composer v2",
    "change version composer v1",
    "remove version composer v2",
    "create adapter composer kirk",
    "create role composer prefill engines=4294967295",
    "create role composer decode engines=4294967295",
    "change role composer decode engines=0",
    "remove role composer prefill",
    "create account borders requests_per_s=4294967295 tokens_per_s=0",
    "change account borders concurrent_generations=4294967295",
    "remove key borders 00000000",
    "create operator ann",
    "remove model composer",
];

/// Words that mutations insert into intents.
const WORDS: [&str; 10] = [
    "composer",
    "=",
    "engines=4294967296",
    "engines=-1",
    "preset=",
    "name=é",
    "create",
    "version",
    "intent=create_model",
    "\u{0}",
];

/// Intent with at most one mutated word.
#[derive(Clone, Debug)]
struct MutatedIntent(String);

impl Arbitrary for MutatedIntent {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut words: Vec<&str> = g.choose(&INTENTS).unwrap().split(' ').collect();
        if u8::arbitrary(g) % 3 == 0 {
            let at = usize::arbitrary(g) % words.len();
            match u8::arbitrary(g) % 3 {
                0 => drop(words.remove(at)),
                1 => words.insert(at, g.choose(&WORDS).unwrap()),
                _ => words[at] = g.choose(&WORDS).unwrap(),
            }
        }
        Self(words.join(" "))
    }
}

/// Returns a context with the maximum number of engines and the maximum load time.
fn extreme_context() -> PlanContext {
    let mut context = PlanContext { weight_load_ms: u64::MAX, ..PlanContext::default() };
    context.engines.insert(ServiceName::try_from("composer").unwrap(), u32::MAX);
    context
}

/// Plans and confirms an intent. Returns the document unchanged if the intent cannot be applied.
fn changed_document(document: Document, text: &str, context: &PlanContext) -> Document {
    let Ok(intent) = parse_intent(text) else { return document };
    let key_hash = intent.key_owner().map(KeyHash::of);
    let id = PlanId::try_from(format!("p00-{:016x}", 1)).unwrap();
    let operator = OperatorName::try_from("ann").unwrap();
    let intents = vec![PlannedIntent { intent, key_hash }];
    let Ok(plan) = Plan::build(id, operator, u64::MAX, 7, &document, intents, context) else {
        return document;
    };
    let _ = plan.would_be_listed_in(&document);
    plan.confirm(7, &document, u64::MAX, context).unwrap_or(document)
}

/// Any series of intents must give errors or valid documents, whatever the sequence number of the document is.
#[test]
fn no_intent_panics() {
    fn property(texts: Vec<MutatedIntent>, sequence: u64) -> bool {
        let context = extreme_context();
        let mut document = Document { sequence, ..Document::default() };
        for text in &texts {
            document = changed_document(document, &text.0, &context);
        }
        document.check().is_ok()
    }
    let generator = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(INTENT_CASES)
        .quickcheck(property as fn(Vec<MutatedIntent>, u64) -> bool);
}

/// The platform may hold a document that another program wrote, with the maximum sequence number. A plan on it must not
/// overflow the number.
#[test]
fn a_document_with_the_maximum_sequence_can_be_planned_on() {
    let document = Document { sequence: u64::MAX, ..Document::default() };
    let after = changed_document(document, "create operator ann", &PlanContext::default());
    assert_eq!(after.sequence, u64::MAX);
}

/// Two roles with the maximum number of engines must not overflow the sum in a warning.
#[test]
fn roles_with_the_maximum_number_of_engines_can_be_planned() {
    let context = extreme_context();
    let document = INTENTS
        .iter()
        .take(9)
        .fold(Document::default(), |document, text| changed_document(document, text, &context));
    assert_eq!(document.models[0].roles.len(), 2);
}

/// A valid document in which some bytes are replaced, and which may be truncated, must be refused or be valid.
#[test]
fn no_document_panics() {
    fn property(edits: Vec<(usize, u8)>, cut: usize) -> bool {
        let context = extreme_context();
        let document = INTENTS
            .iter()
            .take(12)
            .fold(Document::default(), |document, text| changed_document(document, text, &context));
        let mut bytes = document.encode().unwrap().into_bytes();
        for (at, byte) in edits.into_iter().take(3) {
            let size = bytes.len();
            bytes[at % size] = byte;
        }
        if cut.is_multiple_of(4) {
            bytes.truncate(cut % (bytes.len() + 1));
        }
        let text = String::from_utf8_lossy(&bytes);
        Document::decode(&text).map_or(true, |document| document.check().is_ok())
    }
    let generator = Gen::from_size_and_seed(40, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(300)
        .quickcheck(property as fn(Vec<(usize, u8)>, usize) -> bool);
}

/// Deep nesting must give an error instead of a stack overflow.
#[test]
fn a_deeply_nested_document_is_refused() {
    assert!(Document::decode(&"[".repeat(100_000)).is_err());
    assert!(Document::decode(&format!("{{\"x\":{}", "[".repeat(100_000))).is_err());
}
