//! The one error type: each kind says where, what and how to mend it.

use derive_more::{Display, Error as DeriveError};

/// A result whose error carries a report.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

/// What every error tells its reader.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{subject}: {message}; {help}")]
pub struct Detail {
    /// The place or thing at fault.
    pub subject: String,
    /// What is wrong with it.
    pub message: String,
    /// What the reader can do about it.
    pub help: String,
}

/// The kinds of error.
#[derive(Debug, Clone, PartialEq, Eq, Display, DeriveError)]
pub enum Error {
    /// A flag or environment variable is wrong.
    #[display("setting {_0}")]
    Setting(#[error(not(source))] Detail),
    /// A declaration is wrong.
    #[display("declaration {_0}")]
    Declaration(#[error(not(source))] Detail),
    /// A caller's request is wrong.
    #[display("request {_0}")]
    Request(#[error(not(source))] Detail),
    /// A frame between two processes is wrong.
    #[display("frame {_0}")]
    Frame(#[error(not(source))] Detail),
    /// The platform did not answer, or not as it should.
    #[display("platform {_0}")]
    Platform(#[error(not(source))] Detail),
    /// Somebody else's change came first.
    #[display("conflict {_0}")]
    Conflict(#[error(not(source))] Detail),
    /// An upstream did not answer, or not as it should.
    #[display("upstream {_0}")]
    Upstream(#[error(not(source))] Detail),
    /// The system refused an operation on a file or socket.
    #[display("system {_0}")]
    System(#[error(not(source))] Detail),
}

macro_rules! constructors {
    ($($name:ident => $kind:ident),*) => {
        impl Error {
            $(
                #[doc = concat!("Builds the `", stringify!($kind), "` kind.")]
                pub fn $name(
                    subject: impl ToString,
                    message: impl ToString,
                    help: impl ToString,
                ) -> Self {
                    Self::$kind(Detail {
                        subject: subject.to_string(),
                        message: message.to_string(),
                        help: help.to_string(),
                    })
                }
            )*

            /// Returns what the error tells its reader.
            pub fn detail(&self) -> &Detail {
                match self {
                    $(Self::$kind(detail) => detail,)*
                }
            }
        }
    };
}

constructors! {
    setting => Setting,
    declaration => Declaration,
    request => Request,
    frame => Frame,
    platform => Platform,
    conflict => Conflict,
    upstream => Upstream,
    system => System
}
