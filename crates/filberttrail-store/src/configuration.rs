//! The configuration on the platform: one mutable object, the manifest, and immutable parts.

use crate::client::{Platform, Write};
use bytes::Bytes;
use filberttrail_declare::manifest::{self, Manifest, Operation};
use filberttrail_declare::model::Declarations;
use filberttrail_kernel::id::Version;
use filberttrail_kernel::{Error, Result};
use std::time::Duration;

/// The key of the manifest in force.
pub const IN_FORCE: &str = "config/in-force";
/// The maximum number of attempts to determine the outcome of a write whose response was lost.
const OUTCOME_ATTEMPTS: u32 = 10;
/// The delay before each of these attempts.
const OUTCOME_DELAY: Duration = Duration::from_millis(300);

/// Returns the key of the part with this digest.
pub fn part_key(digest: &str) -> String {
    format!("config/parts/{digest}")
}

/// Reads the manifest in force and its object's version; `None` if there is none.
pub async fn read_manifest(platform: &Platform) -> Result<Option<(Version, Manifest)>> {
    let Some(object) = platform.read(IN_FORCE).await? else {
        return Ok(None);
    };
    let manifest = serde_json::from_slice(&object.value).map_err(|error| {
        Error::platform(IN_FORCE, error, "apply the declarations again with this release")
    })?;
    Ok(Some((object.version, manifest)))
}

/// Reads the part with this digest; its content is not checked against the digest.
pub async fn read_part(platform: &Platform, digest: &str) -> Result<Bytes> {
    let object = platform.read(&part_key(digest)).await?;
    let help = "apply the declarations again";
    let missing = || Error::platform(part_key(digest), "the part is missing", help).into();
    object.map(|object| object.value).ok_or_else(missing)
}

/// Reads the declarations that a manifest refers to.
pub async fn read_declarations(platform: &Platform, manifest: &Manifest) -> Result<Declarations> {
    let estate = read_part(platform, &manifest.estate).await?;
    let teams = read_part(platform, &manifest.teams).await?;
    manifest::join(&estate, &teams)
}

/// Puts declarations in force; returns the manifest in force and whether it changed.
///
/// Returns a conflict if another change came first. `change` is a unique id of this change.
pub async fn apply(
    platform: &Platform,
    declarations: &Declarations,
    change: String,
) -> Result<(Manifest, bool)> {
    let current = read_manifest(platform).await?;
    if let Some((_, current)) = &current {
        manifest::check_claim_shards(&read_declarations(platform, current).await?, declarations)?;
    }
    let (version, next) = match &current {
        None => (0, Manifest::new(declarations, change)),
        Some((version, manifest)) => (*version, manifest.with_declarations(declarations, change)?),
    };
    if let Some((_, current)) = current
        && current.estate == next.estate
        && current.teams == next.teams
    {
        return Ok((current, false));
    }
    let parts = manifest::split(declarations);
    for (digest, (_, bytes)) in [&next.estate, &next.teams].into_iter().zip(parts) {
        // A part's key is the digest of its content, so an existing object has the same content.
        platform.write(&part_key(digest), 0, bytes.into()).await?;
    }
    publish(platform, version, &next).await?;
    Ok((next, true))
}

/// Puts an edited operation in force; returns the manifest in force and whether it changed.
///
/// Returns a conflict if another change came first. `change` is a unique id of this change.
pub async fn change_operation(
    platform: &Platform,
    change: String,
    edit: impl FnOnce(&mut Operation),
) -> Result<(Manifest, bool)> {
    let Some((version, current)) = read_manifest(platform).await? else {
        let help = "apply declarations first";
        return Err(Error::platform(IN_FORCE, "nothing is in force", help).into());
    };
    let declarations = read_declarations(platform, &current).await?;
    let mut operation = current.operation.clone();
    edit(&mut operation);
    manifest::check_operation(&operation, &declarations)?;
    if operation == current.operation {
        return Ok((current, false));
    }
    let next = current.with_operation(operation, change);
    publish(platform, version, &next).await?;
    Ok((next, true))
}

/// Writes the manifest in force; if the response is lost, determines whether the write took effect.
async fn publish(platform: &Platform, version: Version, next: &Manifest) -> Result<()> {
    let value = serde_json::to_vec(next).unwrap_or_default();
    let mut last_error = match platform.write(IN_FORCE, version, value.clone().into()).await {
        Ok(Write::Done(_)) => return Ok(()),
        Ok(Write::Conflict) => return Err(conflict()),
        Err(error) => error,
    };
    for _ in 0..OUTCOME_ATTEMPTS {
        tokio::time::sleep(OUTCOME_DELAY).await;
        match determine_outcome(platform, version, next, &value).await {
            Ok(true) => return Ok(()),
            Ok(false) => return Err(conflict()),
            Err(error) => last_error = error,
        }
    }
    let help = "run 'filberttrail status' once the platform answers: the change may be in force";
    Err(last_error.change_context(Error::platform(IN_FORCE, "the outcome is not known", help)))
}

/// Returns whether a write whose response was lost took effect.
async fn determine_outcome(
    platform: &Platform,
    version: Version,
    next: &Manifest,
    value: &[u8],
) -> Result<bool> {
    // Repeating the write is safe: it takes effect only on the version that the change is based on.
    if let Write::Done(_) = platform.write(IN_FORCE, version, value.to_vec().into()).await? {
        return Ok(true);
    }
    let current = read_manifest(platform).await?;
    Ok(current.is_some_and(|(_, manifest)| manifest.contains(&next.change)))
}

fn conflict() -> error_stack::Report<Error> {
    let help = "nothing of yours is in force; look at 'filberttrail status' and try again";
    Error::conflict(IN_FORCE, "another operator's change came first", help).into()
}
