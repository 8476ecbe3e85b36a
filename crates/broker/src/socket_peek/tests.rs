//! Tests of the detection of unread bytes and of the peer's close.

use super::{has_at_least_unread, has_peer_closed, has_unread_bytes};
use rstest::rstest;
use socket2::SockRef;
use std::io::Write;
use tokio::net::{TcpListener, TcpStream};

async fn connect() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    (stream, peer)
}

/// On loopback, bytes and a close are visible to the system as soon as the peer's call returns, so no wait is needed.
#[rstest]
#[case::open(b"", false, false, false)]
#[case::open_with_bytes(b"abc", false, true, false)]
#[case::closed(b"", true, false, true)]
#[case::closed_behind_bytes(b"abc", true, true, false)]
fn detects_unread_bytes_and_close(
    #[case] bytes: &[u8],
    #[case] closes: bool,
    #[case] has_bytes: bool,
    #[case] has_closed: bool,
) {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let (stream, mut peer) = connect().await;
        peer.write_all(bytes).unwrap();
        let _peer = (!closes).then_some(peer);
        assert_eq!(has_unread_bytes(&stream), has_bytes);
        assert_eq!(has_at_least_unread(&stream, 3), has_bytes);
        assert!(!has_at_least_unread(&stream, 4));
        assert_eq!(has_peer_closed(&stream), has_closed);
    });
}

/// A reset must count as a close: a frame written on the connection would be lost.
#[rstest]
fn detects_reset() {
    actix_rt::Runtime::new().unwrap().block_on(async {
        let (stream, peer) = connect().await;
        SockRef::from(&peer).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        drop(peer);
        assert!(has_peer_closed(&stream));
        assert!(!has_unread_bytes(&stream));
    });
}
