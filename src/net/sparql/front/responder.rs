//! Writes the response to one request, either completely or streamed in chunks.

use crate::net::answer_stream::{AnswerEvent, StreamChunk, next_event};
use crate::net::buffer::Buffer;
use crate::net::connection::ClientConnection;
use crate::net::http::server::{self, Request};
use crate::net::http::status;
use crate::net::sparql::client_error::ClientError;
use crate::net::sparql::endpoint::{AnswerBody, EndpointAnswer};
use async_channel::Receiver;
use std::io;

/// The last chunk of the chunked transfer coding, with an empty trailer section.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// What to do with a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// Wait for the next request.
    KeepOpen,
    /// Close it gracefully; the response is complete.
    Close,
    /// Close it at once: the response is not complete, or the client has disconnected.
    Abort,
}

/// Writes the response to one request.
pub(super) struct Responder<'a> {
    pub(super) connection: &'a mut ClientConnection,
    /// Input that the client has sent after its request.
    pub(super) buffer: &'a mut Buffer,
    pub(super) request: &'a Request,
}

impl Responder<'_> {
    /// Writes an encoded response. It is the last one if the client wants that, or if the connection must close and the
    /// client has not sent more.
    pub(super) async fn write(&mut self, response: Vec<u8>) -> io::Result<AfterResponse> {
        let must_close = self.connection.must_close();
        let is_last = must_close && self.buffer.unread().is_empty() && !self.connection.has_input();
        if is_last || !self.request.keeps_connection_open() {
            return self.write_and_close(response).await;
        }
        self.connection.write(&response).await?;
        Ok(AfterResponse::KeepOpen)
    }

    /// Writes an encoded response with the header `Connection: close`.
    pub(super) async fn write_and_close(&mut self, response: Vec<u8>) -> io::Result<AfterResponse> {
        self.connection.write(&server::with_connection_close(response)).await?;
        Ok(AfterResponse::Close)
    }

    /// Writes an endpoint's answer.
    pub(super) async fn write_answer(&mut self, answer: EndpointAnswer) -> io::Result<AfterResponse> {
        let EndpointAnswer { status, headers, body } = answer;
        let mut headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        match body {
            AnswerBody::Buffered(body) => {
                let length = body.len().to_string();
                if status != status::NO_CONTENT {
                    headers.push(("Content-Length", &length));
                }
                let mut response = server::encode_response_head(status, &headers);
                response.extend_from_slice(&body);
                self.write(response).await
            }
            AnswerBody::Streamed(_) if self.request.head.request_version() != "HTTP/1.1" => {
                // Without chunks only the close of the connection could mark the end of the answer, truncated or not.
                self.write_and_close(ClientError::ChunksUnsupported.to_response()).await?;
                Ok(AfterResponse::Abort)
            }
            AnswerBody::Streamed(chunks) => {
                headers.push(("Transfer-Encoding", "chunked"));
                self.connection.write(&server::encode_response_head(status, &headers)).await?;
                self.write_chunks(&chunks).await
            }
        }
    }

    /// Writes a streamed answer as it arrives. If the endpoint fails in the middle, the last chunk is not written, so
    /// that the client can detect the truncation.
    async fn write_chunks(&mut self, chunks: &Receiver<StreamChunk>) -> io::Result<AfterResponse> {
        loop {
            match next_event(chunks, self.connection, self.buffer).await {
                AnswerEvent::Received(StreamChunk::Data(data)) => {
                    self.connection.write(&encode_chunk(&data)).await?;
                }
                AnswerEvent::Received(StreamChunk::End) => {
                    self.connection.write(LAST_CHUNK).await?;
                    let keeps_connection_open = self.request.keeps_connection_open();
                    return Ok(if keeps_connection_open {
                        AfterResponse::KeepOpen
                    } else {
                        AfterResponse::Close
                    });
                }
                AnswerEvent::ChannelClosed => {
                    log::warn!("endpoint: the answer ended before it was complete");
                    return Ok(AfterResponse::Abort);
                }
                AnswerEvent::ClientData => {}
                // Ends the attempt even if the endpoint stalls, since its client has disconnected.
                AnswerEvent::ClientDisconnected => return Ok(AfterResponse::Abort),
            }
        }
    }
}

/// Encodes a chunk of the chunked transfer coding (RFC 9112, section 7.1). `data` must not be empty: an empty chunk is
/// the last one.
fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
