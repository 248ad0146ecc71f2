//! Guards against bytes and messages of a peer that panic a daemon, make it allocate without bound or end its service.

mod common;

use crate::common::start;
use base::{AccountName, VmId};
use quickcheck::{Arbitrary, Gen};
use recovery::{Append, Cursor, Journal, ReplicaHeader, View, ViewId};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Duration, timeout},
};

/// Seed of all cases.
const SEED: u64 = 1;

/// Connections with arbitrary bytes.
const CONNECTIONS: usize = 200;

/// Valid messages with wild values.
const MESSAGES: usize = 200;

/// Longest wait for a connection to end; one whose message is not whole stays open.
const READ_WAIT: Duration = Duration::from_millis(5);

/// Numbers at the ends of their range and between.
const NUMBERS: [u32; 6] = [0, 1, 2, u32::MAX / 2, u32::MAX - 1, u32::MAX];

fn number(g: &mut Gen) -> u32 {
    *g.choose(&NUMBERS).unwrap()
}

fn view_id(g: &mut Gen) -> ViewId {
    let owner = VmId::try_from(*g.choose(&["entry-1", "entry-2"]).unwrap()).unwrap();
    ViewId { number: number(g), nonce: number(g) % 2, owner }
}

fn account() -> AccountName {
    AccountName::try_from("guild").unwrap()
}

fn append(g: &mut Gen) -> Append {
    let mut tokens = Journal::default();
    for _ in 0..usize::arbitrary(g) % 4 {
        tokens.push(number(g), "é\u{0} ");
    }
    let views =
        (0..3).map(|_| View { id: view_id(g), first_index: number(g) }).collect::<Vec<View>>();
    let install = ReplicaHeader { account: account(), request: b"\xff".as_slice().into(), views };
    Append {
        generation: "g1".into(),
        view: view_id(g),
        first_index: number(g),
        tokens,
        install: bool::arbitrary(g).then_some(install),
        finish: bool::arbitrary(g).then(|| b"\xff".as_slice().into()),
    }
}

/// A message header: the number of segments, their sizes in words, then arbitrary content.
fn bytes(g: &mut Gen) -> Vec<u8> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&(number(g) % 5).to_le_bytes());
    let sizes = [0, 1, 8, 1_000, u32::MAX / 8, u32::MAX];
    bytes.extend_from_slice(&g.choose(&sizes).unwrap().to_le_bytes());
    let content: Vec<u8> = (0..64).map(|_| u8::arbitrary(g)).collect();
    bytes.extend_from_slice(&content[..usize::arbitrary(g) % 64]);
    bytes
}

#[tokio::test]
async fn arbitrary_bytes_end_their_connection_only() {
    let (node, other) = (start(), start());
    let mut g = Gen::from_size_and_seed(64, SEED);
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(node.addr()).await.unwrap();
        stream.write_all(&bytes(&mut g)).await.unwrap();
        let _ = timeout(READ_WAIT, stream.read(&mut [0; 64])).await;
    }
    assert_eq!(other.handle().heartbeat(node.addr(), vec![7]).await.unwrap(), [7]);
    other.close().await;
    node.close().await;
}

/// The library's limit of 8 Mi words refuses a longer message by its header, before its content is there.
#[tokio::test]
async fn a_message_over_the_size_limit_ends_its_connection() {
    let node = start();
    let mut stream = TcpStream::connect(node.addr()).await.unwrap();
    stream.write_all(&[0, 0, 0, 0, 1, 0, 0, 1]).await.unwrap();
    let mut answer = Vec::new();
    let ended = timeout(Duration::from_secs(20), stream.read_to_end(&mut answer)).await;
    assert!(ended.is_ok());
    node.close().await;
}

#[tokio::test]
async fn valid_messages_with_wild_values_get_an_answer() {
    let (node, other) = (start(), start());
    let (peer, addr) = (other.handle(), node.addr());
    let mut g = Gen::from_size_and_seed(64, SEED);
    for _ in 0..MESSAGES {
        peer.append(addr, append(&mut g)).await.unwrap();
        let cursor = Cursor {
            generation: "g1".into(),
            view: view_id(&mut g),
            holder: None,
            index: number(&mut g),
        };
        let owner = VmId::try_from("entry-2").unwrap();
        let _ = peer.claim(addr, cursor.clone(), account(), owner, number(&mut g)).await.unwrap();
        let _ = peer.fetch(addr, cursor, account()).await.unwrap();
    }
    other.close().await;
    node.close().await;
}
