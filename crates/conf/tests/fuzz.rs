//! Guards against a settings file that makes the check panic instead of reporting a problem.

use conf::Settings;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Seed of the random cases.
const SEED: u64 = 1;

/// Number of random cases.
const CASES: u64 = 2_000;

/// Settings without problems, to which mutations are applied.
const VALID: &str = r#"
[entry]
vm_id = "entry-1"
domain = "lothian"
listen = "127.0.0.1:8080"
shutdown_wait_ms = 200
[limits]
body_bytes = 65536
max_tokens = 1000
[platform]
addr = "127.0.0.1:9000"
timeout_ms = 1000
[recovery]
policy = "preset"
attempts_per_s = 100
[log]
format = "json"
parts = { recovery = "debug" }
[peer]
listen = "127.0.0.1:8081"
[admin]
listen = "127.0.0.1:8082"
"#;

/// Texts that mutations insert into valid settings.
const PIECES: [&str; 14] = [
    "0x_",
    "0xffff_ffff_ffff_ffff_f",
    "-1",
    "1e400",
    "nan",
    "\"",
    "[[entry]]",
    "[",
    "{",
    "\u{0}",
    "é𝕏",
    "1979-05-27T07:32:00Z",
    "entry.listen = 1\n",
    "'''",
];

/// Settings with up to five mutations.
#[derive(Clone, Debug)]
struct Mutated(String);

impl Arbitrary for Mutated {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut lines: Vec<String> = VALID.lines().map(str::to_owned).collect();
        for _ in 0..usize::arbitrary(g) % 6 {
            let at = usize::arbitrary(g) % lines.len();
            let piece = *g.choose(&PIECES).unwrap();
            match u8::arbitrary(g) % 5 {
                0 => lines.insert(at, piece.to_owned()),
                1 => drop(lines.remove(at)),
                2 => lines.push(lines[at].clone()),
                3 => {
                    let key = lines[at].split('=').next().unwrap_or_default().to_owned();
                    lines[at] = format!("{key}= {piece}");
                }
                _ => lines[at].push_str(piece),
            }
        }
        Self(lines.join("\n"))
    }
}

/// Each file must be accepted, or each of its problems must have a line within the file.
#[test]
fn no_settings_file_causes_a_panic() {
    fn property(mutated: Mutated, arbitrary: String) -> bool {
        [mutated.0.as_str(), arbitrary.as_str()].into_iter().all(|text| {
            let lines = text.bytes().filter(|&byte| byte == b'\n').count() + 1;
            match Settings::try_from(text) {
                Ok(_) => true,
                Err(problems) => {
                    !problems.0.is_empty()
                        && problems.0.iter().all(|problem| (1..=lines).contains(&problem.line))
                }
            }
        })
    }
    let generator = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new()
        .rng(generator)
        .tests(CASES)
        .quickcheck(property as fn(Mutated, String) -> bool);
}

/// Guards against deep nesting that overflows the stack instead of being reported.
#[test]
fn a_deeply_nested_settings_file_is_rejected() {
    assert!(Settings::try_from(format!("a = {}", "[".repeat(100_000)).as_str()).is_err());
    assert!(Settings::try_from(format!("a = {}", "{a=".repeat(100_000)).as_str()).is_err());
}
