//! Connections of clients that have no server yet: the listener, the first line, and the answers to it.

pub(crate) mod connection;
