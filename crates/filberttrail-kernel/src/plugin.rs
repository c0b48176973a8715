//! The plug-in registry. Each plug-in registers itself with `inventory::submit!` in its own file.

use crate::{Error, Result};

pub use inventory;

/// A named implementation that is selected at run time, such as a routing policy.
pub trait Plugin: 'static {
    /// The setting that selects the implementation, for error messages.
    const KIND: &'static str;

    /// Returns the name that selects this implementation.
    fn name(&self) -> &'static str;
}

/// Returns the registered implementation with this name.
pub fn find<P: Plugin + inventory::Collect>(name: &str) -> Result<&'static P> {
    inventory::iter::<P>.into_iter().find(|plugin| plugin.name() == name).ok_or_else(|| {
        let help = format!("use one of: {}", names::<P>().join(", "));
        Error::setting(P::KIND, format!("no variant is called '{name}'"), help).into()
    })
}

/// Returns the names of all registered implementations, sorted.
pub fn names<P: Plugin + inventory::Collect>() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<P>.into_iter().map(Plugin::name).collect();
    names.sort_unstable();
    names
}
