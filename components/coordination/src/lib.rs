//! Coordination parts for hosts that must act together without a consensus
//! group of their own.
//!
//! Every part is a plain structure or function: it takes the time (and random
//! numbers) as an argument, does no input or output and knows no runtime, so
//! that a daemon, a test or another program can drive it.

pub mod bucket;
pub mod clock;
pub mod freshness;
pub mod ids;
pub mod leadership;
pub mod lenders;
pub mod refusal;
pub mod rendezvous;
pub mod shares;
pub mod token;
pub mod units;

pub use bucket::Bucket;
pub use clock::{Clock, ManualClock, SystemClock};
pub use freshness::Freshness;
pub use ids::{
    AccountId, FailureDomain, GroupId, HostId, IdError, KeyId, RequestId, ServerId, SubmitId,
};
pub use lenders::Lenders;
pub use refusal::{Fate, Reason, Refusal};
pub use shares::{Allotment, Share, Shares};
pub use units::{Burst, Point, Position, Rate, Revision, Term, UnitError};
