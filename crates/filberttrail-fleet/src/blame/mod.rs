//! Finds what crashes upstreams, and keeps requests that hold it away from them.
//!
//! Load pattern: each upstream that begins to run certain requests crashes. They arrive at any entry,
//! several a second, and have something in common that others lack: a part of their prompts, or all
//! that they ask for, when a caller sends the same request again. Their callers, paths and other
//! parts also occur in sound requests. A plain service of three upstreams is down while they restart;
//! in a lock-step group each crash stops all ranks for seconds, and harmful requests wait when the
//! group is back.
//!
//! A request is described by its subjects: the shared parts of its prompt, and a digest of what it
//! asks for. A crash accuses the subjects of the requests whose answers had not lived there. An
//! answer that lives clears its subjects. Entries tell each other about both. An accused subject is a
//! suspect: few entries may send it, each one request at a time. A subject that stays accused is
//! condemned, and requests with it are refused.

mod accusation;
mod crash;
mod decision;
mod failures;
mod ledger;
mod report;
mod reserve;
mod subject;
mod trial_places;

pub use crash::Crash;
pub use decision::{Decision, Turn};
pub use ledger::{CONDEMNED_LIFETIME, Ledger, TRIAL_ENTRIES, has_lived};
pub use report::Report;
pub use reserve::Reserve;
pub use subject::{SubjectId, part, whole_request};
pub use trial_places::choose_trial_places;
