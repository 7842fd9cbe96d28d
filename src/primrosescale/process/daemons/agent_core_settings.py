"""Settings of an agent's handling of calls."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from primrosescale.request.attempt.agent_call import StreamSettings
from primrosescale.request.capacity.admission import AdmissionSettings
from primrosescale.request.capacity.load_bound import BoundSettings
from primrosescale.request.capacity.work_estimate import WorkSettings
from primrosescale.request.target.target_health import HealthSettings


@dataclass(frozen=True, slots=True)
class AgentCoreSettings:
    """Settings of an agent's handling of calls.

    Parameters
    ----------
    name : str
        Name of its target.
    service : str
        Service of its target.
    admission : AdmissionSettings
        Concurrent calls and queue.
    bound : BoundSettings
        Bound on the load relative to the mean load of the service.
    health : HealthSettings
        Circuit breaker of the target.
    work : WorkSettings
        Cost of requests at the target, for estimates of work.
    stream : StreamSettings
        Flow control and batching of answers.
    chats : int
        Maximum number of chats in the chat directory.
    chat_keep : float
        Seconds for which the chat directory keeps a chat.
    max_call_ids : int
        Maximum number of call identifiers kept.
    call_id_keep_seconds : float
        Seconds for which a call's identifier is kept after its deadline.
    answer_keep : float
        Seconds for which an ended call's answer is kept for a router that
        resumes it.
    max_kept_answer_bytes : int
        Bytes of kept answers above which new calls are refused.
    recorded_answer : int
        Maximum bytes of an answer that is recorded in the ledger.
    max_body_bytes : int
        Bytes of the bodies of waiting and running calls above which new calls are
        refused; a single one is admitted whatever its size.
    """

    name: str
    service: str
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    bound: BoundSettings = field(default_factory=BoundSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    work: WorkSettings = field(default_factory=WorkSettings)
    stream: StreamSettings = field(default_factory=StreamSettings)
    chats: int = 8192
    chat_keep: float = 4 * 3600.0
    max_call_ids: int = 50_000
    call_id_keep_seconds: float = 60.0
    answer_keep: float = 10.0
    max_kept_answer_bytes: int = 16 * 1024 * 1024
    recorded_answer: int = 16 * 1024
    max_body_bytes: int = 32 * 1024 * 1024
