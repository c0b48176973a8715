//! Commands for the platform's configuration of routes, services and tenants.

pub mod check;
