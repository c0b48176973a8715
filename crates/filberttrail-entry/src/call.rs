//! A caller's request, checked.

use bytes::Bytes;
use filberttrail_declare::View;
use filberttrail_declare::model::Team;
use filberttrail_kernel::digest::{hexadecimal, stable_hash};
use filberttrail_protocol::frame::Key;
use filberttrail_route::{Request, prefix};
use filberttrail_web::Problem;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};

/// The longest idempotency key, in bytes.
const KEY_BYTES: usize = 255;
/// Characters of a prompt for one token, roughly.
const CHARACTERS: usize = 4;

/// What a request is for.
#[derive(Debug, Clone, PartialEq)]
pub enum Target {
    /// A model.
    Model(String),
    /// A service.
    Service(String),
}

/// A request that may be dispatched.
#[derive(Debug, Clone)]
pub struct Call {
    /// The id to ask operators about.
    pub id: String,
    /// The team that asks.
    pub team: String,
    /// The team's weight.
    pub weight: u32,
    /// What it is for.
    pub target: Target,
    /// The method.
    pub method: String,
    /// Path and query, as the upstream gets them.
    pub path: String,
    /// Headers, as the upstream gets them.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// The idempotency key.
    pub key: Option<Key>,
    /// What routing looks at.
    pub route: Request,
}

fn bad(title: &str, detail: impl ToString) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, title, detail)
}

/// A request as it came, with its body read.
#[derive(Debug)]
pub struct Incoming {
    /// The id given to it.
    pub id: String,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Checks a completion.
pub fn completion(view: &View, team: &Team, incoming: Incoming) -> Result<Call, Problem> {
    let Incoming { id, uri, headers, body, .. } = incoming;
    let path = uri.path();
    let value: serde_json::Value = serde_json::from_slice(&body)
        .map_err(|fault| bad("malformed body", format!("send JSON: {fault}")))?;
    let Some(object) = value.as_object() else {
        return Err(bad("malformed body", "send a JSON object"));
    };
    let Some(model) = object.get("model").and_then(|model| model.as_str()) else {
        return Err(bad("no model", "name one of GET /v1/models in 'model'"));
    };
    if !view.models_of(team).contains(model) {
        let detail = format!("use a model of GET /v1/models, not '{model}'");
        return Err(Problem::new(StatusCode::NOT_FOUND, "unknown model", detail));
    }
    if object.get("stream").is_some_and(|stream| !stream.is_boolean()) {
        return Err(bad("malformed body", "'stream' is true or false"));
    }
    if object.get("max_tokens").is_some_and(|tokens| tokens.as_u64().is_none_or(|n| n == 0)) {
        return Err(bad("malformed body", "'max_tokens' is a whole number above 0"));
    }
    let prompt = prompt_of(object, path.ends_with("/chat/completions"))?;
    let prefixes = prefix::hash_prefixes(&prompt);
    let route =
        Request { sequence: 0, prompt_tokens: (prompt.len() / CHARACTERS) as u64, prefixes };
    Ok(Call {
        headers: kept_headers(&headers, &id, &team.name),
        id,
        team: team.name.clone(),
        weight: team.weight,
        target: Target::Model(model.to_string()),
        method: Method::POST.to_string(),
        path: path.to_string(),
        body,
        repeatable: true,
        key: None,
        route,
    })
}

fn prompt_of(
    object: &serde_json::Map<String, serde_json::Value>,
    chat: bool,
) -> Result<String, Problem> {
    if !chat {
        let prompt = object.get("prompt").and_then(|prompt| prompt.as_str());
        let help = "send the text in 'prompt'";
        return prompt.map(str::to_string).ok_or_else(|| bad("no prompt", help));
    }
    let messages = object.get("messages").and_then(|messages| messages.as_array());
    let help = "send 'messages', each with 'role' and 'content' as text";
    let messages =
        messages.filter(|all| !all.is_empty()).ok_or_else(|| bad("no messages", help))?;
    let mut prompt = String::new();
    for message in messages {
        let content = message.get("content").and_then(|content| content.as_str());
        prompt.push_str(content.ok_or_else(|| bad("no messages", help))?);
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Checks a call of the service with this name.
pub fn service(view: &View, team: &Team, name: &str, incoming: Incoming) -> Result<Call, Problem> {
    let Incoming { id, method, uri, headers, body } = incoming;
    let Some(service) = view.service_of(team, name) else {
        let detail = format!("'{name}' is not one of the team's services");
        return Err(Problem::new(StatusCode::NOT_FOUND, "unknown service", detail));
    };
    let path = service_path(&uri, name)?;
    let bare = path.split('?').next().unwrap_or_default();
    let repeatable = service.is_repeatable(method.as_str(), bare);
    let given = key_of(&headers)?;
    let key = given.filter(|_| !repeatable).map(|given| {
        let digest = hexadecimal(format!("{}\n{given}", team.name).as_bytes());
        let shard = stable_hash(digest.as_bytes()) % u64::from(service.claim_shards.max(1));
        let mut request = format!("{method} {path}\n").into_bytes();
        request.extend_from_slice(&body);
        let request = hexadecimal(&request);
        Key { service: name.to_string(), digest, request, shard: shard as u32 }
    });
    Ok(Call {
        headers: kept_headers(&headers, &id, &team.name),
        id,
        team: team.name.clone(),
        weight: team.weight,
        target: Target::Service(name.to_string()),
        method: method.to_string(),
        path,
        body,
        repeatable,
        key,
        route: Request::default(),
    })
}

/// Returns what follows the service's name; dots and encoded separators are refused, since a
/// service may read them as another path than the one that was checked.
fn service_path(uri: &Uri, name: &str) -> Result<String, Problem> {
    let prefix = format!("/services/{name}");
    let rest = uri.path().strip_prefix(&prefix).unwrap_or_default();
    let lower = rest.to_ascii_lowercase();
    let dots = lower.split('/').any(|segment| segment == "." || segment == "..");
    let encoded = ["%2e", "%2f", "%5c", "\\", "//"].iter().any(|mark| lower.contains(mark));
    if dots || encoded {
        return Err(bad("ambiguous path", "send a path without dots and encoded separators"));
    }
    let path = if rest.is_empty() { "/" } else { rest };
    Ok(match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_string(),
    })
}

fn key_of(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let mut values = headers.get_all("idempotency-key").iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad("bad idempotency key", "send the header once"));
    }
    let text = value.to_str().unwrap_or_default().trim();
    if text.is_empty() || text.len() > KEY_BYTES {
        let detail = format!("send 1 to {KEY_BYTES} printable ASCII characters");
        return Err(bad("bad idempotency key", detail));
    }
    Ok(Some(text.to_string()))
}

fn kept_headers(headers: &HeaderMap, id: &str, team: &str) -> Vec<(String, Bytes)> {
    let connection = headers.get("connection").and_then(|value| value.to_str().ok());
    let listed: Vec<String> = connection
        .map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()).collect())
        .unwrap_or_default();
    let kept = headers.iter().filter(|(name, _)| {
        !is_own_header(name.as_str()) && !listed.iter().any(|item| item == name.as_str())
    });
    let mut kept: Vec<(String, Bytes)> = kept
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    kept.push(("host".into(), Bytes::from_static(b"upstream")));
    kept.push(("x-request-id".into(), Bytes::copy_from_slice(id.as_bytes())));
    kept.push(("x-filberttrail-team".into(), Bytes::copy_from_slice(team.as_bytes())));
    kept
}

/// Tells whether a header is for this hop, or set by the entry itself.
fn is_own_header(name: &str) -> bool {
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
