//! Guards against bytes and messages from a peer that make a daemon panic, allocate without bound or stop serving.

mod common;

use crate::common::start_node;
use base::{AccountName, VmId};
use quickcheck::{Arbitrary, Gen};
use recovery::{Append, Cursor, Journal, ReplicaHeader, View, ViewId};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Duration, timeout},
};

/// Seed of the generator of arbitrary values, the same in each test.
const SEED: u64 = 1;

/// Number of connections that send arbitrary bytes.
const CONNECTIONS: usize = 200;

/// Rounds of one append, one claim and one fetch with arbitrary values.
const ROUNDS: usize = 200;

/// Longest wait for the server to close a connection. The server keeps a connection open while a message on it is
/// incomplete.
const CLOSE_WAIT: Duration = Duration::from_millis(5);

/// Values at the limits and in the middle of the range of `u32`.
const BOUNDARY_NUMBERS: [u32; 6] = [0, 1, 2, u32::MAX / 2, u32::MAX - 1, u32::MAX];

fn boundary_number(g: &mut Gen) -> u32 {
    *g.choose(&BOUNDARY_NUMBERS).unwrap()
}

fn view_id(g: &mut Gen) -> ViewId {
    let owner = VmId::try_from(*g.choose(&["entry-1", "entry-2"]).unwrap()).unwrap();
    ViewId { number: boundary_number(g), nonce: boundary_number(g) % 2, owner }
}

fn account() -> AccountName {
    AccountName::try_from("guild").unwrap()
}

fn append(g: &mut Gen) -> Append {
    let mut tokens = Journal::default();
    for _ in 0..usize::arbitrary(g) % 4 {
        tokens.push(boundary_number(g), "é\u{0} ");
    }
    let views = (0..3)
        .map(|_| View { id: view_id(g), first_index: boundary_number(g) })
        .collect::<Vec<View>>();
    let header = ReplicaHeader { account: account(), request: b"\xff".as_slice().into(), views };
    Append {
        generation: "g1".into(),
        view: view_id(g),
        first_index: boundary_number(g),
        tokens,
        install: bool::arbitrary(g).then_some(header),
        finish: bool::arbitrary(g).then(|| b"\xff".as_slice().into()),
    }
}

/// Returns a message header (the number of segments and the size of the first one, in words) and arbitrary content.
fn arbitrary_message(g: &mut Gen) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&(boundary_number(g) % 5).to_le_bytes());
    let sizes = [0, 1, 8, 1_000, u32::MAX / 8, u32::MAX];
    bytes.extend_from_slice(&g.choose(&sizes).unwrap().to_le_bytes());
    let content: Vec<u8> = (0..64).map(|_| u8::arbitrary(g)).collect();
    bytes.extend_from_slice(&content[..usize::arbitrary(g) % 64]);
    bytes
}

#[tokio::test]
async fn arbitrary_bytes_end_their_connection_only() {
    let (node, client) = (start_node(), start_node());
    let mut g = Gen::from_size_and_seed(64, SEED);
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(node.addr()).await.unwrap();
        stream.write_all(&arbitrary_message(&mut g)).await.unwrap();
        let _ = timeout(CLOSE_WAIT, stream.read(&mut [0; 64])).await;
    }
    assert_eq!(client.handle().heartbeat(node.addr(), vec![7]).await.unwrap(), [7]);
    client.close().await;
    node.close().await;
}

/// `capnp` rejects a message above its limit of 8 Mi words by the message header, before the content has arrived.
#[tokio::test]
async fn a_message_over_the_size_limit_ends_its_connection() {
    let node = start_node();
    let mut stream = TcpStream::connect(node.addr()).await.unwrap();
    stream.write_all(&[0, 0, 0, 0, 1, 0, 0, 1]).await.unwrap();
    let mut answer = Vec::new();
    let ended = timeout(Duration::from_secs(20), stream.read_to_end(&mut answer)).await;
    assert!(ended.is_ok());
    node.close().await;
}

#[tokio::test]
async fn valid_messages_with_arbitrary_values_get_an_answer() {
    let (node, client) = (start_node(), start_node());
    let (peer, addr) = (client.handle(), node.addr());
    let mut g = Gen::from_size_and_seed(64, SEED);
    for _ in 0..ROUNDS {
        peer.append(addr, append(&mut g)).await.unwrap();
        let cursor = Cursor {
            generation: "g1".into(),
            view: view_id(&mut g),
            holder: None,
            index: boundary_number(&mut g),
        };
        let owner = VmId::try_from("entry-2").unwrap();
        let _ = peer
            .claim(addr, cursor.clone(), account(), owner, boundary_number(&mut g))
            .await
            .unwrap();
        let _ = peer.fetch(addr, cursor, account()).await.unwrap();
    }
    client.close().await;
    node.close().await;
}
