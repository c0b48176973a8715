//! Messages between entries, in one datagram each.

use crate::id_hash::IdHash;
use crate::intake::Told;
use filberttrail_fleet::blame::Report;
use filberttrail_fleet::currency::Ages;
use filberttrail_fleet::presence::Silence;
use filberttrail_fleet::snapshot::Progress;
use filberttrail_fleet::upstream;
use serde::{Deserialize, Serialize};

/// Maximum size of a message, in bytes. The largest are the sums between relays, with 7 bytes for each
/// upstream in use; all others fit into one packet.
pub const SIZE_LIMIT: usize = 60_000;

/// Maximum number of upstreams that an entry asks a relay for. More do not fit into an answer; the
/// others seem to have no load from other entries.
pub const UPSTREAMS_LIMIT: usize = 700;

/// What a message is for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Kind {
    /// The sender's own load, to an entry of a small estate.
    Load,
    /// The sender's own load, to a relay that answers with the load of all others on the wanted
    /// upstreams.
    Ask {
        /// Upstreams that the sender may use.
        wanted: Vec<IdHash>,
        /// Time of the sender's clock in milliseconds, which the answer repeats.
        asked_at: u64,
    },
    /// The answer of a relay: the load of all other entries, and the data centres from which the
    /// relay has heard, with the age of the last news in milliseconds.
    Answer {
        /// Names of the data centres, and ages.
        heard: Vec<(String, u64)>,
        /// Time of the question. The ages of the answer's proofs count from it at the asker, however
        /// long the answer took.
        asked_at: u64,
    },
    /// The load of all entries of the sender's data centre, to a relay of another one.
    Sum {
        /// Number of entries whose load is included.
        entries: usize,
    },
}

/// A message between entries.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Message {
    /// What the message is for.
    pub kind: Kind,
    /// Name of the sending entry.
    pub entry: String,
    /// Data centre of the sending entry.
    pub data_centre: String,
    /// Number of requests in flight, per upstream.
    pub loads: Vec<(IdHash, u32)>,
    /// Revision of the last change of each kind of object that the entry knows.
    pub changed: Progress,
    /// Time since there were proven to be no later changes than these.
    #[serde(default)]
    pub ages: Ages,
    /// Upstreams that have said that they are about to stop, with their incarnations.
    pub leaving: Vec<(IdHash, upstream::Incarnation)>,
    /// Limits that upstreams have named.
    #[serde(default)]
    pub limits: Vec<Told>,
    /// What is blamed for crashes.
    #[serde(default)]
    pub blame: Report,
    /// Number of condemned subjects, if the entry knows all of them. A report contains some.
    #[serde(default)]
    pub verdicts: Option<u32>,
    /// Entries that have been silent, as far as the sender hears or is told of them.
    #[serde(default)]
    pub silent: Vec<Silence>,
}
