//! What a response tells about its upstream, apart from the request.

use crate::Headers;
use filberttrail_fleet::intake::Named;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, RETRY_AFTER};
use std::time::Duration;

/// Longest time for which an upstream can decline requests. A longer one is shortened to it.
const DECLINE_LIMIT: Duration = Duration::from_secs(60);

/// What a response tells about its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Whether the upstream is about to stop and accepts no new requests.
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this entry.
    pub declines_for: Option<Duration>,
    /// What the upstream says about a limit on the requests from all entries.
    pub limit: Named,
}

impl Signals {
    /// Reads the signals from the head of a response. Values that are not valid are logged and
    /// ignored: the leaving header is `1`, `Retry-After` is a number of seconds, and the limit is a
    /// number of requests a second, 0 or more. Of several limits, the lowest counts.
    pub fn read(status: StatusCode, headers: &HeaderMap, names: &Headers) -> Self {
        let leaving = headers.get(&names.leaving).is_some_and(|value| {
            let valid = value.as_bytes().trim_ascii() == b"1";
            if !valid {
                log::warn!("ignoring {}: {value:?}, which is not 1", names.leaving);
            }
            valid
        });
        let retry_after = headers.get(RETRY_AFTER);
        let declines_for = retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        let declines_for = declines_for.and_then(|value| {
            let seconds = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
            let valid = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
            if valid.is_none() {
                log::warn!("ignoring retry-after: {value:?}, which is not a number of seconds");
            }
            Some(Duration::from_secs_f64(valid?.min(DECLINE_LIMIT.as_secs_f64())))
        });
        Self { leaving, declines_for, limit: read_limit(headers, &names.limit) }
    }
}

fn read_limit(headers: &HeaderMap, name: &HeaderName) -> Named {
    let values = headers.get_all(name).iter().map(|value| {
        let per_second = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
        let valid = per_second.filter(|limit| limit.is_finite() && *limit >= 0.0);
        if valid.is_none() {
            log::warn!("ignoring {name}: {value:?}, which is not a number of requests a second");
        }
        valid
    });
    let values: Vec<Option<f64>> = values.collect();
    match values.iter().copied().flatten().reduce(f64::min) {
        Some(lowest) => Named::Limit(lowest),
        None if values.is_empty() => Named::Nothing,
        None => Named::Unreadable,
    }
}
