/// Names something that requests hold: a part of their prompts, or all that they ask for. See
/// [`part`] and [`whole_request`].
pub type SubjectId = u64;

/// The bit that tells whole requests from parts.
const WHOLE_REQUEST: SubjectId = 1 << 63;

/// Returns the subject that a part of prompts is, by a hash of its service and its id.
pub fn part(hash: u64) -> SubjectId {
    hash & !WHOLE_REQUEST
}

/// Returns the subject that a whole request is, by a hash of what it asks for.
pub fn whole_request(hash: u64) -> SubjectId {
    hash | WHOLE_REQUEST
}

/// Returns whether a subject is a whole request.
pub(super) fn is_whole_request(subject: SubjectId) -> bool {
    subject & WHOLE_REQUEST != 0
}
