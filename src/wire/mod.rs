//! Messages between instances and their codec.
//!
//! Messages are MessagePack with named fields. A streamed answer is a sequence of frames, each preceded by its length
//! as four big-endian bytes.

mod call;
mod codec;
mod failure;
mod frame;
mod hold;
mod run;

pub use call::Call;
pub use call::Reply;
pub use codec::decode;
pub use codec::encode;
pub use codec::encode_frame;
pub use codec::read_frame;
pub use codec::Validator;
pub use codec::FRAME_LIMIT;
pub use failure::Answer;
pub use failure::Failure;
pub use frame::Body;
pub use frame::Frame;
pub use hold::Held;
pub use hold::Hold;
pub use hold::Segment;
pub use run::Run;
