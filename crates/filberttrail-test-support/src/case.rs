//! Random requests, well-formed or not, each of which a seed reproduces.

use crate::expected::Expected;
use crate::framing;
use crate::wire::Wire;
use fastrand::Rng;
use std::net::SocketAddr;

/// Number of cases of a run, if `FILBERTTRAIL_CASES` doesn't set it.
pub fn read_case_count(default: u64) -> u64 {
    let cases = std::env::var("FILBERTTRAIL_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(default)
}

/// Seed of a run, if `FILBERTTRAIL_SEED` doesn't set it.
pub fn read_seed(default: u64) -> u64 {
    let seed = std::env::var("FILBERTTRAIL_SEED").ok();
    seed.and_then(|seed| seed.parse().ok()).unwrap_or(default)
}

/// The first of the kinds of cases, of 8, whose bytes are changed at random.
const FIRST_CHANGED_KIND: u8 = 6;

/// The bytes that a client sends on one connection.
#[derive(Debug, Clone)]
pub struct Case {
    /// What the server may do.
    pub expected: Expected,
    /// The bytes in the pieces in which they are sent.
    pub pieces: Vec<Vec<u8>>,
}

impl Case {
    /// Generates the case of a seed. `head` builds the beginning of a request with an id, to which
    /// further headers are appended. Bodies of up to `limit` bytes are allowed.
    ///
    /// Ids are `case-SEED-NUMBER`. Requests with random changes have other ids, as a changed id could
    /// equal that of another case.
    pub fn generate(seed: u64, limit: usize, head: fn(&str) -> String) -> Self {
        let random = &mut Rng::with_seed(seed);
        let kind = random.u8(..8);
        let prefix = if kind < FIRST_CHANGED_KIND { "case" } else { "changed" };
        let id = format!("{prefix}-{seed}-0");
        let mut whole = |number: usize| {
            let id = format!("{prefix}-{seed}-{number}");
            let body = random_body(random, limit);
            let bytes = [
                head(&id).into_bytes(),
                random_headers(random).into_bytes(),
                frame_body(random, &body),
            ];
            ((id, body), bytes.concat())
        };
        let (run, mut bytes) = whole(0);
        let (runs, more): (Vec<_>, Vec<_>) = (1..4).map(&mut whole).unzip();
        let expected = match kind {
            0 => Expected::Runs(vec![run]),
            1 => {
                bytes.extend(more.concat());
                Expected::Runs(std::iter::once(run).chain(runs).collect())
            }
            2 => {
                bytes.truncate(random.usize(..bytes.len()));
                Expected::Nothing
            }
            3 => {
                let framings = framing::list_malformed();
                let start = head(&id) + &random_headers(random);
                bytes = start.into_bytes();
                bytes.extend(&framings[random.usize(..framings.len())].bytes);
                bytes.extend(more.concat());
                Expected::Nothing
            }
            4 => {
                let body = vec![b'x'; limit + random.usize(1..limit)];
                bytes = (head(&id) + &random_headers(random)).into_bytes();
                bytes.extend(frame_body(random, &body));
                Expected::Nothing
            }
            5 => {
                bytes = (0..random.usize(..2 * limit)).map(|_| random.u8(..)).collect();
                Expected::Anything
            }
            _ => {
                bytes.extend(more.concat());
                change(random, &mut bytes);
                Expected::Anything
            }
        };
        Self { expected, pieces: cut(random, bytes) }
    }

    /// Sends the case on a connection of its own, and returns the statuses of the responses to it.
    pub async fn send(&self, address: SocketAddr) -> Vec<u16> {
        let mut wire = Wire::connect(address).await;
        for piece in &self.pieces {
            if !wire.send(piece).await {
                break;
            }
            // Lets the server read the piece by itself.
            tokio::task::yield_now().await;
        }
        let mut statuses = Vec::new();
        if let Expected::Runs(runs) = &self.expected {
            // A server may drop a request whose client has closed its side of the connection.
            while statuses.len() < runs.len()
                && let Some(response) = wire.response().await
            {
                statuses.push(response.status);
            }
            return statuses;
        }
        wire.finish().await;
        while let Some(response) = wire.response().await {
            statuses.push(response.status);
        }
        statuses
    }
}

fn random_text(random: &mut Rng, length: usize) -> String {
    (0..random.usize(..=length)).map(|_| random.alphanumeric()).collect()
}

fn random_headers(random: &mut Rng) -> String {
    let mut headers = String::new();
    for number in 0..random.usize(..12) {
        headers +=
            &format!("X-{number}{}: {}\r\n", random_text(random, 8), random_text(random, 40));
    }
    headers
}

fn random_body(random: &mut Rng, limit: usize) -> Vec<u8> {
    let length = [0, 1, random.usize(..=limit), limit][random.usize(..4)];
    (0..length).map(|_| random.u8(..)).collect()
}

/// Returns the headers that state a body's length, the empty line, and the body.
fn frame_body(random: &mut Rng, body: &[u8]) -> Vec<u8> {
    if random.bool() {
        return [format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes(), body].concat();
    }
    let mut bytes = b"Transfer-Encoding: chunked\r\n\r\n".to_vec();
    let largest = [1, 2, 16, 300, body.len()][random.usize(..5)].max(1);
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(random.usize(1..=largest.min(rest.len())));
        rest = after;
        let zeros = "0".repeat(random.usize(..3));
        bytes.extend(format!("{zeros}{:x}", chunk.len()).bytes());
        if random.u8(..8) == 0 {
            bytes.extend(format!(";{}={}", random_text(random, 4), random_text(random, 4)).bytes());
        }
        bytes.extend(b"\r\n");
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\n");
    for number in 0..random.usize(..3) {
        bytes.extend(format!("X-Trailer-{number}: {}\r\n", random_text(random, 8)).bytes());
    }
    bytes.extend(b"\r\n");
    bytes
}

/// Changes, removes, repeats or inserts bytes at a few random places.
fn change(random: &mut Rng, bytes: &mut Vec<u8>) {
    // Bytes with a meaning in heads and chunks.
    const MARKS: &[u8] = b"\r\n :;,0159afAF+-\0\xff";
    for _ in 0..random.usize(1..8) {
        if bytes.is_empty() {
            return;
        }
        let start = random.usize(..bytes.len());
        let end = bytes.len().min(start + random.usize(1..24));
        match random.u8(..5) {
            0 => bytes[start] = random.u8(..),
            1 => bytes[start] = MARKS[random.usize(..MARKS.len())],
            2 => bytes.insert(start, MARKS[random.usize(..MARKS.len())]),
            3 => drop(bytes.drain(start..end)),
            _ => {
                let copy = bytes[start..end].to_vec();
                let at = random.usize(..=bytes.len());
                bytes.splice(at..at, copy);
            }
        }
    }
}

fn cut(random: &mut Rng, bytes: Vec<u8>) -> Vec<Vec<u8>> {
    let mut cuts: Vec<usize> =
        (0..random.usize(..4)).map(|_| random.usize(..=bytes.len())).collect();
    cuts.push(bytes.len());
    cuts.sort_unstable();
    let mut start = 0;
    let pieces =
        cuts.into_iter().map(|end| bytes[std::mem::replace(&mut start, end)..end].to_vec());
    pieces.collect()
}
