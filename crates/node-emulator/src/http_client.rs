//! An HTTP client of a broker, and functions that format its requests.

use crate::http_server::read_head;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// An HTTP connection to a broker.
pub struct HttpClient {
    stream: BufReader<TcpStream>,
}

/// An HTTP response of a broker.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The status line and headers, in lower case.
    pub head: String,
    /// The body, decoded as UTF-8.
    pub body: String,
}

impl HttpClient {
    /// Connects to the broker at `address`.
    ///
    /// # Errors
    /// Returns an error if the connection can't be established.
    pub async fn connect(address: SocketAddr) -> io::Result<HttpClient> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(HttpClient { stream: BufReader::new(stream) })
    }

    /// Writes `text` to the connection without changes, so that a test can also send invalid requests.
    ///
    /// # Errors
    /// Returns an error if the write fails.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes()).await
    }

    /// Reads the next response. Returns `None` if the broker closed the connection or the response is malformed.
    pub async fn read_response(&mut self) -> Option<HttpResponse> {
        let head = read_head(&mut self.stream).await?.to_lowercase();
        let length =
            head.split("content-length: ").nth(1).map_or("0", |rest| rest.lines().next().unwrap_or("0"));
        let mut body = vec![0; length.parse().ok()?];
        self.stream.read_exact(&mut body).await.ok()?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(HttpResponse { status, body: String::from_utf8(body).ok()?, head })
    }
}

/// Formats the body of a query from its shards with their weights and its text.
pub fn query_body(shards: &[(u32, f64)], text: &str) -> String {
    let slices: Vec<Value> =
        shards.iter().map(|(shard, weight)| json!({"slice": shard, "mass": weight})).collect();
    json!({"slices": slices, "filter": text}).to_string()
}

/// Formats the HTTP request of a query without a tenant.
pub fn query_request(id: &str, class: &str, time_left_ms: u64, body: &str) -> String {
    tenant_query_request(None, id, class, time_left_ms, body)
}

/// Formats the HTTP request of a query, with a header for the tenant if one is given.
pub fn tenant_query_request(
    tenant: Option<&str>,
    id: &str,
    class: &str,
    time_left_ms: u64,
    body: &str,
) -> String {
    let tenant = tenant.map_or(String::new(), |tenant| format!("X-Account: {tenant}\r\n"));
    format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\n{tenant}X-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {time_left_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
