//! How a budget of the whole fleet is divided among its nodes, without I/O: what each has used and was refused comes in,
//! slices go out. Who holds what, and until when, is agreed in `lupincrank-council`, which cuts down what would pass
//! the capacity: nothing here has to be right for that.

#![forbid(unsafe_code)]

pub mod demand;
pub mod divide;
