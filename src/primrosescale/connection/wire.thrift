/* Messages between routers and agents, and between routers.
 *
 * A frame is one byte naming the kind of the message (MessageKind) followed
 * by the struct of that kind in thrift's compact protocol.
 */
namespace py primrosescale.connection.wire

enum MessageKind {
  HELLO = 1, PING = 2, PONG = 3,
  CALL = 10, ANSWER_HEAD = 11, ANSWER_CHUNK = 12, ANSWER_END = 13,
  CALL_FAILED = 14, CREDIT = 15, CANCEL = 16, RESUME = 17, ANSWER = 18, PLACED = 19,
  HEARTBEAT = 30, HEARTBEAT_REPLY = 31, PEER_REPORT = 32, PEER_REPLY = 33,
  DOMAIN_SUMS = 34, ROUTER_NEWS = 35,
  SECTION_REQUEST = 40, SECTION_REPLY = 41,
  CLAIM_REQUEST = 50, CLAIM_REPLY = 51,
  CACHE_IMPORT = 60, CACHE_QUESTION = 61, CACHE_ANSWER = 62,
  STREAM_ORIGIN_REPORT = 70, STREAM_ORIGIN_QUESTION = 71, STREAM_ORIGIN_ANSWER = 72,
  VERSION_QUESTION = 80, VERSION_ANSWER = 81
}

/* What is known about a call that has no answer. */
enum Outcome { RAN = 1, NOT_RUN = 2, UNKNOWN = 3 }

enum Reason {
  OVER_BOUND = 1, QUEUE_FULL = 2, DRAINING = 3, DEADLINE = 4, ELSEWHERE = 5,
  STORE_UNAVAILABLE = 6, KEY_HELD = 7, KEY_REUSED = 8, REPLACED = 9,
  NEVER_ARRIVED = 10, TARGET_FAILED = 11, TARGET_UNHEALTHY = 12, DISPLACED = 13,
  CANCELLED = 14, LINK_LOST = 15, ANSWER_TOO_LARGE = 16, MEMORY_FULL = 17,
  NO_CONFIGURATION = 18, DUPLICATE = 19, ANSWER_EVICTED = 20,
  NO_CANDIDATE = 21, RATE_LIMITED = 22, RETRY_BUDGET = 23, ANSWER_CUT = 24
}

enum MemberState { JOINING = 1, READY = 2, LEAVING = 3, DOWN = 4 }

struct Hello {
  1: required i32 protocol, 2: required string name, 3: required i64 incarnation,
  4: required string domain
}
struct Ping { 1: required i64 sequence }
struct Pong { 1: required i64 sequence }

struct Header { 1: required string name, 2: required string value }

struct Call {
  1: required i64 router, 2: required i64 number,
  3: required i64 target_incarnation,
  4: required string service_name, 5: required string organisation,
  6: required string chat, 7: required string method, 8: required string path,
  9: required list<Header> headers, 10: required binary body,
  11: required i32 deadline_ms, 12: required i32 prompt_tokens,
  13: required i32 output_tokens, 14: required i32 priority,
  15: required i32 weight, 16: required string key, 17: required bool idempotent,
  18: required bool directed, 19: required i64 version,
  20: required string traceparent, 21: required i32 attempt,
  22: required string ledger, 23: required bool streamed
}
struct AnswerHead {
  1: required i64 router, 2: required i64 number, 3: required i32 status,
  4: required list<Header> headers
}
/* A short answer in one message; the digest covers the body.
 * "load" is the work outstanding at the agent, here and in the other messages that
 * end a call. */
struct Answer {
  1: required i64 router, 2: required i64 number, 3: required i32 status,
  4: required list<Header> headers, 5: required binary body,
  6: required binary digest, 7: required i32 cached_tokens, 8: required i32 load
}
/* Sent to the first candidate of a chat: the target that served the chat instead. */
struct Placed {
  1: required string service_name, 2: required string chat, 3: required string place
}
struct AnswerChunk {
  1: required i64 router, 2: required i64 number, 3: required i64 offset,
  4: required binary data
}
struct AnswerEnd {
  1: required i64 router, 2: required i64 number, 3: required i64 length,
  4: required binary digest, 5: required i32 cached_tokens, 6: required i32 load
}
struct CallFailed {
  1: required i64 router, 2: required i64 number, 3: required Outcome outcome,
  4: required Reason reason, 5: required i32 retry_after_ms,
  6: required string place, 7: required string detail, 8: required i32 load
}
struct Credit {
  1: required i64 router, 2: required i64 number, 3: required i64 offset
}
struct Cancel { 1: required i64 router, 2: required i64 number }
struct Resume {
  1: required i64 router, 2: required i64 number, 3: required i64 offset,
  4: required i64 target_incarnation, 5: required i32 age_ms
}

struct ServiceMean {
  1: required string service_name, 2: required i64 load, 3: required i32 targets,
  4: required i32 age_ms
}
struct Head {
  1: required i64 version, 2: required string digest, 3: required string approver,
  4: required binary signature
}
struct Heartbeat {
  1: required string agent, 2: required i64 incarnation, 3: required i64 sequence,
  4: required string service_name, 5: required i64 load, 6: required MemberState state,
  7: required i64 version, 8: required i32 error_permille,
  9: required i64 list_version
}
struct HostEntry {
  1: required string name, 2: required string role, 3: required string address,
  4: required i32 port, 5: required string domain, 6: required string region,
  7: required string service_name, 8: required bool leaving, 9: required bool gone,
  10: required i64 version, 11: required i64 incarnation
}
/* "routers" contains the routers of the agent's domain if the list has changed;
 * "targets" contains the targets of its service if the agent is leaving. */
struct HeartbeatReply {
  1: required i64 sequence, 2: required list<ServiceMean> means,
  3: required Head head, 4: required i64 list_version,
  5: required list<HostEntry> routers, 6: required list<HostEntry> targets
}
struct MemberNotice {
  1: required string name, 2: required i64 incarnation,
  3: required MemberState state, 4: required string origin
}
struct Laggard { 1: required string name, 2: required i64 version }
struct RateReport {
  1: required string organisation, 2: required i64 demand_permille
}
struct ServiceSum {
  1: required string service_name, 2: required i64 load, 3: required i32 targets
}
struct PeerReport {
  1: required string origin, 2: required i64 incarnation, 3: required i64 sequence,
  4: required list<ServiceSum> sums, 5: required i64 list_version,
  6: required i64 version, 7: required i64 lowest_agent_version,
  8: required i32 agents, 9: required list<Laggard> laggards,
  10: required list<MemberNotice> notices, 11: required list<RateReport> rates,
  12: required bool wants_domains
}
struct DomainReport {
  1: required string domain, 2: required string origin, 3: required i64 sequence,
  4: required list<ServiceSum> sums, 5: required i64 lowest_version,
  6: required i64 lowest_agent_version, 7: required i32 routers,
  8: required i32 agents, 9: required list<Laggard> laggards,
  10: required list<MemberNotice> notices, 11: required list<RateReport> rates,
  12: required i32 age_ms
}
struct PeerReply {
  1: required i64 sequence, 2: required list<ServiceMean> means,
  3: required Head head, 4: required list<HostEntry> changes,
  5: required i64 list_version, 6: required bool list_gap,
  7: required list<MemberNotice> notices, 8: required list<RateReport> rates,
  9: required list<DomainReport> domains, 10: required string source
}
struct DomainSums { 1: required DomainReport report, 2: required Head head }

/* State update for a target, part of RouterNews, which an entry router sends to each
 * of its peers in one datagram.
 * In RouterNews, "heard" is the highest sequence number that the sender has received
 * from the receiver, so that the receiver knows after which of its own messages this
 * one was sent. "knowledge_age_ms" is the age of the store's latest answer to the
 * sender about the configuration; -1 for none.
 * Targets are identified by a hash of their name. "good_percent" and "bad_percent" are
 * absent if nothing failed; "good" then contains the successes. */
struct TargetNews {
  1: required i32 target, 2: required i32 running,
  3: optional i32 good_percent, 4: optional i32 bad_percent, 5: optional i32 good
}
struct PartNews {
  1: required string part, 2: required i32 target, 3: required i32 tokens,
  4: required i32 age_ms, 5: optional list<string> before
}
/* The requests that a message counts: the sender's own, those of all routers of its
 * failure domain, or those of all routers except the receiver. */
enum NewsScope { ROUTER = 1, DOMAIN = 2, FLEET = 3 }
/* A target ended while running a request. Without "target", the request was answered
 * completely and earlier ends no longer count; or, with "is_try", the suspect request
 * was sent to one target as a trial and must not be sent to others meanwhile.
 * "fingerprint" identifies the request; "was_answered" is set if the target had
 * answered it just before it ended. "parts" identify parts of the request's prompt, if
 * the target ended as it began to answer, or those that are tried. "is_late" is set if
 * the end counts only against parts that no target is known to have survived, and not
 * against the request: the target may have ended some time after it began to answer.
 * Without "target" and "is_try", a target went on answering a prompt with these parts;
 * "is_lasting" is set if it is known to have survived them. */
struct EndNews {
  1: required i64 fingerprint, 2: required i32 age_ms, 3: optional i32 target,
  4: optional bool is_try, 5: optional bool was_answered,
  6: optional list<i64> parts, 7: optional bool is_late, 8: optional bool is_lasting
}

/* "ends" are forwarded by relays; "held" are the ends because of which the sender holds
 * requests back: they are sent repeatedly and not forwarded.
 * "scope" is absent if every router sends updates to every other one. The loads of a
 * message with a scope are in "running", one byte per target in the order of the
 * targets' keys (hashes of their names), if "targets_digest" equals the digest of the
 * receiver's list, and otherwise in "targets". "running" is compressed with deflate if
 * "is_packed" is set. "age_ms" is the age of the oldest load in the message, "routers"
 * the number of routers that it counts.
 * "evacuated" contains the failure domains that were evacuated at the store's revision
 * "evacuated_revision". "leaving" contains the keys of targets that reported in an
 * answer that they are leaving, while their entries do not show it. "waiting" contains
 * the number of requests that wait in the counted routers, and of refused callers that
 * are still to return to any router, by the key of their service (a hash of its name);
 * it is absent if there are none. */
struct RouterNews {
  1: required string origin, 2: required i64 incarnation, 3: required i64 sequence,
  4: required i64 heard, 5: required i64 version, 6: required i32 knowledge_age_ms,
  7: required list<TargetNews> targets, 8: required list<PartNews> parts,
  9: required bool store_lost, 10: optional i64 targets_revision,
  11: optional NewsScope scope, 12: optional bool wants_fleet,
  13: optional i32 targets_digest, 14: optional binary running,
  15: optional i32 age_ms, 16: optional i32 routers, 17: optional bool is_packed,
  18: optional list<EndNews> ends, 19: optional list<EndNews> held,
  20: optional list<string> evacuated, 21: optional i64 evacuated_revision,
  22: optional list<i32> leaving, 23: optional map<i32, i32> waiting
}

/* Request of a router that has just started for the prefix cache index of its peers.
 * Each peer answers with the parts of prompts that targets hold, for those targets of
 * which it is the first router in rendezvous order. "is_last" marks the last
 * message of its answer. */
struct CacheQuestion { 1: required string origin }
struct CachedPart {
  1: required string part, 2: required i32 tokens, 3: required i32 age_ms
}
struct TargetCache { 1: required i32 target, 2: required list<CachedPart> parts }
struct CacheAnswer {
  1: required string origin, 2: required list<TargetCache> caches,
  3: required bool is_last
}

/* Which service and software version began a stream, so that any router can resume it
 * there. A router reports it to some others when the first event is sent to the caller.
 * "key" is a digest of the caller's organisation and its attempt. Without a version the
 * stream must not be resumed, since it may have come from either of two. */
struct StreamOriginReport {
  1: required binary key, 2: required string service_name,
  3: required i32 expires_in_ms, 4: optional string software_version
}
/* A question without a key asks only whether the receiver knows these messages. The
 * answer has the service and version as reported, if they are known. Otherwise it has the only
 * version of the service that the sender has seen while the stream may have begun
 * ("window_ms"), or states that there were several; neither if the sender cannot tell. */
struct StreamOriginQuestion {
  1: required string origin, 2: required binary key, 3: required string service_name,
  4: required i32 window_ms
}
struct StreamOriginAnswer {
  1: required string origin, 2: required binary key, 3: optional string service_name,
  4: optional string software_version, 5: optional string only_version,
  6: optional bool has_several_versions
}

/* Question of a router that has just started for the version that others have in force,
 * asked before it accepts keys by what it has read from the store. The version is 0 if
 * the sender has none. */
struct VersionQuestion { 1: required string origin }
struct VersionAnswer { 1: required string origin, 2: required i64 version }

struct SectionRequest { 1: required string digest }
struct SectionReply {
  1: required string digest, 2: required bool found, 3: required binary data
}

enum ClaimVerb { CLAIM = 1, RECORD = 2, ABANDON = 3 }
enum ClaimState {
  GRANTED = 1, HELD = 2, RECORDED = 3, ABANDONED = 4, UNAVAILABLE = 5,
  REUSED = 6
}
struct StoredAnswer {
  1: required i32 status, 2: required list<Header> headers,
  3: required binary body, 4: required bool whole
}
struct ClaimRequest {
  1: required i64 number, 2: required ClaimVerb verb, 3: required binary key,
  4: required binary token, 5: required binary fingerprint,
  6: optional StoredAnswer answer
}
struct ClaimReply {
  1: required i64 number, 2: required ClaimState state,
  3: optional StoredAnswer answer
}
struct LedgerEntry {
  1: required binary key, 2: required binary token, 3: required binary fingerprint,
  4: required ClaimState state, 5: required i64 written_ms,
  6: optional StoredAnswer answer
}
struct LedgerSegment {
  1: required i32 format, 2: required list<LedgerEntry> entries,
  3: required list<string> sealed
}

struct CacheImport {
  1: required string service_name, 2: required string chat, 3: required i32 tokens,
  4: required binary data
}
