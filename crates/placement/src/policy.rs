//! Server selection, admission, retries and rejections.

pub(crate) mod admission;
pub(crate) mod queue;
pub(crate) mod rejection;
pub(crate) mod request_lifecycle;
pub(crate) mod retry;
pub(crate) mod selection;
