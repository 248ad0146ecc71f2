//! Guards against answers of the platform that make a daemon panic instead of resulting in a typed error.

use plat::Platform;
use quickcheck::{Arbitrary, Gen};
use std::net::SocketAddr;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use wire::platform::KvWrite;

/// Seed of the random mutations.
const SEED: u64 = 1;

/// Number of times that each method of the client is called.
const ROUNDS: usize = 50;

/// Timeout of a call; some mutated answers never end.
const WAIT_MS: u64 = 20;

/// Bodies of answers before the mutation, some of them with numbers out of range.
const BODIES: [&str; 5] = [
    "{\"key\":\"config/current\",\"value\":\"{}\",\"revision\":18446744073709551615}",
    "{\"revision\":7,\"entries\":[{\"key\":\"a\",\"value\":\"b\",\"revision\":1}]}",
    "{\"lease_id\":1,\"fencing_token\":18446744073709551616,\"ttl_ms\":-1}",
    "{\"current\":{\"key\":\"a\",\"value\":\"b\",\"revision\":1}}",
    "{\"vms\":[{\"id\":\"engine-1\",\"role\":\"engine\",\"domain\":\"lothian\",\"addr\":\"127.0.0.1:99999\",\
     \"state\":\"live\"}]}",
];

/// Statuses of answers before the mutation.
const STATUSES: [&str; 6] = ["200", "204", "404", "409", "410", "99"];

/// Returns an HTTP answer in which up to two bytes are replaced.
fn answer(g: &mut Gen) -> Vec<u8> {
    let (body, status) = (*g.choose(&BODIES).unwrap(), *g.choose(&STATUSES).unwrap());
    let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
    let mut bytes = format!("{head}{body}").into_bytes();
    for _ in 0..usize::arbitrary(g) % 3 {
        let at = usize::arbitrary(g) % bytes.len();
        bytes[at] = u8::arbitrary(g);
    }
    bytes
}

/// Starts a server that sends a mutated answer on each connection.
async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut g = Gen::from_size_and_seed(64, SEED);
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(&answer(&mut g)).await;
        }
    });
    addr
}

#[tokio::test]
async fn no_answer_of_the_platform_causes_a_panic() {
    let platform = Platform::new(serve().await, WAIT_MS);
    let write = KvWrite { value: "v".to_owned(), expect_revision: Some(1), lease_id: None };
    for _ in 0..ROUNDS {
        let _ = platform.get("a").await;
        let _ = platform.put("a", &write).await;
        let _ = platform.list("a").await;
        let _ = platform.vms().await;
        let _ = platform.grant_lease(1).await;
        let _ = platform.watch("a", u64::MAX, 0).await;
    }
}
