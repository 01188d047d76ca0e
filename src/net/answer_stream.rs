//! Streamed answers, for the fronts of all protocols: the chunks of answers that are too long to be buffered, and
//! waiting for the engine or an endpoint while watching for the client's disconnect.

use super::buffer::Buffer;
use super::connection::{ClientConnection, ReadAhead};
use async_channel::Receiver;
use futures_lite::future;

/// A part of a streamed answer. If the channel closes before [`StreamChunk::End`], the endpoint broke off its answer;
/// the front must close the client's connection without terminating the answer, so that the client detects that the
/// answer is incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamChunk {
    /// The next bytes of the answer.
    Data(Vec<u8>),
    /// The answer is complete.
    End,
}

/// The first event while a client waits for an answer.
#[derive(Debug)]
pub enum AnswerEvent<T> {
    /// A message from the engine or from the attempt at an endpoint.
    Received(T),
    /// The sender was dropped before the answer was complete.
    ChannelClosed,
    /// The client has sent more data, which was appended to its input buffer.
    ClientData,
    /// The client has closed its connection, or the connection broke.
    ClientDisconnected,
}

/// Waits for a message for the client, or for one read from the client into `input`.
pub async fn next_event<T>(
    messages: &Receiver<T>,
    connection: &mut ClientConnection,
    input: &mut Buffer,
) -> AnswerEvent<T> {
    let received = async {
        match messages.recv().await {
            Ok(message) => AnswerEvent::Received(message),
            Err(_) => AnswerEvent::ChannelClosed,
        }
    };
    let read = async {
        match connection.read_ahead(input).await {
            ReadAhead::Received => AnswerEvent::ClientData,
            ReadAhead::Disconnected => AnswerEvent::ClientDisconnected,
        }
    };
    // `or` prefers its first argument if both are ready: an answer is written before more input is read.
    future::or(received, read).await
}
