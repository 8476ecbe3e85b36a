//! The minimal HTTP/1.1 support of the discovery peers.

use tokio::io::AsyncBufReadExt;

/// Reads the head of the next request or response. Returns `None` if the peer closed the connection.
pub(crate) async fn read_head(from: &mut (impl AsyncBufReadExt + Unpin)) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(head)
}

/// Returns the path of a request, including the query string.
pub(crate) fn request_path(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("")
}

/// Formats a response with status 200.
pub(crate) fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
