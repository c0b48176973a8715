//! The configuration state of one process: the configuration in force, and its parts to serve to
//! peers.
//!
//! The configuration consists of a manifest and two parts, the estate and the teams. A part is a
//! JSON document that is stored and requested by the SHA-256 digest of its content; the manifest
//! contains the digests of its parts. A [`View`] is the decoded configuration. A configuration is
//! in force once the store has applied it, until it applies another one.
//!
//! Invariants: the generation in force never decreases, except after
//! [`Store::with_any_generation`], and a manifest is applied only with exactly the parts that it
//! refers to.

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
    /// The offered manifest is older than the one in force. The caller should send the manifest in
    /// force back to the peer that offered it.
    Stale,
    /// The offer changed nothing: the manifest is the one in force, or the part is not needed.
    Unchanged,
    /// The newest known manifest, which is the offered one or one that was offered before, cannot
    /// be applied yet: the parts with these digests are missing.
    Incomplete(Vec<String>),
    /// The offer completed a configuration, which is in force now, with this view.
    Applied(Arc<View>),
}

/// The configuration of one process: the view in force, a pending manifest that waits for
/// missing parts, and the parts of both.
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

    /// Also applies manifests of older generations, for tests that disable the ordering of
    /// generations.
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
    /// Otherwise it is kept as the pending manifest, unless a newer one is pending already.
    ///
    /// Returns an error if the manifest cannot be decoded, and any error of [`View::new`].
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
    /// Returns an error if the content does not match the digest, and any error of [`View::new`]. A
    /// part that is not needed is ignored.
    pub fn offer_part(&mut self, digest: &str, bytes: Bytes) -> Result<Outcome> {
        if sha256_hex(&bytes) != digest {
            let help = "check the peer that sent it; the part is requested again";
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
        // These fields of the manifest are the digests of the two parts.
        let digests = [&manifest.estate, &manifest.teams];
        digests.into_iter().filter(|digest| !self.parts.contains_key(*digest)).cloned().collect()
    }

    /// Puts the pending manifest in force if all of its parts are present.
    fn apply_pending(&mut self) -> Result<Outcome> {
        let missing = self.missing();
        if !missing.is_empty() {
            return Ok(Outcome::Incomplete(missing));
        }
        let Some(manifest) = self.pending.take() else {
            return Ok(Outcome::Unchanged);
        };
        let (estate_json, teams_json) =
            (&self.parts[&manifest.estate], &self.parts[&manifest.teams]);
        let view = Arc::new(View::new(manifest, estate_json, teams_json)?);
        let manifest = &view.manifest;
        self.parts.retain(|digest, _| *digest == manifest.estate || *digest == manifest.teams);
        self.view = Some(view.clone());
        Ok(Outcome::Applied(view))
    }
}
