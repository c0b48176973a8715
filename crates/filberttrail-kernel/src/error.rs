//! The project's error type. Each error states its subject, the problem and how to fix it.

use derive_more::{Display, Error as DeriveError};

/// A result whose error is a report with the chain of causes.
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

/// The text that every kind of error carries.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{subject}: {message}; {help}")]
pub struct Detail {
    /// The setting, file, object or peer that the error is about.
    pub subject: String,
    /// The problem with the subject.
    pub message: String,
    /// The suggested fix, in the imperative.
    pub help: String,
}

/// The kinds of error.
#[derive(Debug, Clone, PartialEq, Eq, Display, DeriveError)]
pub enum Error {
    /// A flag or environment variable is invalid.
    #[display("setting {_0}")]
    Setting(#[error(not(source))] Detail),
    /// A declaration in the configuration files is invalid.
    #[display("declaration {_0}")]
    Declaration(#[error(not(source))] Detail),
    /// A caller's request is invalid.
    #[display("request {_0}")]
    Request(#[error(not(source))] Detail),
    /// A frame between two processes is invalid.
    #[display("frame {_0}")]
    Frame(#[error(not(source))] Detail),
    /// The platform did not respond, or its response was invalid.
    #[display("platform {_0}")]
    Platform(#[error(not(source))] Detail),
    /// A conditional write failed because another writer changed the object first.
    #[display("conflict {_0}")]
    Conflict(#[error(not(source))] Detail),
    /// An upstream did not respond, or its response was invalid.
    #[display("upstream {_0}")]
    Upstream(#[error(not(source))] Detail),
    /// An operation on a file, socket or process failed in the operating system.
    #[display("system {_0}")]
    System(#[error(not(source))] Detail),
}

macro_rules! constructors {
    ($($name:ident => $kind:ident),*) => {
        impl Error {
            $(
                #[doc = concat!("Creates an error of the kind `", stringify!($kind), "`.")]
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

            /// Returns the error's subject, message and suggested fix.
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
