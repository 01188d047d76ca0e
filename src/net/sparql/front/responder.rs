//! Responses to one request: complete ones, and answers that are streamed in chunks.

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

/// What becomes of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterResponse {
    /// It carries further requests.
    KeepOpen,
    /// It is closed; the response is complete.
    Close,
    /// It is closed at once, without a proper end: the response is not complete, or the client has left.
    Abort,
}

/// Writes the response to one request.
pub(super) struct Responder<'a> {
    pub(super) connection: &'a mut ClientConnection,
    /// What the client has sent behind its request.
    pub(super) buffer: &'a mut Buffer,
    pub(super) request: &'a Request,
}

impl Responder<'_> {
    /// Writes a complete response.
    pub(super) async fn write(&mut self, response: Vec<u8>) -> io::Result<AfterResponse> {
        if !self.request.keeps_connection_open() || self.connection.ends() {
            return self.write_and_close(response).await;
        }
        self.connection.write(&response).await?;
        Ok(AfterResponse::KeepOpen)
    }

    /// Writes a complete response that says that the connection closes after it.
    pub(super) async fn write_and_close(&mut self, response: Vec<u8>) -> io::Result<AfterResponse> {
        self.connection.write(&server::with_connection_close(response)).await?;
        Ok(AfterResponse::Close)
    }

    /// Writes a host's answer.
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
                // Without chunks the end of the connection would be the end of the answer, cut short or not.
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

    /// Writes an answer as it comes. Where the host breaks off the last chunk is missing, so that the client can tell.
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
                    log::warn!("host: the connection ended in the middle of an answer");
                    return Ok(AfterResponse::Abort);
                }
                AnswerEvent::ClientSentMore => {}
                // A host that stalls must not hold an attempt for a client that has left.
                AnswerEvent::ClientLeft => return Ok(AfterResponse::Abort),
            }
        }
    }
}

/// A chunk of the chunked transfer coding (RFC 9112, section 7.1).
fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
