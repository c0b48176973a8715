use super::SubjectId;

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// None of its subjects is accused.
    Free,
    /// It may be sent to find out about these suspects, as their trial.
    Trial(Vec<SubjectId>),
    /// The subject is a suspect that another request or entry tries, or that is not tried now.
    Suspect(SubjectId),
    /// The subject crashes upstreams.
    Condemned(SubjectId),
}

/// When an entry may try a suspect with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// At once.
    Now,
    /// At once if there was a single crash, which broke off this request.
    Retry,
    /// Once the outcome is known to all entries of the retry of the request that the last crash broke
    /// off.
    Settled,
    /// Not at all: it is up to other entries.
    Never,
}
