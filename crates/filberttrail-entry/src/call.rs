//! Validates callers' requests.

use bytes::Bytes;
use filberttrail_declare::View;
use filberttrail_declare::model::Team;
use filberttrail_fleet::blame::{SubjectId, whole_request};
use filberttrail_kernel::digest::{StableHasher, sha256_hex, stable_hash};
use filberttrail_protocol::frame::Key;
use filberttrail_route::{Request, prefix};
use filberttrail_web::Problem;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};

/// The maximum length of an idempotency key, in bytes.
const KEY_BYTES_LIMIT: usize = 255;
/// The approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// The target of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// Any upstream that serves this model.
    Model(String),
    /// Any instance of this service.
    Service(String),
}

/// A validated request, ready to be dispatched.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request id, as shown to the caller and in the logs.
    pub id: String,
    /// The name of the calling team.
    pub team: String,
    /// The team's relative share of the capacity.
    pub weight: u32,
    /// The model or service that is called.
    pub target: Target,
    /// The HTTP method.
    pub method: String,
    /// The path and query to send to the upstream.
    pub path: String,
    /// The headers to send to the upstream.
    pub headers: Vec<(String, Bytes)>,
    /// The request body.
    pub body: Bytes,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// The idempotency key, for an unrepeatable request that has one.
    pub key: Option<Key>,
    /// Hash of what the request asks for, see [`digest`].
    pub subject: SubjectId,
    /// The request's properties that the routing policy uses.
    pub route: Request,
}

fn bad_request(title: &str, detail: impl ToString) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, title, detail)
}

/// A received request whose body has been read, before validation.
#[derive(Debug)]
pub struct Incoming {
    /// The id that the entry assigned.
    pub id: String,
    /// The HTTP method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The request headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
}

/// Validates a completion request.
pub fn check_completion(view: &View, team: &Team, incoming: Incoming) -> Result<Call, Problem> {
    let Incoming { id, uri, headers, body, .. } = incoming;
    let path = uri.path();
    let value: serde_json::Value = serde_json::from_slice(&body)
        .map_err(|error| bad_request("malformed body", format!("send JSON: {error}")))?;
    let Some(object) = value.as_object() else {
        return Err(bad_request("malformed body", "send a JSON object"));
    };
    let Some(model) = object.get("model").and_then(|model| model.as_str()) else {
        return Err(bad_request("no model", "name one of GET /v1/models in 'model'"));
    };
    if !view.models_of(team).contains(model) {
        let detail = format!("use a model of GET /v1/models, not '{model}'");
        return Err(Problem::new(StatusCode::NOT_FOUND, "unknown model", detail));
    }
    if object.get("stream").is_some_and(|stream| !stream.is_boolean()) {
        return Err(bad_request("malformed body", "'stream' is true or false"));
    }
    if object.get("max_tokens").is_some_and(|tokens| tokens.as_u64().is_none_or(|n| n == 0)) {
        return Err(bad_request("malformed body", "'max_tokens' is a whole number above 0"));
    }
    let prompt = extract_prompt(object, path.ends_with("/chat/completions"))?;
    let prefixes = prefix::hash_prefixes(&prompt);
    let route =
        Request { sequence: 0, prompt_tokens: (prompt.len() / BYTES_PER_TOKEN) as u64, prefixes };
    Ok(Call {
        headers: forwarded_headers(&headers, &id, &team.name),
        id,
        team: team.name.clone(),
        weight: team.weight,
        target: Target::Model(model.to_string()),
        method: Method::POST.to_string(),
        path: path.to_string(),
        subject: digest(&team.name, model, Method::POST.as_str(), path, &body),
        body,
        repeatable: true,
        key: None,
        route,
    })
}

/// Returns a hash of what a request asks for: the team, the model or service, the method, the path with
/// its query, and the body. Requests that differ in other headers, such as their idempotency key, ask
/// for the same.
fn digest(team: &str, target: &str, method: &str, path: &str, body: &[u8]) -> SubjectId {
    let mut hasher = StableHasher::new();
    for field in [team.as_bytes(), target.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.write_field(field);
    }
    whole_request(hasher.finish())
}

fn extract_prompt(
    object: &serde_json::Map<String, serde_json::Value>,
    chat: bool,
) -> Result<String, Problem> {
    if !chat {
        let prompt = object.get("prompt").and_then(|prompt| prompt.as_str());
        let help = "send the text in 'prompt'";
        return prompt.map(str::to_string).ok_or_else(|| bad_request("no prompt", help));
    }
    let messages = object.get("messages").and_then(|messages| messages.as_array());
    let help = "send 'messages', each with 'role' and 'content' as text";
    let messages =
        messages.filter(|all| !all.is_empty()).ok_or_else(|| bad_request("no messages", help))?;
    let mut prompt = String::new();
    for message in messages {
        let content = message.get("content").and_then(|content| content.as_str());
        prompt.push_str(content.ok_or_else(|| bad_request("no messages", help))?);
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Validates a call of the service `name`.
pub fn check_service_call(
    view: &View,
    team: &Team,
    name: &str,
    incoming: Incoming,
) -> Result<Call, Problem> {
    let Incoming { id, method, uri, headers, body } = incoming;
    let Some(service) = view.service_of(team, name) else {
        let detail = format!("'{name}' is not one of the team's services");
        return Err(Problem::new(StatusCode::NOT_FOUND, "unknown service", detail));
    };
    let path = service_path(&uri, name)?;
    let bare = path.split('?').next().unwrap_or_default();
    let repeatable = service.is_repeatable(method.as_str(), bare);
    let raw_key = read_idempotency_key(&headers)?;
    let key = raw_key.filter(|_| !repeatable).map(|raw_key| {
        let digest = sha256_hex(format!("{}\n{raw_key}", team.name).as_bytes());
        let shard = stable_hash(digest.as_bytes()) % u64::from(service.claim_shards.max(1));
        let mut request = format!("{method} {path}\n").into_bytes();
        request.extend_from_slice(&body);
        let request = sha256_hex(&request);
        Key { service: name.to_string(), digest, request, shard: shard as u32 }
    });
    Ok(Call {
        headers: forwarded_headers(&headers, &id, &team.name),
        id,
        team: team.name.clone(),
        weight: team.weight,
        target: Target::Service(name.to_string()),
        subject: digest(&team.name, name, method.as_str(), &path, &body),
        method: method.to_string(),
        path,
        body,
        repeatable,
        key,
        route: Request::default(),
    })
}

/// Returns the path and query after the service's name.
///
/// Rejects dot segments, empty segments and encoded separators, since the service may resolve them
/// to a path other than the one that was checked for repeatability.
fn service_path(uri: &Uri, name: &str) -> Result<String, Problem> {
    let prefix = format!("/services/{name}");
    let rest = uri.path().strip_prefix(&prefix).unwrap_or_default();
    let lower = rest.to_ascii_lowercase();
    let dot_segment = lower.split('/').any(|segment| segment == "." || segment == "..");
    let encoded = ["%2e", "%2f", "%5c", "\\", "//"].iter().any(|mark| lower.contains(mark));
    if dot_segment || encoded {
        return Err(bad_request(
            "ambiguous path",
            "send a path without dots and encoded separators",
        ));
    }
    let path = if rest.is_empty() { "/" } else { rest };
    Ok(match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_string(),
    })
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all("idempotency-key").iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_request("bad idempotency key", "send the header once"));
    }
    let text = value.to_str().unwrap_or_default().trim();
    if text.is_empty() || text.len() > KEY_BYTES_LIMIT {
        let detail = format!("send 1 to {KEY_BYTES_LIMIT} printable ASCII characters");
        return Err(bad_request("bad idempotency key", detail));
    }
    Ok(Some(text.to_string()))
}

fn forwarded_headers(headers: &HeaderMap, id: &str, team: &str) -> Vec<(String, Bytes)> {
    let connection = headers.get("connection").and_then(|value| value.to_str().ok());
    let listed: Vec<String> = connection
        .map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()).collect())
        .unwrap_or_default();
    let forwarded = headers.iter().filter(|(name, _)| {
        !is_hop_or_entry_header(name.as_str()) && !listed.iter().any(|item| item == name.as_str())
    });
    let mut forwarded: Vec<(String, Bytes)> = forwarded
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    forwarded.push(("host".into(), Bytes::from_static(b"upstream")));
    forwarded.push(("x-request-id".into(), Bytes::copy_from_slice(id.as_bytes())));
    forwarded.push(("x-filberttrail-team".into(), Bytes::copy_from_slice(team.as_bytes())));
    forwarded
}

/// Returns whether a header is hop-by-hop (RFC 9110, section 7.6.1), or set by the entry itself.
fn is_hop_or_entry_header(name: &str) -> bool {
    const NAMES: [&str; 14] = [
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
        "x-filberttrail-team",
    ];
    NAMES.contains(&name)
}
