//! Client connections that have no server yet: the listener, the first line, and the answers to it.

mod answer;
mod connection;
mod first_line;
mod listener;
mod slot;
mod unidentified;

pub(crate) use connection::ClientConnection;
pub(crate) use listener::Listener;
pub(crate) use slot::ClientSlot;
pub(crate) use unidentified::UnidentifiedClients;
