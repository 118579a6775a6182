//! A crowd of misbehaving clients beside a few usual ones, at one real router process.
//!
//! A play starts the router with the memory and the descriptors that its options name, and reports
//! the peak memory of the process and the responses that the usual clients got. The client kinds
//! are in [`client_kind`], the stand-ins for endpoints in [`servers`].

pub mod client_kind;
pub mod clients;
pub mod play;
pub mod report;
pub mod servers;
pub mod usual_clients;
