//! Guards against calls between daemons that are lost, receive the answer to another call or never end.

mod common;

use crate::common::start_node;
use base::{AccountName, VmId};
use peer::{PeerError, PeerHandle, ReplicaSummary};
use recovery::{Append, AppendStatus, ClaimError, Cursor, Journal, ReplicaHeader, View, ViewId};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

fn view() -> ViewId {
    ViewId { number: 1, nonce: 9, owner: VmId::try_from("entry-1").unwrap() }
}

fn account() -> AccountName {
    AccountName::try_from("guild").unwrap()
}

/// Returns an append to `generation`. It installs a new replica if `first_index` is 0.
fn append(generation: &str, first_index: u32, texts: &[&str]) -> Append {
    let mut tokens = Journal::default();
    for (index, text) in texts.iter().enumerate() {
        tokens.push(first_index + index as u32, text);
    }
    let views = vec![View { id: view(), first_index: 0 }];
    let header = (first_index == 0).then(|| ReplicaHeader {
        account: account(),
        request: b"{}".as_slice().into(),
        views,
    });
    Append {
        generation: generation.into(),
        view: view(),
        first_index,
        tokens,
        install: header,
        finish: None,
    }
}

fn cursor(index: u32) -> Cursor {
    Cursor { generation: "gen-1".into(), view: view(), holder: None, index }
}

#[tokio::test]
async fn each_call_returns_its_own_answer() {
    let (node, client) = (start_node(), start_node());
    let (peer, addr) = (client.handle(), node.addr());
    let status = peer.append(addr, append("gen-1", 0, &["än ", "bell"])).await.unwrap();
    assert_eq!(status, AppendStatus::Accepted);
    assert_eq!(peer.append(addr, append("gen-2", 4, &["x"])).await.unwrap(), AppendStatus::Unknown);
    let found = peer.fetch(addr, cursor(2), account()).await.unwrap();
    assert_eq!(found, Ok(ReplicaSummary { view_number: 1, token_count: 2 }));
    let owner = VmId::try_from("entry-2").unwrap();
    let replica = peer.claim(addr, cursor(1), account(), owner.clone(), 3).await.unwrap().unwrap();
    assert_eq!(replica.tokens().text(), "än bell");
    assert_eq!(replica.tokens().text_at(1), "bell");
    assert_eq!(replica.view(), Some(&ViewId { number: 2, nonce: 3, owner }));
    assert_eq!(
        peer.append(addr, append("gen-1", 2, &["x"])).await.unwrap(),
        AppendStatus::Superseded
    );
    let other_account = AccountName::try_from("other").unwrap();
    assert_eq!(peer.fetch(addr, cursor(0), other_account).await.unwrap(), Err(ClaimError::Account));
    assert_eq!(peer.heartbeat(addr, b"abc".to_vec()).await.unwrap(), b"cba");
    assert_eq!(peer.config(addr, 6).await.unwrap().unwrap().revision, 7);
    assert_eq!(peer.config(addr, 7).await.unwrap(), None);
    client.close().await;
    node.close().await;
}

#[tokio::test]
async fn concurrent_appends_each_return_their_own_status() {
    let (node, client) = (start_node(), start_node());
    let (peer, addr) = (client.handle(), node.addr());
    let calls = (0..500).map(|number| {
        let peer: PeerHandle = peer.clone();
        async move { peer.append(addr, append(&format!("gen-{number}"), number % 2, &["a"])).await }
    });
    let statuses = futures::future::join_all(calls).await;
    for (number, status) in statuses.into_iter().enumerate() {
        let expected = if number % 2 == 0 { AppendStatus::Accepted } else { AppendStatus::Unknown };
        assert_eq!(status.unwrap(), expected);
    }
}

#[tokio::test]
async fn an_unresponsive_connection_is_replaced() {
    let (node, client) = (start_node(), start_node());
    let relay = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (relay_addr, node_addr) = (relay.local_addr().unwrap(), node.addr());
    tokio::spawn(async move {
        // The first connection stays open and delivers nothing.
        let _unresponsive = relay.accept().await.unwrap();
        loop {
            let (mut inbound, _) = relay.accept().await.unwrap();
            let mut outbound = TcpStream::connect(node_addr).await.unwrap();
            tokio::spawn(async move {
                let _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound).await;
            });
        }
    });
    let status = client.handle().append(relay_addr, append("gen-1", 0, &["a"])).await.unwrap();
    assert_eq!(status, AppendStatus::Accepted);
}

#[tokio::test]
async fn a_call_to_an_unresponsive_peer_times_out() {
    let client = start_node();
    let unresponsive = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr: SocketAddr = unresponsive.local_addr().unwrap();
    let outcome = client.handle().heartbeat(addr, vec![1]).await;
    assert!(matches!(outcome, Err(PeerError::Timeout)));
    drop(unresponsive);
    let outcome = client.handle().heartbeat(addr, vec![1]).await;
    assert!(outcome.is_err());
}

#[tokio::test]
async fn a_closed_node_frees_its_address_and_ends_calls() {
    let (node, client) = (start_node(), start_node());
    let addr = node.addr();
    assert!(client.handle().heartbeat(addr, vec![1]).await.is_ok());
    let handle = node.handle();
    node.close().await;
    assert!(client.handle().heartbeat(addr, vec![1]).await.is_err());
    assert!(matches!(handle.heartbeat(addr, vec![1]).await, Err(PeerError::Stopped)));
    assert!(std::net::TcpListener::bind(addr).is_ok());
}
