//! A configuration as one entry sends it to another: compressed CBOR.
//!
//! Load pattern: a change with thousands of routes is fetched by some thirty entries from each relay
//! at the same moment, over a link of 40 Mbit/s. It is encoded once and sent many times.

use bytes::Bytes;
use filberttrail_fleet::Configuration;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use std::io::Read;

/// Maximum size of a decompressed configuration, in bytes.
const SIZE_LIMIT: u64 = 16 << 20;

/// A compressed configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed(Bytes);

impl Packed {
    /// Compresses a configuration. The error is the text of the cause.
    pub fn new(configuration: &Configuration) -> Result<Self, String> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        ciborium::into_writer(configuration, &mut encoder).map_err(|error| error.to_string())?;
        let bytes = encoder.finish().map_err(|error| error.to_string())?;
        Ok(Self(bytes.into()))
    }

    /// Returns the size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }

    /// Decompresses the configuration. The error is the text of the cause.
    pub fn unpack(&self) -> Result<Configuration, String> {
        let decoder = DeflateDecoder::new(&self.0[..]).take(SIZE_LIMIT);
        ciborium::from_reader(std::io::BufReader::new(decoder)).map_err(|error| error.to_string())
    }
}
