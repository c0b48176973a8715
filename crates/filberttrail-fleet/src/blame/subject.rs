/// The hash of something that requests hold: of a service's name and the id of a prompt part, or of
/// all that a request asks for.
pub type SubjectId = u64;
