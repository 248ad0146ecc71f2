//! Prints the time to first event with and without credit for cached prefixes, for shares of the prompt from none to most.
//!
//! `cargo run --release -p prefix --example cached_prefixes`

#[path = "../tests/common/mod.rs"]
mod common;

use crate::common::{LARGE, Load, play};

fn main() {
    println!(
        "rate/s beginnings shared | without: p50 p95 ms, tokens read for each request, skew | with"
    );
    for requests_per_s in [24.0, 50.0] {
        for beginnings in [1, 20, 400] {
            for shared in [0.0, 0.04, 0.3, 0.6, 0.9] {
                let load = Load { requests_per_s, beginnings, shared, ..LARGE };
                let row = [false, true].map(|uses_prefixes| {
                    let outcome = play(load, uses_prefixes, 1);
                    format!(
                        "{:>6.0} {:>6.0} {:>6.0} {:>4.1}",
                        outcome.p50_ms, outcome.p95_ms, outcome.tokens_read, outcome.skew
                    )
                });
                println!(
                    "{requests_per_s:>4} {beginnings:>4} {shared:>5} | {} | {}",
                    row[0], row[1]
                );
            }
        }
    }
}
