//! Server-sent events: encoder and bounded decoder.

mod decoder;
mod encoder;

pub use self::{
    decoder::{Decoder, DecoderError, Event},
    encoder::{DONE, encode},
};
