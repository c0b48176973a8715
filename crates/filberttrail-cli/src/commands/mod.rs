//! The commands, grouped by topic.

pub mod configuration;
pub mod estate;
pub mod inspect;
pub mod measure;
pub mod operate;
pub mod run;
