//! Routing of a request to its handler, and the decision whether the connection closes with the response.

use super::HttpServer;
use super::connection::Connection;
use super::response_body::ResponseBody;
use crate::query_handler::{HandledRequest, RequestError, rejection_response, text_response};
use actix_http::header::{ALLOW, CONTENT_LENGTH, HeaderValue};
use actix_http::{ConnectionType, HttpMessage, Method, Payload, Request, Response, StatusCode};
use bytes::Bytes;
use std::rc::Rc;
use tokio::time::Instant;

/// The path of queries.
const QUERY_PATH: &str = "/api";
/// The path of the readiness check.
const HEALTH_PATH: &str = "/_health";

impl HttpServer {
    /// Responds to one request, and decides whether its connection closes with the response.
    pub(super) async fn respond(&self, request: Request) -> Response<ResponseBody> {
        let Some(connection) = request.conn_data::<Rc<Connection>>().cloned() else {
            let response =
                text_response(StatusCode::INTERNAL_SERVER_ERROR, "a connection that is not known\n");
            return response.map_body(|_, bytes| ResponseBody::without_connection(bytes));
        };
        let HandledRequest { response, memory } = self.respond_on(&connection, request).await;
        response.map_body(|_, bytes| ResponseBody::new(connection, bytes, memory))
    }

    /// Responds to one request on a known connection.
    async fn respond_on(&self, connection: &Connection, mut request: Request) -> HandledRequest {
        if connection.is_closing() {
            // The request was pipelined behind the last one that this connection answers, so no response can follow.
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "the connection ends\n");
            response.head_mut().set_connection_type(ConnectionType::Close);
            return response.into();
        }
        let guard = connection.begin_request(body_bytes(&mut request));
        let has_body = has_body(&mut request);
        let client_closes = request.head().connection_type() == ConnectionType::Close;
        let HandledRequest { mut response, memory } = self.route(request, connection, guard.arrived).await;
        // A client that keeps sending bad requests is disconnected: reconnecting slows it down.
        let has_too_many_errors = connection.count_client_error(response.status().is_client_error());
        let has_unread_body = has_body && !connection.is_body_complete();
        let server_closes = connection.is_surplus
            || self.is_closing.get()
            || connection.close_after_response.get()
            || has_too_many_errors;
        if client_closes || server_closes || has_unread_body {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        match response.head().connection_type() {
            ConnectionType::Close => guard.finish_and_close(!has_unread_body),
            _ => guard.finish(),
        }
        HandledRequest { response, memory }
    }

    /// Calls the handler for the request's path.
    async fn route(&self, request: Request, connection: &Connection, arrived: Instant) -> HandledRequest {
        let allowed = match request.path() {
            QUERY_PATH => Method::POST,
            HEALTH_PATH => Method::GET,
            _ => return self.query_handler.reject(RequestError::UnknownPath).into(),
        };
        if *request.method() != allowed {
            return self.reject_method(&allowed).into();
        }
        if allowed == Method::POST {
            return self.respond_to_query(request, connection, arrived).await;
        }
        match self.query_handler.engine.can_serve() {
            true => text_response(StatusCode::OK, "ready\n").into(),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "no node is known yet\n").into(),
        }
    }

    /// Rejects a method that the path's handler does not serve (405).
    fn reject_method(&self, allowed: &Method) -> Response<Bytes> {
        let mut response = self.query_handler.reject(RequestError::MethodNotAllowed);
        if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
            response.headers_mut().insert(ALLOW, allowed);
        }
        response
    }

    /// Handles a query. On a surplus connection the query is rejected (503) without being read.
    async fn respond_to_query(
        &self,
        request: Request,
        connection: &Connection,
        arrived: Instant,
    ) -> HandledRequest {
        if connection.is_surplus {
            return rejection_response(self.query_handler.engine.epoch().retry_after).into();
        }
        let complete_body = || connection.complete_body();
        let handled = self.query_handler.handle(request, arrived, complete_body).await;
        if !handled.response.status().is_client_error() {
            connection.has_accepted_query.set(true);
        }
        handled
    }
}

/// Returns whether a request has a body.
fn has_body(request: &mut Request) -> bool {
    !matches!(request.payload(), Payload::None)
}

/// Returns the length of a request's body, or `None` if the body is in chunks, whose length is not known.
fn body_bytes(request: &mut Request) -> Option<usize> {
    if !has_body(request) {
        return Some(0);
    }
    let length = request.headers().get(CONTENT_LENGTH)?;
    length.to_str().ok()?.trim().parse().ok()
}
