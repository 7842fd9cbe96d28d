"""Types of the generated thrift module."""

from enum import IntEnum

class MessageKind(IntEnum):
    HELLO = 1
    PING = 2
    PONG = 3
    CALL = 10
    ANSWER_HEAD = 11
    ANSWER_CHUNK = 12
    ANSWER_END = 13
    CALL_FAILED = 14
    CREDIT = 15
    CANCEL = 16
    RESUME = 17
    ANSWER = 18
    PLACED = 19
    HEARTBEAT = 30
    HEARTBEAT_REPLY = 31
    PEER_REPORT = 32
    PEER_REPLY = 33
    DOMAIN_SUMS = 34
    ROUTER_NEWS = 35
    SECTION_REQUEST = 40
    SECTION_REPLY = 41
    CLAIM_REQUEST = 50
    CLAIM_REPLY = 51
    CACHE_IMPORT = 60
    CACHE_QUESTION = 61
    CACHE_ANSWER = 62
    STREAM_ORIGIN_REPORT = 70
    STREAM_ORIGIN_QUESTION = 71
    STREAM_ORIGIN_ANSWER = 72
    VERSION_QUESTION = 80
    VERSION_ANSWER = 81

class Outcome(IntEnum):
    RAN = 1
    NOT_RUN = 2
    UNKNOWN = 3

class Reason(IntEnum):
    OVER_BOUND = 1
    QUEUE_FULL = 2
    DRAINING = 3
    DEADLINE = 4
    ELSEWHERE = 5
    STORE_UNAVAILABLE = 6
    KEY_HELD = 7
    KEY_REUSED = 8
    REPLACED = 9
    NEVER_ARRIVED = 10
    TARGET_FAILED = 11
    TARGET_UNHEALTHY = 12
    DISPLACED = 13
    CANCELLED = 14
    LINK_LOST = 15
    ANSWER_TOO_LARGE = 16
    MEMORY_FULL = 17
    NO_CONFIGURATION = 18
    DUPLICATE = 19
    ANSWER_EVICTED = 20
    NO_CANDIDATE = 21
    RATE_LIMITED = 22
    RETRY_BUDGET = 23
    ANSWER_CUT = 24

class MemberState(IntEnum):
    JOINING = 1
    READY = 2
    LEAVING = 3
    DOWN = 4

class NewsScope(IntEnum):
    ROUTER = 1
    DOMAIN = 2
    FLEET = 3

class ClaimVerb(IntEnum):
    CLAIM = 1
    RECORD = 2
    ABANDON = 3

class ClaimState(IntEnum):
    GRANTED = 1
    HELD = 2
    RECORDED = 3
    ABANDONED = 4
    UNAVAILABLE = 5
    REUSED = 6

class Hello:
    protocol: int
    name: str
    incarnation: int
    domain: str
    def __init__(self, protocol: int, name: str, incarnation: int, domain: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Ping:
    sequence: int
    def __init__(self, sequence: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Pong:
    sequence: int
    def __init__(self, sequence: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Header:
    name: str
    value: str
    def __init__(self, name: str, value: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Call:
    router: int
    number: int
    target_incarnation: int
    service_name: str
    organisation: str
    chat: str
    method: str
    path: str
    headers: list[Header]
    body: bytes
    deadline_ms: int
    prompt_tokens: int
    output_tokens: int
    priority: int
    weight: int
    key: str
    idempotent: bool
    directed: bool
    version: int
    traceparent: str
    attempt: int
    ledger: str
    streamed: bool
    def __init__(self, router: int, number: int, target_incarnation: int, service_name: str, organisation: str, chat: str, method: str, path: str, headers: list[Header], body: bytes, deadline_ms: int, prompt_tokens: int, output_tokens: int, priority: int, weight: int, key: str, idempotent: bool, directed: bool, version: int, traceparent: str, attempt: int, ledger: str, streamed: bool) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class AnswerHead:
    router: int
    number: int
    status: int
    headers: list[Header]
    def __init__(self, router: int, number: int, status: int, headers: list[Header]) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Answer:
    router: int
    number: int
    status: int
    headers: list[Header]
    body: bytes
    digest: bytes
    cached_tokens: int
    load: int
    def __init__(self, router: int, number: int, status: int, headers: list[Header], body: bytes, digest: bytes, cached_tokens: int, load: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Placed:
    service_name: str
    chat: str
    place: str
    def __init__(self, service_name: str, chat: str, place: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class AnswerChunk:
    router: int
    number: int
    offset: int
    data: bytes
    def __init__(self, router: int, number: int, offset: int, data: bytes) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class AnswerEnd:
    router: int
    number: int
    length: int
    digest: bytes
    cached_tokens: int
    load: int
    def __init__(self, router: int, number: int, length: int, digest: bytes, cached_tokens: int, load: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class CallFailed:
    router: int
    number: int
    outcome: Outcome
    reason: Reason
    retry_after_ms: int
    place: str
    detail: str
    load: int
    def __init__(self, router: int, number: int, outcome: Outcome, reason: Reason, retry_after_ms: int, place: str, detail: str, load: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Credit:
    router: int
    number: int
    offset: int
    def __init__(self, router: int, number: int, offset: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Cancel:
    router: int
    number: int
    def __init__(self, router: int, number: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Resume:
    router: int
    number: int
    offset: int
    target_incarnation: int
    age_ms: int
    def __init__(self, router: int, number: int, offset: int, target_incarnation: int, age_ms: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class ServiceMean:
    service_name: str
    load: int
    targets: int
    age_ms: int
    def __init__(self, service_name: str, load: int, targets: int, age_ms: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Head:
    version: int
    digest: str
    approver: str
    signature: bytes
    def __init__(self, version: int, digest: str, approver: str, signature: bytes) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Heartbeat:
    agent: str
    incarnation: int
    sequence: int
    service_name: str
    load: int
    state: MemberState
    version: int
    error_permille: int
    list_version: int
    def __init__(self, agent: str, incarnation: int, sequence: int, service_name: str, load: int, state: MemberState, version: int, error_permille: int, list_version: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class HostEntry:
    name: str
    role: str
    address: str
    port: int
    domain: str
    region: str
    service_name: str
    leaving: bool
    gone: bool
    version: int
    incarnation: int
    def __init__(self, name: str, role: str, address: str, port: int, domain: str, region: str, service_name: str, leaving: bool, gone: bool, version: int, incarnation: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class HeartbeatReply:
    sequence: int
    means: list[ServiceMean]
    head: Head
    list_version: int
    routers: list[HostEntry]
    targets: list[HostEntry]
    def __init__(self, sequence: int, means: list[ServiceMean], head: Head, list_version: int, routers: list[HostEntry], targets: list[HostEntry]) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class MemberNotice:
    name: str
    incarnation: int
    state: MemberState
    origin: str
    def __init__(self, name: str, incarnation: int, state: MemberState, origin: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class Laggard:
    name: str
    version: int
    def __init__(self, name: str, version: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class RateReport:
    organisation: str
    demand_permille: int
    def __init__(self, organisation: str, demand_permille: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class ServiceSum:
    service_name: str
    load: int
    targets: int
    def __init__(self, service_name: str, load: int, targets: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class PeerReport:
    origin: str
    incarnation: int
    sequence: int
    sums: list[ServiceSum]
    list_version: int
    version: int
    lowest_agent_version: int
    agents: int
    laggards: list[Laggard]
    notices: list[MemberNotice]
    rates: list[RateReport]
    wants_domains: bool
    def __init__(self, origin: str, incarnation: int, sequence: int, sums: list[ServiceSum], list_version: int, version: int, lowest_agent_version: int, agents: int, laggards: list[Laggard], notices: list[MemberNotice], rates: list[RateReport], wants_domains: bool) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class DomainReport:
    domain: str
    origin: str
    sequence: int
    sums: list[ServiceSum]
    lowest_version: int
    lowest_agent_version: int
    routers: int
    agents: int
    laggards: list[Laggard]
    notices: list[MemberNotice]
    rates: list[RateReport]
    age_ms: int
    def __init__(self, domain: str, origin: str, sequence: int, sums: list[ServiceSum], lowest_version: int, lowest_agent_version: int, routers: int, agents: int, laggards: list[Laggard], notices: list[MemberNotice], rates: list[RateReport], age_ms: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class PeerReply:
    sequence: int
    means: list[ServiceMean]
    head: Head
    changes: list[HostEntry]
    list_version: int
    list_gap: bool
    notices: list[MemberNotice]
    rates: list[RateReport]
    domains: list[DomainReport]
    source: str
    def __init__(self, sequence: int, means: list[ServiceMean], head: Head, changes: list[HostEntry], list_version: int, list_gap: bool, notices: list[MemberNotice], rates: list[RateReport], domains: list[DomainReport], source: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class DomainSums:
    report: DomainReport
    head: Head
    def __init__(self, report: DomainReport, head: Head) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class TargetNews:
    target: int
    running: int
    good_percent: int | None
    bad_percent: int | None
    good: int | None
    def __init__(self, target: int, running: int, good_percent: int | None = ..., bad_percent: int | None = ..., good: int | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class PartNews:
    part: str
    target: int
    tokens: int
    age_ms: int
    before: list[str] | None
    def __init__(self, part: str, target: int, tokens: int, age_ms: int, before: list[str] | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class EndNews:
    fingerprint: int
    age_ms: int
    target: int | None
    is_try: bool | None
    was_answered: bool | None
    parts: list[int] | None
    is_late: bool | None
    is_lasting: bool | None
    def __init__(self, fingerprint: int, age_ms: int, target: int | None = ..., is_try: bool | None = ..., was_answered: bool | None = ..., parts: list[int] | None = ..., is_late: bool | None = ..., is_lasting: bool | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class RouterNews:
    origin: str
    incarnation: int
    sequence: int
    heard: int
    version: int
    knowledge_age_ms: int
    targets: list[TargetNews]
    parts: list[PartNews]
    store_lost: bool
    targets_revision: int
    scope: NewsScope | None
    wants_fleet: bool | None
    targets_digest: int | None
    running: bytes | None
    age_ms: int | None
    routers: int | None
    is_packed: bool | None
    ends: list[EndNews] | None
    held: list[EndNews] | None
    evacuated: list[str] | None
    evacuated_revision: int | None
    leaving: list[int] | None
    waiting: dict[int, int] | None
    def __init__(self, origin: str, incarnation: int, sequence: int, heard: int, version: int, knowledge_age_ms: int, targets: list[TargetNews], parts: list[PartNews], store_lost: bool, targets_revision: int, scope: NewsScope | None = ..., wants_fleet: bool | None = ..., targets_digest: int | None = ..., running: bytes | None = ..., age_ms: int | None = ..., routers: int | None = ..., is_packed: bool | None = ..., ends: list[EndNews] | None = ..., held: list[EndNews] | None = ..., evacuated: list[str] | None = ..., evacuated_revision: int | None = ..., leaving: list[int] | None = ..., waiting: dict[int, int] | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class CacheQuestion:
    origin: str
    def __init__(self, origin: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class CachedPart:
    part: str
    tokens: int
    age_ms: int
    def __init__(self, part: str, tokens: int, age_ms: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class TargetCache:
    target: int
    parts: list[CachedPart]
    def __init__(self, target: int, parts: list[CachedPart]) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class CacheAnswer:
    origin: str
    caches: list[TargetCache]
    is_last: bool
    def __init__(self, origin: str, caches: list[TargetCache], is_last: bool) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class StreamOriginReport:
    key: bytes
    service_name: str
    expires_in_ms: int
    software_version: str | None
    def __init__(self, key: bytes, service_name: str, expires_in_ms: int, software_version: str | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class StreamOriginQuestion:
    origin: str
    key: bytes
    service_name: str
    window_ms: int
    def __init__(self, origin: str, key: bytes, service_name: str, window_ms: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class StreamOriginAnswer:
    origin: str
    key: bytes
    service_name: str | None
    software_version: str | None
    only_version: str | None
    has_several_versions: bool | None
    def __init__(self, origin: str, key: bytes, service_name: str | None = ..., software_version: str | None = ..., only_version: str | None = ..., has_several_versions: bool | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class VersionQuestion:
    origin: str
    def __init__(self, origin: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class VersionAnswer:
    origin: str
    version: int
    def __init__(self, origin: str, version: int) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class SectionRequest:
    digest: str
    def __init__(self, digest: str) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class SectionReply:
    digest: str
    found: bool
    data: bytes
    def __init__(self, digest: str, found: bool, data: bytes) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class StoredAnswer:
    status: int
    headers: list[Header]
    body: bytes
    whole: bool
    def __init__(self, status: int, headers: list[Header], body: bytes, whole: bool) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class ClaimRequest:
    number: int
    verb: ClaimVerb
    key: bytes
    token: bytes
    fingerprint: bytes
    answer: StoredAnswer | None
    def __init__(self, number: int, verb: ClaimVerb, key: bytes, token: bytes, fingerprint: bytes, answer: StoredAnswer | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class ClaimReply:
    number: int
    state: ClaimState
    answer: StoredAnswer | None
    def __init__(self, number: int, state: ClaimState, answer: StoredAnswer | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class LedgerEntry:
    key: bytes
    token: bytes
    fingerprint: bytes
    state: ClaimState
    written_ms: int
    answer: StoredAnswer | None
    def __init__(self, key: bytes, token: bytes, fingerprint: bytes, state: ClaimState, written_ms: int, answer: StoredAnswer | None = ...) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class LedgerSegment:
    format: int
    entries: list[LedgerEntry]
    sealed: list[str]
    def __init__(self, format: int, entries: list[LedgerEntry], sealed: list[str]) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...

class CacheImport:
    service_name: str
    chat: str
    tokens: int
    data: bytes
    def __init__(self, service_name: str, chat: str, tokens: int, data: bytes) -> None: ...
    def read(self, iprot: object) -> None: ...
    def write(self, oprot: object) -> None: ...
