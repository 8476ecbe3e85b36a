//! A discovery service that stores an endpoint list and lets brokers watch it.

use crate::http_server::{ok_response, read_head, request_path};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// A discovery service that stores an endpoint list and supports long polling: a request that waits for changes is
/// answered when the list changes or the wait times out. Requires a `LocalSet`, on whose thread the server runs.
pub struct DiscoveryCatalog {
    /// The address on which the service listens.
    pub address: SocketAddr,
    list: Rc<WatchedList>,
}

/// An endpoint with the revision that last changed it.
struct Entry {
    revision: u64,
    endpoint: Value,
}

#[derive(Default)]
struct WatchedList {
    revision: Cell<u64>,
    entries: RefCell<BTreeMap<String, Entry>>,
    changed: Notify,
    /// The number of requests that wait for a revision after the latest one.
    waiting_requests: Cell<usize>,
    /// Whether responses are withheld.
    is_unresponsive: Cell<bool>,
    resumed: Notify,
    bytes_sent: Cell<usize>,
}

/// Counts a waiting request until it is dropped.
struct WaitingRequest<'a> {
    list: &'a WatchedList,
}

impl<'a> WaitingRequest<'a> {
    fn new(list: &'a WatchedList) -> WaitingRequest<'a> {
        list.waiting_requests.set(list.waiting_requests.get() + 1);
        WaitingRequest { list }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.list.waiting_requests.set(self.list.waiting_requests.get() - 1);
    }
}

impl DiscoveryCatalog {
    /// Starts the service on a free loopback port, with an empty list.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn start() -> io::Result<DiscoveryCatalog> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (address, list) = (listener.local_addr()?, Rc::<WatchedList>::default());
        let served_list = list.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // Each response is written in one piece, so Nagle's algorithm would only delay it.
                let _ = stream.set_nodelay(true);
                spawn_local(serve(stream, served_list.clone()));
            }
        });
        Ok(DiscoveryCatalog { address, list })
    }

    /// Adds or replaces the endpoint with the given id, and notifies waiting requests.
    pub fn set(&self, id: &str, endpoint: Value) {
        let revision = self.list.revision.get() + 1;
        self.list.revision.set(revision);
        self.list.entries.borrow_mut().insert(id.to_owned(), Entry { revision, endpoint });
        self.list.changed.notify_waiters();
    }

    /// Withholds all responses if `is_unresponsive` is `true`. Requests received meanwhile are answered once the
    /// service is responsive again.
    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.list.is_unresponsive.set(is_unresponsive);
        self.list.resumed.notify_waiters();
    }

    /// Returns the total size of all responses, in bytes.
    pub fn bytes_sent(&self) -> usize {
        self.list.bytes_sent.get()
    }

    /// Returns the number of requests from brokers that know the latest revision and wait for the next one.
    pub fn waiting_requests(&self) -> usize {
        self.list.waiting_requests.get()
    }
}

async fn serve(stream: TcpStream, list: Rc<WatchedList>) {
    let mut stream = BufReader::new(stream);
    while let Some(head) = read_head(&mut stream).await {
        let body = list.answer(request_path(&head)).await;
        while list.is_unresponsive.get() {
            list.resumed.notified().await;
        }
        let response = ok_response(&body.to_string());
        list.bytes_sent.set(list.bytes_sent.get() + response.len());
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

impl WatchedList {
    async fn answer(&self, path: &str) -> Value {
        let Some(after) = query_number(path, "after") else { return self.endpoints_after(0, true) };
        let max_wait = Duration::from_millis(query_number(path, "wait_ms").unwrap_or(0));
        if after >= self.revision.get() {
            let _waiting = WaitingRequest::new(self);
            // After a change and after a time-out alike, the response has the endpoints changed since `after`.
            let _ = tokio::time::timeout(max_wait, self.changed.notified()).await;
        }
        self.endpoints_after(after, false)
    }

    fn endpoints_after(&self, revision: u64, is_complete: bool) -> Value {
        let entries = self.entries.borrow();
        let newer: Vec<&Value> =
            entries.values().filter(|entry| entry.revision > revision).map(|entry| &entry.endpoint).collect();
        json!({"revision": self.revision.get(), "complete": is_complete, "members": newer})
    }
}

fn query_number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
