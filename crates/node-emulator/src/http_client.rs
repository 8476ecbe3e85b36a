//! A client of a broker, and the requests that it sends.

use crate::http_server::read_head;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// One connection to a broker.
pub struct HttpClient {
    stream: BufReader<TcpStream>,
}

/// What a broker responded.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The status line and headers, in lower case.
    pub head: String,
    /// The body.
    pub body: String,
}

impl HttpClient {
    /// Connects to an address.
    ///
    /// # Errors
    /// As of the socket.
    pub async fn connect(address: SocketAddr) -> io::Result<HttpClient> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(HttpClient { stream: BufReader::new(stream) })
    }

    /// Writes a text as it is.
    ///
    /// # Errors
    /// As of the socket.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.get_mut().write_all(text.as_bytes()).await
    }

    /// The next response; none: the broker closed the connection.
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

/// A query's body: shards and weights.
pub fn query_body(shards: &[(u32, f64)], text: &str) -> String {
    let slices: Vec<Value> =
        shards.iter().map(|(shard, weight)| json!({"slice": shard, "mass": weight})).collect();
    json!({"slices": slices, "filter": text}).to_string()
}

/// A query's request, of no tenant.
pub fn query_request(id: &str, class: &str, time_left_ms: u64, body: &str) -> String {
    tenant_query_request(None, id, class, time_left_ms, body)
}

/// A query's request, of a tenant where one is given.
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
