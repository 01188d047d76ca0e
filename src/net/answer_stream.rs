//! What the fronts of all protocols share about answers that take time: chunks of answers that are too long to be
//! buffered, and waiting for the engine or a host while the client may leave.

use super::buffer::Buffer;
use super::connection::{ClientConnection, ReadAhead};
use async_channel::Receiver;
use futures_lite::future;

/// A part of a streamed answer. A channel that closes before [`StreamChunk::End`] means that the host broke off, and
/// the client must be able to tell: its connection ends without a proper end of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamChunk {
    /// More bytes.
    Data(Vec<u8>),
    /// The answer is complete.
    End,
}

/// What came first while a client waits.
#[derive(Debug)]
pub enum AnswerEvent<T> {
    /// A message from the engine or the host side.
    Received(T),
    /// The sender was dropped before the end of the answer.
    ChannelClosed,
    /// The client has sent more, which was appended to its buffer.
    ClientData,
    /// The client has left.
    ClientDisconnected,
}

/// Waits for a message for a client, and reads what the client sends meanwhile.
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
    // The first one wins where both are there: an answer is written before more is read.
    future::or(received, read).await
}
