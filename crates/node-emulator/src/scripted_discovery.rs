//! Discovery whose responses a test gives one by one.

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

/// Discovery that answers each request with the next response that it is given, or stays silent. It lives on
/// the thread that drives it, within a `LocalSet`.
pub struct ScriptedDiscovery {
    /// Where it listens.
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
    /// Listens on a free port of loopback.
    ///
    /// # Errors
    /// As of the socket.
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

    /// Gives the next response.
    pub fn respond(&self, body: impl ToString) {
        self.responses.bodies.borrow_mut().push_back(body.to_string());
        self.responses.added.notify_one();
    }

    /// The path of the next request; none: the server is gone.
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
