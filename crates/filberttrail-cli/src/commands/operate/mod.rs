//! Commands that change how an estate operates: presets, and what is out of service.

pub mod change;
pub mod data_centre;
pub mod preset;
pub mod upstream;
