//! The life of one retrieval on a socket, from its request to its answer.

use crate::desk::{Desk, NotTaken, Question, QuestionPart, Verdict};
use crate::limits::Limits;
use actix_http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_http::{HttpMessage, Request, Response, ResponseBuilder, StatusCode};
use barleydrum::{CallerNo, Category, CategoryNo, EffectKind, ShardNo, Tenths};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use intake::Names;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use tracing::warn;

const ID: &str = "X-Correlation-Id";
const CATEGORY: &str = "X-Service-Class";
const CALLER: &str = "X-Account";
const MARK: &str = "Idempotency-Key";
const TIME_LEFT: &str = "X-Time-Left-Ms";

#[derive(Deserialize)]
struct Asked<'a> {
    #[serde(rename = "slices")]
    parts: Vec<AskedPart>,
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
    parts: Vec<AnsweredPart<'a>>,
}

#[derive(Serialize)]
struct AnsweredPart<'a> {
    #[serde(rename = "slice")]
    shard: u32,
    #[serde(rename = "body")]
    value: &'a str,
}

/// What a retrieval is served with.
pub struct Counter {
    pub desk: Rc<Desk>,
    pub names: Names,
    pub categories: Vec<Category>,
    pub shards: u32,
    pub limits: Rc<Limits>,
}

/// Serves one retrieval. Dropped on the way, because its client has gone, it tells the module so.
pub async fn serve(counter: &Counter, mut request: Request, arrived: Instant) -> Response<Bytes> {
    let Counter { desk, limits, .. } = counter;
    let Some(held) = desk.hold(limits.body) else { return decline(Tenths::ZERO) };
    let body = match timeout(limits.slow, read_body(&mut request, limits.body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => return bad(status, "a body that is too long or breaks off"),
        Err(_) => return bad(StatusCode::REQUEST_TIMEOUT, "a body that does not come"),
    };
    let question = match read_question(counter, &request, &body, arrived) {
        Ok(question) => question,
        Err(why) => return bad(StatusCode::BAD_REQUEST, why),
    };
    drop((held, body));
    if !can_be_carried(counter, &request, question.category) {
        return decline(Tenths::ZERO);
    }
    let verdict = match desk.take(question) {
        Ok(taken) => taken.verdict().await,
        Err(NotTaken::Full) => Verdict::Decline { stay_away: Tenths::ZERO },
        Err(NotTaken::Known) => return bad(StatusCode::BAD_REQUEST, "an id that is open already"),
    };
    match verdict {
        Verdict::Answer { whole, items } => answer(whole, &items, limits.body),
        Verdict::Decline { stay_away } => decline(stay_away),
        Verdict::Scrap => plain(StatusCode::BAD_GATEWAY, "the retrieval failed\n"),
    }
}

/// Guards against effects twice, and answers less than they say: a numbered retrieval's mark has no place in
/// a call, so what brings one is not sent without it; and there is no second step, without which an answer
/// of a category that has one holds nothing.
fn can_be_carried(counter: &Counter, request: &Request, category: CategoryNo) -> bool {
    counter.categories.get(category.0 as usize).is_some_and(|category| {
        let marked = category.effect == EffectKind::Numbered && request.headers().contains_key(MARK);
        !marked && category.second_parts == 0
    })
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

/// Takes out the fields that decide; the text that parts carry stays the bytes that came.
fn read_question(
    counter: &Counter,
    request: &Request,
    body: &Bytes,
    arrived: Instant,
) -> Result<Question, &'static str> {
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let id = header(ID).ok_or("no id")?;
    if id.is_empty() || id.len() > counter.limits.id || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("an id that can't be passed on");
    }
    let category = header(CATEGORY).ok_or("no category")?;
    let category = counter.names.categories.iter().position(|name| name == category);
    let category = CategoryNo(category.ok_or("an unknown category")? as u16);
    // A caller that the settings do not name has no share of its own.
    let caller = header(CALLER).map_or(Some(0), |c| counter.names.callers.iter().position(|name| name == c));
    let caller = CallerNo(caller.map_or(u32::MAX, |caller| caller as u32));
    let time_left: u64 = header(TIME_LEFT).and_then(|text| text.parse().ok()).ok_or("no time left told")?;
    let time_left = Duration::from_millis(time_left).min(counter.limits.longest_wait);
    let asked: Asked = serde_json::from_slice(body).map_err(|_| "a body that can't be read")?;
    let shards: BTreeSet<u32> = asked.parts.iter().map(|part| part.shard).collect();
    if shards.is_empty() || shards.len() < asked.parts.len() {
        return Err("no parts, or one twice");
    }
    if shards.last().is_some_and(|shard| *shard >= counter.shards) {
        return Err("an unknown shard");
    }
    let sum: f64 = asked.parts.iter().map(|part| part.weight).sum();
    let sound = asked.parts.iter().all(|part| part.weight >= 0.0);
    if !sound || (sum - 1.0).abs() > counter.limits.weight_slack {
        return Err("weights that do not make a whole");
    }
    let work: Option<f64> = asked.parts.iter().map(|part| part.work_us).sum();
    let text = match asked.text {
        Cow::Borrowed(text) => body.slice_ref(text.as_bytes()),
        Cow::Owned(text) => Bytes::from(text),
    };
    let part = |part: &AskedPart| QuestionPart { shard: ShardNo(part.shard), weight: part.weight };
    Ok(Question {
        id: Bytes::copy_from_slice(id.as_bytes()),
        category,
        caller,
        until: arrived + time_left,
        work: Tenths::from_ms(work.unwrap_or(0.0).max(0.0) / 1000.0),
        parts: asked.parts.iter().map(part).collect(),
        text,
        holds: body.len(),
    })
}

fn answer(whole: bool, items: &[(ShardNo, Bytes)], most: usize) -> Response<Bytes> {
    let mut texts = Vec::with_capacity(items.len());
    for (shard, value) in items {
        // A frame that brings no text is a bad one, so all of them are.
        texts.extend(std::str::from_utf8(value).map(|value| AnsweredPart { shard: shard.0, value }));
    }
    let body = serde_json::to_vec(&Answered { whole, parts: texts }).ok();
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
pub fn decline(stay_away: Tenths) -> Response<Bytes> {
    let mut response = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    if stay_away > Tenths::ZERO {
        response.insert_header((RETRY_AFTER, format!("{:.4}", stay_away.as_ms() / 1000.0)));
    }
    respond(&mut response, "declined\n")
}

/// Tells a client what is wrong with its request, and the log too.
pub fn bad(status: StatusCode, why: &'static str) -> Response<Bytes> {
    warn!("{}: {why}", status.as_u16());
    let mut response = Response::build(status);
    if status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::REQUEST_TIMEOUT {
        // The rest of the body is not waited for.
        response.force_close();
    }
    respond(&mut response, format!("{why}\n"))
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
