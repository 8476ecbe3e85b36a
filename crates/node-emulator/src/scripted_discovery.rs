//! A discovery service whose responses are supplied by a test.

use crate::http_server::{ok_response, read_head, request_path};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;

/// A discovery service that answers each request with the next response supplied by the test, and leaves requests
/// unanswered while there is none. Requires a `LocalSet`, on whose thread the server runs.
pub struct ScriptedDiscovery {
    /// The address on which the service listens.
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<String>,
    responses: Rc<ResponseQueue>,
}

#[derive(Default)]
struct ResponseQueue {
    bodies: RefCell<VecDeque<String>>,
    added: Notify,
}

impl ResponseQueue {
    async fn next(&self) -> String {
        loop {
            let next = self.bodies.borrow_mut().pop_front();
            match next {
                Some(body) => return body,
                None => self.added.notified().await,
            }
        }
    }
}

impl ScriptedDiscovery {
    /// Starts the service on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub async fn start() -> io::Result<ScriptedDiscovery> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (request_sender, requests) = mpsc::unbounded_channel();
        let responses = Rc::<ResponseQueue>::default();
        let served_responses = responses.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(stream, request_sender.clone(), served_responses.clone()));
            }
        });
        Ok(ScriptedDiscovery { address, requests, responses })
    }

    /// Adds the body of the next response to the queue.
    pub fn respond(&self, body: impl ToString) {
        self.responses.bodies.borrow_mut().push_back(body.to_string());
        self.responses.added.notify_one();
    }

    /// Waits for the next request and returns its path. Returns `None` once the server has ended.
    pub async fn next_request(&mut self) -> Option<String> {
        self.requests.recv().await
    }
}

async fn serve(stream: TcpStream, requests: mpsc::UnboundedSender<String>, responses: Rc<ResponseQueue>) {
    let mut stream = BufReader::new(stream);
    while let Some(head) = read_head(&mut stream).await {
        let _ = requests.send(request_path(&head).to_owned());
        let body = responses.next().await;
        if stream.write_all(ok_response(&body).as_bytes()).await.is_err() {
            return;
        }
    }
}
