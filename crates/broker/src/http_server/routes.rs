//! Routing of a request to its handler, and the decision whether the connection closes with the response.

use super::HttpServer;
use super::connection::Connection;
use crate::query_handler::{RequestError, rejection_response, text_response};
use actix_http::header::{ALLOW, HeaderValue};
use actix_http::{ConnectionType, Method, Payload, Request, Response, StatusCode};
use bytes::Bytes;
use std::rc::Rc;
use tokio::time::Instant;

/// The path of queries.
const QUERY_PATH: &str = "/api";
/// The path of the readiness check.
const HEALTH_PATH: &str = "/_health";

impl HttpServer {
    /// Responds to one request, and decides whether its connection closes with the response.
    pub(super) async fn respond(&self, mut request: Request) -> Response<Bytes> {
        let Some(connection) = request.conn_data::<Rc<Connection>>().cloned() else {
            return text_response(StatusCode::INTERNAL_SERVER_ERROR, "a connection that is not known\n");
        };
        if connection.is_closing() {
            // The request was pipelined behind the last one that this connection answers, so no response can follow.
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "the connection ends\n");
            response.head_mut().set_connection_type(ConnectionType::Close);
            return response;
        }
        let guard = connection.begin_request();
        let has_body = !matches!(request.payload(), Payload::None);
        let client_closes = request.head().connection_type() == ConnectionType::Close;
        let mut response = self.route(request, &connection, guard.arrived).await;
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
        response
    }

    /// Calls the handler for the request's path.
    async fn route(&self, request: Request, connection: &Connection, arrived: Instant) -> Response<Bytes> {
        let allowed = match request.path() {
            QUERY_PATH => Method::POST,
            HEALTH_PATH => Method::GET,
            _ => return self.query_handler.reject(RequestError::UnknownPath),
        };
        if *request.method() != allowed {
            return self.reject_method(&allowed);
        }
        if allowed == Method::POST {
            return self.respond_to_query(request, connection, arrived).await;
        }
        match self.query_handler.engine.can_serve() {
            true => text_response(StatusCode::OK, "ready\n"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "no node is known yet\n"),
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
    ) -> Response<Bytes> {
        if connection.is_surplus {
            return rejection_response(self.query_handler.engine.epoch().retry_after);
        }
        let complete_body = || connection.complete_body();
        let response = self.query_handler.handle(request, arrived, complete_body).await;
        if !response.status().is_client_error() {
            connection.has_accepted_query.set(true);
        }
        response
    }
}
