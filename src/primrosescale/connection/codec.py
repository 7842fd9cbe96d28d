"""Encoding of messages as frames: a byte for the kind, then a thrift struct."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING
from typing import TypeAlias
from typing import cast

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from primrosescale.connection.exceptions import FrameError
from primrosescale.connection.wire import ttypes as wire

if TYPE_CHECKING:
    from collections.abc import Callable

Message: TypeAlias = (
    wire.Hello
    | wire.Ping
    | wire.Pong
    | wire.Call
    | wire.Answer
    | wire.AnswerHead
    | wire.AnswerChunk
    | wire.AnswerEnd
    | wire.CallFailed
    | wire.Credit
    | wire.Cancel
    | wire.Resume
    | wire.Placed
    | wire.Heartbeat
    | wire.HeartbeatReply
    | wire.PeerReport
    | wire.PeerReply
    | wire.DomainSums
    | wire.RouterNews
    | wire.SectionRequest
    | wire.SectionReply
    | wire.ClaimRequest
    | wire.ClaimReply
    | wire.CacheImport
    | wire.CacheQuestion
    | wire.CacheAnswer
    | wire.StreamOriginReport
    | wire.StreamOriginQuestion
    | wire.StreamOriginAnswer
    | wire.VersionQuestion
    | wire.VersionAnswer
)

KIND = wire.MessageKind
CLASS_BY_KIND: dict[int, type[Message]] = {
    KIND.HELLO: wire.Hello,
    KIND.PING: wire.Ping,
    KIND.PONG: wire.Pong,
    KIND.CALL: wire.Call,
    KIND.ANSWER: wire.Answer,
    KIND.ANSWER_HEAD: wire.AnswerHead,
    KIND.ANSWER_CHUNK: wire.AnswerChunk,
    KIND.ANSWER_END: wire.AnswerEnd,
    KIND.CALL_FAILED: wire.CallFailed,
    KIND.CREDIT: wire.Credit,
    KIND.CANCEL: wire.Cancel,
    KIND.RESUME: wire.Resume,
    KIND.PLACED: wire.Placed,
    KIND.HEARTBEAT: wire.Heartbeat,
    KIND.HEARTBEAT_REPLY: wire.HeartbeatReply,
    KIND.PEER_REPORT: wire.PeerReport,
    KIND.PEER_REPLY: wire.PeerReply,
    KIND.DOMAIN_SUMS: wire.DomainSums,
    KIND.ROUTER_NEWS: wire.RouterNews,
    KIND.SECTION_REQUEST: wire.SectionRequest,
    KIND.SECTION_REPLY: wire.SectionReply,
    KIND.CLAIM_REQUEST: wire.ClaimRequest,
    KIND.CLAIM_REPLY: wire.ClaimReply,
    KIND.CACHE_IMPORT: wire.CacheImport,
    KIND.CACHE_QUESTION: wire.CacheQuestion,
    KIND.CACHE_ANSWER: wire.CacheAnswer,
    KIND.STREAM_ORIGIN_REPORT: wire.StreamOriginReport,
    KIND.STREAM_ORIGIN_QUESTION: wire.StreamOriginQuestion,
    KIND.STREAM_ORIGIN_ANSWER: wire.StreamOriginAnswer,
    KIND.VERSION_QUESTION: wire.VersionQuestion,
    KIND.VERSION_ANSWER: wire.VersionAnswer,
}
PREFIX_BY_CLASS = {item: bytes([kind]) for kind, item in CLASS_BY_KIND.items()}
DECODE_ERRORS = (
    TProtocolException,
    TException,
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    MemoryError,
    struct.error,
)

# One protocol object is reused for all messages; each message gets its own
# transport.
_protocol = TCompactProtocolAcceleratedFactory().getProtocol(TMemoryBuffer())


def encode_struct(item: object) -> bytes:
    """Encode one thrift struct.

    Parameters
    ----------
    item : object
        A struct of the generated module.

    Returns
    -------
    bytes
        The struct, encoded with the compact protocol.
    """
    buffer = _protocol.trans = TMemoryBuffer()
    item.write(_protocol)  # type: ignore[attr-defined]
    return bytes(buffer.getvalue())


def decode_struct(item: object, data: bytes) -> None:
    """Fill a thrift struct from its encoding.

    Parameters
    ----------
    item : object
        An empty struct of the generated module.
    data : bytes
        The struct, encoded with the compact protocol.

    Raises
    ------
    FrameError
        If the data does not encode this struct or a required field is missing.
    """
    try:
        _protocol.trans = TMemoryBuffer(data)
        item.read(_protocol)  # type: ignore[attr-defined]
        item.validate()  # type: ignore[attr-defined]
    except DECODE_ERRORS as error:
        raise FrameError(str(error)) from error


def encode(message: Message) -> bytes:
    """Encode a message as the payload of a frame.

    Parameters
    ----------
    message : Message
        The message.

    Returns
    -------
    bytes
        The kind byte and the encoded struct.
    """
    return PREFIX_BY_CLASS[type(message)] + encode_struct(message)


def decode(frame: bytes) -> Message:
    """Decode the payload of a frame.

    Parameters
    ----------
    frame : bytes
        The kind byte and the encoded struct.

    Returns
    -------
    Message
        The message.

    Raises
    ------
    FrameError
        If the frame is empty, malformed or of an unknown kind.
    """
    if not frame:
        raise FrameError("empty")
    message_class = CLASS_BY_KIND.get(frame[0])
    if message_class is None:
        raise FrameError(f"kind {frame[0]} is unknown")
    make_message = cast("Callable[[], Message]", message_class)
    message = make_message()
    decode_struct(message, frame[1:])
    return message
