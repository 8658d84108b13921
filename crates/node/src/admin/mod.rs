//! The admin address: each connection carries one call, which is a line, and receives an answer, which is a line that
//! begins with `done` or `error`.

mod call;
mod client;
mod connection;
mod handler;
mod listener;
pub(crate) mod status_table;

pub(crate) use client::ask;
pub(crate) use listener::AdminListener;
