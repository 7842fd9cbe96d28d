"""A caller's request as parsed and accepted by a router, to be sent to an agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.wire.ttypes import Header


@dataclass(slots=True)
class CallRequest:
    """A request to be sent to the agent of a target of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    organisation : str
        Organisation that sent the request.
    chat : str
        Chat that the request belongs to; empty for none.
    method : str
        HTTP method.
    path : str
        Path and query sent to the target.
    headers : list[Header]
        Headers sent to the target.
    body : bytes
        Request body.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    prompt_tokens : int
        Number of prompt tokens; 0 for a plain service.
    output_tokens : int
        Maximum number of answer tokens set by the caller; 0 for no limit.
    priority : int
        Priority class of the organisation; a lower number goes first.
    weight : int
        Weight of the organisation in fair queueing.
    key : str
        Idempotency key; empty for none.
    is_idempotent : bool
        Whether the request may safely run twice.
    version : int
        Version of the configuration under which the request was accepted.
    traceparent : str
        W3C trace context for the next hop; empty for none.
    ledger : str
        Endpoint of the router that writes the claim on the key; empty for any.
    is_streamed : bool
        Whether the caller reads the answer as a stream.
    """

    service: str
    organisation: str
    chat: str
    method: str
    path: str
    headers: list[Header]
    body: bytes
    deadline: float
    prompt_tokens: int
    output_tokens: int
    priority: int
    weight: int
    key: str
    is_idempotent: bool
    version: int
    traceparent: str
    ledger: str
    is_streamed: bool
