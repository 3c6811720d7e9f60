//! Building blocks for the coordination of hosts without a consensus group of their own.
//!
//! Every block is a plain structure or function that takes the time and random numbers as
//! arguments, performs no input or output and does not depend on a runtime. A daemon, a test or
//! another program can use each block by itself.
//!
//! A busy server shared by two accounts:
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use bergamottrack_coordination::fair::{FairQueue, Ticket};
//!
//! let now = Instant::now();
//! let mut queue = FairQueue::new(1, Duration::from_millis(2));
//! let ticket = |account: &str| Ticket {
//!     account: account.parse().unwrap(),
//!     weight: 1,
//!     deadline: now + Duration::from_secs(5),
//!     urgent: false,
//! };
//! for n in 0..100 {
//!     queue.push(&ticket("large"), now, n).unwrap();
//! }
//! queue.push(&ticket("small"), now, 1000).unwrap();
//!
//! // The request of the small account is not queued behind the 100 of the large one.
//! let first = queue.pop().unwrap();
//! queue.release(&first.account, first.cost, Duration::from_millis(2));
//! let second = queue.pop().unwrap();
//! assert!(first.item == 1000 || second.item == 1000);
//! ```
//!
//! A session that moves to another host:
//!
//! ```
//! use bergamottrack_coordination::{
//!     AccountId, GroupId, Point,
//!     token::{Secret, SessionToken},
//! };
//!
//! let secret = Secret::new(b"shared by all hosts");
//! let account: AccountId = "baobab".parse().unwrap();
//! let group: GroupId = "commissions".parse().unwrap();
//! let mut token = SessionToken::default();
//! token.raise(&group, Point::new(3, 120));
//!
//! let text = token.seal(&account, &secret);
//! let elsewhere = SessionToken::open(&text, &account, &secret).unwrap();
//! assert_eq!(elsewhere.floor(&group), Some(Point::new(3, 120)));
//! assert!(!Point::new(3, 119).covers(Point::new(3, 120)));
//! ```

pub mod ages;
pub mod attempts;
pub mod bucket;
pub mod budget;
pub mod changes;
pub mod choice;
pub mod claims;
pub mod clients;
pub mod clock;
pub mod cold;
pub mod confirm;
pub mod congestion;
pub mod connections;
pub mod contact;
pub mod coverage;
pub mod demand;
pub mod duty;
pub mod evacuation;
pub mod fair;
pub mod freshness;
pub mod gate;
pub mod holders;
pub mod homes;
pub mod hubs;
pub mod idle;
pub mod ids;
pub mod leadership;
mod ledger;
pub mod lenders;
pub mod offsets;
pub mod outcome;
pub mod pace;
pub mod pieces;
pub mod process;
pub mod refusal;
pub mod rendezvous;
pub mod reports;
pub mod reserve;
pub mod retry;
pub mod shares;
pub mod silence;
pub mod store_clock;
pub mod succession;
pub mod suspicion;
pub mod token;
pub mod turns;
pub mod units;
pub mod view;

pub use bucket::Bucket;
pub use clock::{Clock, ManualClock, SystemClock};
pub use freshness::Freshness;
pub use ids::{
    AccountId, FailureDomain, GroupId, HostId, IdError, KeyId, OperatorId, Region, RequestId,
    ServerId, SubmitId,
};
pub use lenders::Lenders;
pub use refusal::{Fate, Reason, Refusal};
pub use shares::{Allotment, Share, Shares};
pub use store_clock::StoreClock;
pub use units::{Burst, Point, Position, Rate, Revision, Size, Term, UnitError};
