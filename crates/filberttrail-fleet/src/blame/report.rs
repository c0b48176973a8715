use super::SubjectId;
use crate::loads::IdHash;
use crate::upstream::Incarnation;
use serde::{Deserialize, Serialize};

/// What an entry reports to others. Ages are in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Accused subjects, with the upstream that crashed, its incarnation, the age of the crash, and
    /// whether it ended a trial.
    pub accused: Vec<(SubjectId, IdHash, Incarnation, u64, bool)>,
    /// Subjects that were accused before an answer with them lived, and the age of that.
    pub cleared: Vec<(SubjectId, u64)>,
    /// Suspects that the entry tries, or of whose last trial the outcome is open, and the age of that.
    pub tried: Vec<(SubjectId, u64)>,
    /// Condemned subjects, and the age of the last request with them.
    pub condemned: Vec<(SubjectId, u64)>,
}
