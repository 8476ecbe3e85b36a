//! The life of one query on a socket, from its request to its answer.

use crate::config_epoch::ConfigEpoch;
use crate::engine::{AdmissionError, Engine, QueryOutcome, QueryRequest, RequestedShard};
use crate::limits::Limits;
use actix_http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER, UPGRADE};
use actix_http::{HttpMessage, Request, Response, ResponseBuilder, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use routing::{ClassId, Idempotency, ShardId, TenantId, Tenths};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tracing::warn;

const ID: &str = "X-Correlation-Id";
const CATEGORY: &str = "X-Service-Class";
const CALLER: &str = "X-Account";
const MARK: &str = "Idempotency-Key";
const TIME_LEFT: &str = "X-Time-Left-Ms";

#[derive(Deserialize)]
struct Asked<'a> {
    #[serde(rename = "slices")]
    shard_requests: Vec<AskedPart>,
    #[serde(rename = "filter", borrow)]
    text: Cow<'a, str>,
}

#[derive(Deserialize)]
struct AskedPart {
    #[serde(rename = "slice")]
    shard: u32,
    #[serde(rename = "mass")]
    weight: f64,
    #[serde(rename = "micros")]
    work_us: Option<f64>,
}

#[derive(Serialize)]
struct Answered<'a> {
    #[serde(rename = "entire")]
    whole: bool,
    #[serde(rename = "items")]
    shard_requests: Vec<AnsweredPart<'a>>,
}

#[derive(Serialize)]
struct AnsweredPart<'a> {
    #[serde(rename = "slice")]
    shard: u32,
    #[serde(rename = "body")]
    value: &'a str,
}

/// What a query is served with.
pub struct QueryHandler {
    pub engine: Rc<Engine>,
    pub limits: Rc<Limits>,
    pub wrongs: RejectedRequests,
}

/// What was wrong with requests, summed up: a line for each would be a load under a flood.
#[derive(Default)]
pub struct RejectedRequests(RefCell<BTreeMap<(u16, &'static str), usize>>);

impl RejectedRequests {
    pub fn note(&self, status: u16, why: &'static str) {
        *self.0.borrow_mut().entry((status, why)).or_default() += 1;
    }

    /// What has come together since the last time, a line for each kind.
    pub fn take(&self) -> Vec<String> {
        let line = |((status, why), times)| format!("{status}: {why} ({times} times)");
        self.0.take().into_iter().map(line).collect()
    }
}

impl QueryHandler {
    /// Tells a client what is wrong with its request, and the log in time.
    pub fn bad(&self, status: StatusCode, why: &'static str) -> Response<Bytes> {
        self.wrongs.note(status.as_u16(), why);
        let mut response = Response::build(status);
        if status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::REQUEST_TIMEOUT {
            // The rest of the body is not waited for.
            response.force_close();
        }
        respond(&mut response, format!("{why}\n"))
    }
}

/// Serves one query. Dropped on the way, because its client has gone, it tells the module so.
/// `whole` is called once its request has come.
pub async fn serve(
    counter: &QueryHandler,
    mut request: Request,
    arrived: Instant,
    whole: impl FnOnce(),
) -> Response<Bytes> {
    let QueryHandler { engine, limits, .. } = counter;
    let told = match told_length(&request) {
        Ok(told) => told.unwrap_or(limits.max_body_bytes),
        Err(why) => return counter.bad(StatusCode::BAD_REQUEST, why),
    };
    if told > limits.max_body_bytes {
        return counter.bad(StatusCode::PAYLOAD_TOO_LARGE, "a body that is too long");
    }
    let Some(held) = engine.reserve_memory(told) else { return decline(engine.epoch().retry_after) };
    let body =
        match timeout_at(arrived + limits.client_io_timeout, read_body(&mut request, limits.max_body_bytes))
            .await
        {
            Ok(Ok(body)) => body,
            Ok(Err(status)) => return counter.bad(status, "a body that is too long or breaks off"),
            Err(_) => return counter.bad(StatusCode::REQUEST_TIMEOUT, "a body that does not come"),
        };
    whole();
    // One edition from here to the hand-over; nothing is waited for in between.
    let epoch = engine.epoch();
    let question = match read_question(limits, &epoch, &request, &body, arrived) {
        Ok(question) => question,
        Err(why) => return counter.bad(StatusCode::BAD_REQUEST, why),
    };
    drop((held, body));
    if !can_be_carried(&epoch, &request, question.class) {
        return decline(epoch.retry_after);
    }
    let verdict = match engine.submit(question) {
        Ok(taken) => taken.outcome().await,
        Err(AdmissionError::Overloaded) => QueryOutcome::Rejected { retry_after: epoch.retry_after },
        Err(AdmissionError::DuplicateId) => {
            return counter.bad(StatusCode::BAD_REQUEST, "an id that is open already");
        }
    };
    match verdict {
        QueryOutcome::Response { complete, responses } => answer(complete, &responses, limits.max_body_bytes),
        QueryOutcome::Rejected { retry_after } => decline(retry_after),
        QueryOutcome::Failed => plain(StatusCode::BAD_GATEWAY, "the retrieval failed\n"),
    }
}

/// Guards against effects twice, and answers less than they say: a numbered query's mark has no place in
/// a call, so what brings one is not sent without it; and there is no second step, without which an answer
/// of a class that has one holds nothing.
fn can_be_carried(epoch: &ConfigEpoch, request: &Request, class: ClassId) -> bool {
    epoch.classes.get(&class).is_some_and(|class| {
        let marked = class.effect == Idempotency::IdempotencyKey && request.headers().contains_key(MARK);
        !marked && class.second_parts == 0
    })
}

/// The body's length, where it is told. Guards against bodies that are read for nothing, and against what the
/// HTTP server takes for the end of requests: after a wish to speak another protocol it reads on for ever.
fn told_length(request: &Request) -> Result<Option<usize>, &'static str> {
    let headers = request.headers();
    if headers.contains_key(UPGRADE) {
        return Err("another protocol is asked for");
    }
    let told = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    told.map(|text| text.trim().parse().map_err(|_| "a length that can't be read")).transpose()
}

async fn read_body(request: &mut Request, most: usize) -> Result<Bytes, StatusCode> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > most {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Takes out the fields that decide; the text that shard requests carry stays the bytes that came.
fn read_question(
    limits: &Limits,
    epoch: &ConfigEpoch,
    request: &Request,
    body: &Bytes,
    arrived: Instant,
) -> Result<QueryRequest, &'static str> {
    let headers = request.headers();
    if [ID, CATEGORY, CALLER, TIME_LEFT].iter().any(|name| headers.get_all(*name).count() > 1) {
        return Err("a header that comes twice");
    }
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = header(ID).ok_or("no id")?;
    if id.is_empty()
        || id.len() > limits.max_query_id_bytes
        || !id.bytes().all(|byte| byte.is_ascii_graphic())
    {
        return Err("an id that can't be passed on");
    }
    let unknown = |why| {
        // Counted, unlike what else is wrong: a new edition may have struck what its clients still ask for.
        epoch.count(|counts| {
            (counts.ended, counts.not_accepted) = (counts.ended + 1, counts.not_accepted + 1)
        });
        why
    };
    let class = epoch.names.class(header(CATEGORY).ok_or("no category")?);
    let class = class.filter(|class| epoch.classes.contains_key(class));
    let class = class.ok_or_else(|| unknown("an unknown category"))?;
    // A tenant that the settings do not name has no share of its own.
    let tenant = header(CALLER).map_or(Some(TenantId(0)), |tenant| epoch.names.tenant(tenant));
    let tenant = tenant.unwrap_or(TenantId(u32::MAX));
    let digits = header(TIME_LEFT).filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let time_left: u64 = digits.and_then(|text| text.parse().ok()).ok_or("no time left told")?;
    let time_left = Duration::from_millis(time_left).min(limits.max_client_wait);
    let asked: Asked = serde_json::from_slice(body).map_err(|_| "a body that can't be read")?;
    let shards: BTreeSet<u32> =
        asked.shard_requests.iter().map(|shard_request| shard_request.shard).collect();
    if shards.is_empty() || shards.len() < asked.shard_requests.len() {
        return Err("no parts, or one twice");
    }
    if shards.last().is_some_and(|shard| *shard >= epoch.shards) {
        return Err(unknown("an unknown shard"));
    }
    let sum: f64 = asked.shard_requests.iter().map(|shard_request| shard_request.weight).sum();
    let sound = asked.shard_requests.iter().all(|shard_request| (0.0..=1.0).contains(&shard_request.weight));
    if !sound || (sum - 1.0).abs() > limits.weight_sum_tolerance {
        return Err("weights that do not make a whole");
    }
    let work: Option<f64> = asked.shard_requests.iter().map(|shard_request| shard_request.work_us).sum();
    let text = match asked.text {
        Cow::Borrowed(text) => body.slice_ref(text.as_bytes()),
        Cow::Owned(text) => Bytes::from(text),
    };
    let shard_request = |shard_request: &AskedPart| RequestedShard {
        shard: ShardId(shard_request.shard),
        weight: shard_request.weight,
    };
    Ok(QueryRequest {
        id: Bytes::copy_from_slice(id.as_bytes()),
        class,
        tenant,
        deadline: arrived + time_left,
        work: Tenths::from_ms(work.unwrap_or(0.0).max(0.0) / 1000.0),
        shard_requests: asked.shard_requests.iter().map(shard_request).collect(),
        text,
        retained_bytes: body.len(),
    })
}

fn answer(whole: bool, items: &[(ShardId, Bytes)], most: usize) -> Response<Bytes> {
    let mut texts = Vec::with_capacity(items.len());
    for (shard, value) in items {
        // A frame that brings no text is a bad one, so all of them are.
        texts.extend(std::str::from_utf8(value).map(|value| AnsweredPart { shard: shard.0, value }));
    }
    let body = serde_json::to_vec(&Answered { whole, shard_requests: texts }).ok();
    match body.filter(|body| body.len() <= most) {
        Some(body) => {
            respond(Response::build(StatusCode::OK).insert_header((CONTENT_TYPE, "application/json")), body)
        }
        None => {
            warn!("an answer longer than a body may be is given up");
            plain(StatusCode::BAD_GATEWAY, "the answer is too long\n")
        }
    }
}

/// Turned away: asking again is harmless.
pub fn decline(retry_after: Tenths) -> Response<Bytes> {
    let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    if retry_after > Tenths::ZERO {
        response.insert_header((RETRY_AFTER, format!("{:.4}", retry_after.as_ms() / 1000.0)));
    }
    respond(&mut response, "declined\n")
}

pub fn plain(status: StatusCode, text: &'static str) -> Response<Bytes> {
    respond(&mut Response::build(status), text)
}

fn respond(response: &mut ResponseBuilder, body: impl Into<Bytes>) -> Response<Bytes> {
    let body = body.into();
    response
        .message_body(body)
        .unwrap_or_else(|_| Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// However many wrong requests come, the log gets a line for each kind.
    #[rstest]
    fn sums_up_what_was_wrong() {
        let wrongs = RejectedRequests::default();
        (0..1000).for_each(|_| wrongs.note(400, "no id"));
        wrongs.note(413, "a body that is too long");
        assert_eq!(wrongs.take(), ["400: no id (1000 times)", "413: a body that is too long (1 times)"]);
        assert!(wrongs.take().is_empty());
    }
}
