//! What a response tells about its upstream, apart from the request.

use crate::Headers;
use hyper::StatusCode;
use hyper::header::{HeaderMap, RETRY_AFTER};
use std::time::Duration;

/// Longest time for which an upstream can decline requests. A longer one is shortened to it.
const DECLINE_LIMIT: Duration = Duration::from_secs(60);

/// What a response tells about its upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Signals {
    /// Whether the upstream is about to stop and accepts no new requests.
    pub leaving: bool,
    /// Time for which the upstream wants no requests from this entry.
    pub declines_for: Option<Duration>,
}

impl Signals {
    /// Reads the signals from the head of a response. Values that are not valid are logged and
    /// ignored: the leaving header is `1`, and `Retry-After` is a number of seconds.
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
        Self { leaving, declines_for }
    }
}
