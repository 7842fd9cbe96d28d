"""Limits on what a process spends on clients that do not keep to theirs."""

from __future__ import annotations

from dataclasses import dataclass

MEGABYTE = 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class GuardSettings:
    """Limits on the memory and the processor time spent on callers.

    Parameters
    ----------
    memory : int
        Bytes that may be held of what is being received and of unread answers.
    request_memory : int
        Bytes that requests without a long body may take while they are answered.
    body_memory : int
        Bytes that requests with a long body may take.
    long_body : int
        Bytes from which on a body waits for its room to be read.
    body_copies : int
        Copies of a body that are held while it is received and sent.
    waiting_bodies : int
        Bodies that may wait for room; further ones are refused.
    wait_seconds : float
        Seconds for which a body waits for room at the most.
    stall_seconds : float
        Seconds without progress after which a body loses its room to a waiting one.
    body_rate : float
        Bytes a second below which a body loses its room to a waiting one.
    linger_seconds : float
        Seconds for which the rest of a refused body is discarded, so that its
        sender can read the refusal.
    lingering : int
        Connections that may do so at a time; beyond, the oldest is closed at once.
    close_seconds : float
        Seconds without progress after which a connection that is being closed, and
        whose client does not read the rest of an answer, is aborted.
    pieces : int
        Reads, lines and chunks of one request; connections that send more wait for
        their turn after each read.
    connections : int
        Connections of callers that may be open.
    """

    memory: int = 32 * MEGABYTE
    request_memory: int = 24 * MEGABYTE
    body_memory: int = 40 * MEGABYTE
    long_body: int = 128 * 1024
    body_copies: int = 3
    waiting_bodies: int = 512
    wait_seconds: float = 3.0
    stall_seconds: float = 1.0
    body_rate: float = 64 * 1024
    linger_seconds: float = 2.0
    lingering: int = 64
    close_seconds: float = 15.0
    pieces: int = 64
    connections: int = 2000
