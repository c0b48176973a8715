//! The configuration state of one process: the view in force, and the parts to serve to peers.
//!
//! Invariant: the generation of the view never decreases, and a manifest is applied only with
//! exactly the parts that it refers to.

use crate::manifest::Manifest;
use crate::view::View;
use bytes::Bytes;
use filberttrail_kernel::digest::sha256_hex;
use filberttrail_kernel::id::Generation;
use filberttrail_kernel::{Error, Result};
use std::collections::HashMap;
use std::sync::Arc;

/// The result of offering a manifest or part to a [`Store`].
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The offered manifest is older than the one in force, which its sender should receive.
    Stale,
    /// The offer changed nothing.
    Unchanged,
    /// The manifest is newer, but the parts with these digests are missing.
    Incomplete(Vec<String>),
    /// The manifest is in force now, with this view.
    Applied(Arc<View>),
}

/// The view in force and the newest manifest whose parts are still incomplete.
#[derive(Debug, Default)]
pub struct Store {
    view: Option<Arc<View>>,
    pending: Option<Manifest>,
    parts: HashMap<String, Bytes>,
    any_generation: bool,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Accepts manifests of any generation, for tests that disable the ordering of generations.
    pub fn with_any_generation(mut self) -> Self {
        self.any_generation = true;
        self
    }

    /// Returns the generation in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.view.as_ref().map_or(0, |view| view.manifest.generation)
    }

    /// Returns the view in force.
    pub fn view(&self) -> Option<Arc<View>> {
        self.view.clone()
    }

    /// Returns the manifest in force, in JSON.
    pub fn manifest(&self) -> Option<Bytes> {
        let view = self.view.as_ref()?;
        serde_json::to_vec(&view.manifest).ok().map(Bytes::from)
    }

    /// Returns the part with this digest.
    pub fn part(&self, digest: &str) -> Option<Bytes> {
        self.parts.get(digest).cloned()
    }

    /// Offers a manifest, in JSON; applies it if it is newer and all its parts are present.
    pub fn offer_manifest(&mut self, bytes: &[u8]) -> Result<Outcome> {
        let manifest: Manifest = serde_json::from_slice(bytes).map_err(|error| {
            Error::platform("manifest", error, "run the same release everywhere")
        })?;
        let known = self.generation();
        if self.any_generation && manifest.generation != known {
            self.pending = Some(manifest);
            return self.apply_pending();
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
        self.apply_pending()
    }

    /// Offers a part; applies the pending manifest if this was the last missing part.
    ///
    /// Returns an error if the content does not match the digest. A part that is not needed is
    /// ignored.
    pub fn offer_part(&mut self, digest: &str, bytes: Bytes) -> Result<Outcome> {
        if sha256_hex(&bytes) != digest {
            let help = "the part is fetched again from another peer";
            let subject = format!("part {digest}");
            return Err(
                Error::platform(subject, "its content does not match its digest", help).into()
            );
        }
        if !self.missing().iter().any(|missing| missing == digest) {
            return Ok(Outcome::Unchanged);
        }
        self.parts.insert(digest.to_string(), bytes);
        self.apply_pending()
    }

    /// Returns the digests of the parts that the pending manifest still needs.
    pub fn missing(&self) -> Vec<String> {
        let Some(manifest) = &self.pending else {
            return Vec::new();
        };
        let parts = [&manifest.estate, &manifest.teams];
        parts.into_iter().filter(|part| !self.parts.contains_key(*part)).cloned().collect()
    }

    fn apply_pending(&mut self) -> Result<Outcome> {
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
