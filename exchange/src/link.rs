//! Client connection that carries one exchange at a time: [`ExchangeLink`].

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_codec::{Encoder, Framed, FramedParts};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::answer::ExchangeAnswer;
use crate::answer_buffer::AnswerBuffer;
use crate::error::{ConnectionFailedSnafu, ExchangeError, GarbledSnafu, UnexpectedEndSnafu};
use crate::memory_account::{FREE_BYTES, HeldLease};
use crate::metered_stream::MeteredStream;
use crate::socket::LinkOptions;
use crate::transfer_progress::TransferProgress;
use crate::turn_stream::TurnStream;

/// Initial size of the buffer for a request, in bytes.
const HEAD_BYTES: usize = 1024;
/// Initial size of the buffer for an answer, in bytes; it is enlarged when less than a kilobyte is
/// left.
const ANSWER_BYTES: usize = 2 * 1024;
/// Room for a read of a body that extends to the end of the connection, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Maximum number of answers to other requests that one exchange skips; one more fails the
/// exchange.
const MAX_FOREIGN_ANSWERS: u32 = 2;
/// Maximum number of interim answers, with a 1xx status, before an answer.
const MAX_INTERIM_ANSWERS: u32 = 8;

const SEND_STEP: &str = "send request";
const READ_STEP: &str = "read answer";

/// Request to be sent.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Head without the body's length, which is added when the request is sent; shared by the
    /// requests that differ only in `headers`.
    pub head: Rc<RequestHead>,
    /// Headers that are added to those of the head, or replace them.
    pub headers: HeaderMap,
    /// Body; `None` for a request without one.
    pub body: Option<Bytes>,
}

impl OutgoingRequest {
    /// Creates a request that shares its head with no other.
    pub fn new(head: RequestHead, body: Option<Bytes>) -> Self {
        Self {
            head: Rc::new(head),
            headers: HeaderMap::new(),
            body,
        }
    }
}

/// The request that an answer belongs to, as its head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The request of the present exchange.
    ThisRequest,
    /// A request that the connection carried before; a peer may send an answer twice.
    EarlierRequest,
    /// The present request or an earlier one; such an answer is refused.
    Unknown,
}

/// Client connection that carries one exchange at a time.
#[derive(Debug)]
pub struct ExchangeLink {
    /// TCP connection; `None` after an exchange that left it unusable.
    stream: Option<MeteredStream>,
    config: ServiceConfig,
}

type HeadFrames = Framed<MeteredStream, ClientCodec>;
type BodyFrames = Framed<MeteredStream, ClientPayloadCodec>;

impl ExchangeLink {
    /// Opens a connection; `config` is shared by all connections of a thread.
    ///
    /// # Errors
    ///
    /// [`io::Error`] as for [`LinkOptions::connect`].
    pub async fn open(
        address: SocketAddr,
        options: &LinkOptions,
        config: &ServiceConfig,
    ) -> io::Result<Self> {
        let stream = options.connect(address).await?;
        Ok(Self {
            stream: Some(MeteredStream::new(TurnStream::new(stream))),
            config: config.clone(),
        })
    }

    /// Counts the bytes that the link sends and receives.
    #[must_use]
    pub fn counting(mut self, progress: TransferProgress) -> Self {
        if let Some(stream) = &mut self.stream {
            stream.count(progress);
        }
        self
    }

    /// Makes the link reset its connection when it is dropped, so that a request which a network
    /// partition holds up is never delivered once nobody waits for its answer.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the option can't be set.
    pub fn reset_on_close(self) -> io::Result<Self> {
        if let Some(stream) = &self.stream {
            stream.reset_on_close()?;
        }
        Ok(self)
    }

    /// Returns whether the connection is open and the peer has sent nothing since the last
    /// exchange.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let read = self
            .stream
            .as_ref()
            .map(|stream| stream.try_read(&mut byte));
        matches!(read, Some(Err(error)) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the complete answer. `owner_of` tells by an answer's head whether it
    /// is the answer to this request; one to an earlier request is skipped.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`]; the peer may have received the request, and the link must be dropped.
    pub async fn exchange(
        &mut self,
        request: OutgoingRequest,
        owner_of: impl Fn(&ResponseHead) -> AnswerOwner,
    ) -> Result<ExchangeAnswer, ExchangeError> {
        let Some(stream) = self.stream.take() else {
            return UnexpectedEndSnafu { step: SEND_STEP }.fail();
        };
        let (mut stream, mut codec) = (stream, ClientCodec::new(self.config.clone()));
        send(&mut stream, &mut codec, request).await?;
        let mut frames = receive(stream, codec).await?;
        let mut foreign = 0;
        loop {
            let head = read_head(&mut frames).await?;
            let is_own = match owner_of(&head) {
                AnswerOwner::ThisRequest => true,
                AnswerOwner::EarlierRequest => false,
                AnswerOwner::Unknown => return Err(garbled("the answer names no request")),
            };
            let (answer, parts) = read_body(frames, head).await?;
            let Some(parts) = parts else {
                return is_own.then_some(answer).ok_or(unexpected_end());
            };
            if is_own {
                if answer.reusable {
                    self.stream = Some(parts.io);
                }
                return Ok(answer);
            }
            foreign += 1;
            if foreign > MAX_FOREIGN_ANSWERS {
                return Err(garbled("too many answers to other requests"));
            }
            frames = Framed::from_parts(parts);
        }
    }
}

/// Sends a request. Its buffer is freed before the answer is awaited: a merged request waits for many
/// answers at once.
async fn send(
    stream: &mut MeteredStream,
    codec: &mut ClientCodec,
    request: OutgoingRequest,
) -> Result<(), ExchangeError> {
    let size = match &request.body {
        Some(body) => BodySize::Sized(body.len() as u64),
        None => BodySize::None,
    };
    let headers = (!request.headers.is_empty()).then_some(request.headers);
    let head = RequestHeadType::Rc(request.head, headers);
    let body_bytes = request.body.as_ref().map_or(0, Bytes::len);
    // Small copies exist for a moment only, and are not counted.
    let _copy = HeldLease::charge(body_bytes.saturating_sub(FREE_BYTES));
    let mut bytes = BytesMut::with_capacity(HEAD_BYTES);
    let sent = async {
        codec.encode(Message::Item((head, size)), &mut bytes)?;
        if let Some(body) = request.body.filter(|body| !body.is_empty()) {
            codec.encode(Message::Chunk(Some(body)), &mut bytes)?;
        }
        stream.write_all(&bytes).await
    };
    sent.await
        .context(ConnectionFailedSnafu { step: SEND_STEP })
}

/// Waits until bytes of an answer have arrived, and returns the connection with a buffer for them.
async fn receive(stream: MeteredStream, codec: ClientCodec) -> Result<HeadFrames, ExchangeError> {
    let readable = stream.readable().await;
    readable.context(ConnectionFailedSnafu { step: READ_STEP })?;
    let buffer = BytesMut::with_capacity(ANSWER_BYTES);
    Ok(Framed::from_parts(FramedParts::with_read_buf(
        stream, codec, buffer,
    )))
}

/// Reads the head of the next answer, skipping interim answers with a 1xx status.
async fn read_head(frames: &mut HeadFrames) -> Result<ResponseHead, ExchangeError> {
    for _ in 0..=MAX_INTERIM_ANSWERS {
        let Some(head) = frames.next().await else {
            return UnexpectedEndSnafu { step: READ_STEP }.fail();
        };
        let head = head.map_err(|error| match error {
            actix_http::error::ParseError::Io(source)
                if source.kind() != io::ErrorKind::InvalidData =>
            {
                ExchangeError::ConnectionFailed {
                    step: READ_STEP,
                    source,
                }
            }
            other => garbled(&other.to_string()),
        })?;
        frames.io_mut().record_progress();
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(garbled("too many interim answers"))
}

/// Reads the body that follows a head. Returns the parts of the connection as well, unless the
/// body extended to the end of the connection.
async fn read_body(
    frames: HeadFrames,
    head: ResponseHead,
) -> Result<
    (
        ExchangeAnswer,
        Option<FramedParts<MeteredStream, ClientCodec>>,
    ),
    ExchangeError,
> {
    let (body, parts) = match frames.codec_ref().message_type() {
        MessageType::None if ends_with_connection(&head) => (read_to_end(frames).await?, None),
        MessageType::None => (Bytes::new(), Some(frames.into_parts())),
        MessageType::Payload | MessageType::Stream => {
            let frames = frames.into_map_codec(ClientCodec::into_payload_codec);
            let (body, frames) = read_framed(frames).await?;
            let frames = frames.into_map_codec(ClientPayloadCodec::into_message_codec);
            (body, Some(frames.into_parts()))
        }
    };
    let reusable = parts
        .as_ref()
        .is_some_and(|parts| parts.codec.keep_alive() && parts.read_buf.is_empty());
    let answer = ExchangeAnswer {
        status: head.status,
        headers: head.headers,
        body,
        reusable,
    };
    Ok((answer, parts))
}

/// Returns whether an answer without a length has a body, which then extends to the end of the
/// connection.
fn ends_with_connection(head: &ResponseHead) -> bool {
    let empty = head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED;
    let framed =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    !empty && !framed
}

async fn read_to_end(frames: HeadFrames) -> Result<Bytes, ExchangeError> {
    let parts = frames.into_parts();
    let (mut stream, mut body) = (parts.io, AnswerBuffer::new(parts.read_buf));
    loop {
        body.reserve(READ_BYTES).map_err(garbled)?;
        let read = stream.read_buf(body.bytes_mut()).await;
        if read.context(ConnectionFailedSnafu { step: READ_STEP })? == 0 {
            return Ok(body.into_bytes());
        }
        stream.record_progress();
    }
}

async fn read_framed(mut frames: BodyFrames) -> Result<(Bytes, BodyFrames), ExchangeError> {
    let mut body = AnswerBuffer::new(BytesMut::new());
    loop {
        match frames.next().await {
            Some(Ok(Some(chunk))) => {
                body.reserve(chunk.len()).map_err(garbled)?;
                body.bytes_mut().extend_from_slice(&chunk);
                frames.io_mut().record_progress();
            }
            Some(Ok(None)) => return Ok((body.into_bytes(), frames)),
            Some(Err(error)) => return Err(garbled(&error.to_string())),
            None => return UnexpectedEndSnafu { step: READ_STEP }.fail(),
        }
    }
}

fn garbled(reason: &str) -> ExchangeError {
    GarbledSnafu {
        step: READ_STEP,
        reason,
    }
    .build()
}

fn unexpected_end() -> ExchangeError {
    UnexpectedEndSnafu { step: READ_STEP }.build()
}
