//! Stand-ins that the cases share.
#![allow(dead_code)]

pub mod deployment;
pub mod group;
pub mod harm;
pub mod http;
pub mod json;
pub mod plain;
pub mod store;
pub mod system;
