//! The proxy of one link's streams, from one party to another: it passes, delays, throttles, holds back and resets.
//!
//! While a link is cut its listener drops connection attempts, as a network does that carries nothing: its queue is one
//! connection long and full. The listener of a server that is stopped refuses connections.

mod listener;
mod relayed_stream;

pub(crate) use listener::open;
