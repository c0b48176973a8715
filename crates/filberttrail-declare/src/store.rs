//! What one process knows of the configuration: the view it applies and the parts it can pass on.
//!
//! Invariant: the generation applied only rises, and a manifest is applied with exactly the parts
//! that it names.

use crate::manifest::Manifest;
use crate::view::View;
use bytes::Bytes;
use filberttrail_kernel::digest::sha256_hex;
use filberttrail_kernel::id::Generation;
use filberttrail_kernel::{Error, Result};
use std::collections::HashMap;
use std::sync::Arc;

/// What came of a manifest or part.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// What is applied is newer: the sender needs it.
    Stale,
    /// Nothing new.
    Unchanged,
    /// It is newer, and these parts are missing.
    Incomplete(Vec<String>),
    /// It is applied.
    Applied(Arc<View>),
}

/// The configuration that a process knows.
#[derive(Debug, Default)]
pub struct Store {
    view: Option<Arc<View>>,
    pending: Option<Manifest>,
    parts: HashMap<String, Bytes>,
    any_generation: bool,
}

impl Store {
    /// Starts knowing nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies whatever manifest arrives, for tests that show what the order is for.
    pub fn with_any_generation(mut self) -> Self {
        self.any_generation = true;
        self
    }

    /// Returns the generation applied; zero before the first.
    pub fn generation(&self) -> Generation {
        self.view.as_ref().map_or(0, |view| view.manifest.generation)
    }

    /// Returns the view applied.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.clone()
    }

    /// Returns the manifest applied, in JSON.
    pub fn manifest(&self) -> Option<Bytes> {
        let view = self.view.as_ref()?;
        serde_json::to_vec(&view.manifest).ok().map(Bytes::from)
    }

    /// Returns a part by its digest.
    pub fn part(&self, digest: &str) -> Option<Bytes> {
        self.parts.get(digest).cloned()
    }

    /// Takes in a manifest, in JSON.
    pub fn offer_manifest(&mut self, bytes: &[u8]) -> Result<Outcome> {
        let manifest: Manifest = serde_json::from_slice(bytes).map_err(|fault| {
            Error::platform("manifest", fault, "run the same release everywhere")
        })?;
        let known = self.generation();
        if self.any_generation && manifest.generation != known {
            self.pending = Some(manifest);
            return self.advance();
        }
        if manifest.generation < known {
            return Ok(Outcome::Stale);
        }
        if manifest.generation == known {
            return Ok(Outcome::Unchanged);
        }
        if self.pending.as_ref().is_none_or(|old| old.generation < manifest.generation) {
            self.pending = Some(manifest);
        }
        self.advance()
    }

    /// Takes in a part; one whose content is not its digest's is an error.
    pub fn offer_part(&mut self, digest: &str, bytes: Bytes) -> Result<Outcome> {
        if sha256_hex(&bytes) != digest {
            let help = "the part is fetched again from somebody else";
            let place = format!("part {digest}");
            return Err(Error::platform(place, "its content is another's", help).into());
        }
        if !self.missing().iter().any(|missing| missing == digest) {
            return Ok(Outcome::Unchanged);
        }
        self.parts.insert(digest.to_string(), bytes);
        self.advance()
    }

    /// Lists the parts that the newest manifest still needs.
    pub fn missing(&self) -> Vec<String> {
        let Some(manifest) = &self.pending else {
            return Vec::new();
        };
        let parts = [&manifest.estate, &manifest.teams];
        parts.into_iter().filter(|part| !self.parts.contains_key(*part)).cloned().collect()
    }

    fn advance(&mut self) -> Result<Outcome> {
        let missing = self.missing();
        if !missing.is_empty() {
            return Ok(Outcome::Incomplete(missing));
        }
        let Some(manifest) = self.pending.take() else {
            return Ok(Outcome::Unchanged);
        };
        let (estate, teams) = (&self.parts[&manifest.estate], &self.parts[&manifest.teams]);
        let view = Arc::new(View::new(manifest, estate, teams)?);
        let manifest = &view.manifest;
        self.parts.retain(|digest, _| *digest == manifest.estate || *digest == manifest.teams);
        self.view = Some(view.clone());
        Ok(Outcome::Applied(view))
    }
}
