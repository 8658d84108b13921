//! What the decisions keep.

pub(crate) mod fleet;
pub mod learned_state;
pub(crate) mod load_accounting;
pub(crate) mod ranking_index;
pub(crate) mod request;
pub(crate) mod server_table;
