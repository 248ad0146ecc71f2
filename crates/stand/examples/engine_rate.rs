//! Measures the tokens per second that a running fake engine generates over many streams.

use argh::FromArgs;
use std::{error::Error, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};
use web::{Client, Method};
use wire::engine::{EngineRequest, EngineState};

/// Time from the start of the streams to the start of the measurement.
const WARM_UP_MS: u64 = 2_000;

/// Timeout of a request for the state of the engine.
const STATE_TIMEOUT_MS: u64 = 10_000;

/// Measure an engine's rate.
#[derive(FromArgs)]
struct Options {
    /// address of the engine
    #[argh(option)]
    addr: SocketAddr,
    /// number of streams
    #[argh(option, default = "1000")]
    streams: usize,
    /// length of the measurement in seconds
    #[argh(option, default = "10")]
    seconds: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options: Options = argh::from_env();
    for number in 0..options.streams {
        tokio::spawn(read_stream(options.addr, number));
    }
    tokio::time::sleep(Duration::from_millis(WARM_UP_MS)).await;
    let before = fetch_state(options.addr).await?;
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let after = fetch_state(options.addr).await?;
    let elapsed_s = start.elapsed().as_secs_f64();
    let tokens = after.counters.decoded_tokens - before.counters.decoded_tokens;
    let rate = tokens as f64 / elapsed_s;
    println!("{{\"running\":{},\"tokens_per_s\":{rate:.0}}}", after.load.running);
    Ok(())
}

/// Requests endless answers and discards them. The engine stalls a sequence that is not read, so at most a few steps of
/// the generated tokens have not been read.
async fn read_stream(addr: SocketAddr, number: usize) -> std::io::Result<()> {
    let request = EngineRequest {
        request_id: format!("rate-{number}"),
        model: "composer".to_owned(),
        version: "v1".to_owned(),
        prompt: format!("plan {number}"),
        max_tokens: u32::MAX,
        stream: true,
        ..EngineRequest::default()
    };
    loop {
        let body = serde_json::to_vec(&request)?;
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(&[head.as_bytes(), &body].concat()).await?;
        let mut buffer = vec![0; 4096];
        while stream.read(&mut buffer).await? > 0 {}
    }
}

async fn fetch_state(addr: SocketAddr) -> Result<EngineState, web::ClientError> {
    Client::new(addr, STATE_TIMEOUT_MS).send(Method::GET, "/state").await?.json()
}
