//! A proxy for the TCP streams of one link: relays, delays, throttles, holds back or resets them.
//!
//! While a link is cut, its listener drops connection attempts, as a network without connectivity does: its accept
//! queue has room for one connection and is full. The listener of a stopped server refuses connections.

mod listener;
mod relayed_stream;

pub(crate) use listener::open;
