//! The HTTP that the discovery peers speak.

use tokio::io::AsyncBufReadExt;

/// The head of the next request or response; none: the peer closed the connection.
pub(crate) async fn read_head(from: &mut (impl AsyncBufReadExt + Unpin)) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    Some(head)
}

/// The path of a request, with its query.
pub(crate) fn request_path(head: &str) -> &str {
    head.split(' ').nth(1).unwrap_or("")
}

/// A response of status 200.
pub(crate) fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
