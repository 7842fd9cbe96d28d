"""Measure CPU time per request and per streamed chunk, against bare twisted.web."""

from __future__ import annotations

import json

import load_client
from fleet import KEY
from fleet import Fleet
from support import ROOT
from support import Child
from support import free_port
from support import percentile
from support import save

REQUESTS = 6000
STREAMS = 400
TOKENS = 60
CONNECTIONS = 16
STREAM_CONNECTIONS = 64
BODY = b"b" * 400


def measure(children, port, make_request, connections, count):
    load_client.run(port, make_request, connections, connections * 5)
    before = [child.cpu() for child in children]
    _, times = load_client.run(port, make_request, connections, count)
    used = [
        child.cpu() - earlier for child, earlier in zip(children, before, strict=True)
    ]
    microseconds = [1e6 * seconds / count for seconds in used]
    return microseconds, times


def main():
    bare_port = free_port()
    bare = Child([str(ROOT / "bare_server.py"), str(bare_port)], cpu=2)
    fleet = Fleet()
    try:
        router = fleet.add_router(cpu=3)
        script = [str(ROOT / "bare_server.py")]
        target_port = free_port()
        fleet.add_target(script, target_port, cpu=4)
        plain = fleet.add_agent("plain", target_port, cpu=5)
        chat = fleet.add_agent("chat", target_port, cpu=6)
        fleet.roll_out()
        fleet.settle()
        bare_request = load_client.request_bytes("/", BODY, {})
        headers = {"Authorization": f"Bearer {KEY}"}
        routed_request = load_client.request_bytes("/services/plain/", BODY, headers)
        stream = json.dumps(
            {
                "model": "m",
                "messages": [{"role": "user", "content": "x" * 300}],
                "stream": True,
                "max_tokens": TOKENS,
            },
        ).encode()
        bare_stream = load_client.request_bytes("/", stream, {})
        routed_stream = load_client.request_bytes(
            "/v1/chat/completions",
            stream,
            headers,
        )
        bare_cost, _ = measure(
            [bare], bare_port, lambda: bare_request, CONNECTIONS, REQUESTS
        )
        routed_cost, times = measure(
            [router, plain],
            router.http,
            lambda: routed_request,
            CONNECTIONS,
            REQUESTS,
        )
        bare_stream_cost, _ = measure(
            [bare],
            bare_port,
            lambda: bare_stream,
            STREAM_CONNECTIONS,
            STREAMS,
        )
        routed_stream_cost, _ = measure(
            [router, chat],
            router.http,
            lambda: routed_stream,
            STREAM_CONNECTIONS,
            STREAMS,
        )
        save(
            "path_cost",
            {
                "requests": REQUESTS,
                "bare_echo_us": bare_cost[0],
                "router_us": routed_cost[0],
                "agent_us": routed_cost[1],
                "request_ratio": sum(routed_cost) / bare_cost[0],
                "request_p50_ms": 1000 * percentile(times, 0.5),
                "request_p95_ms": 1000 * percentile(times, 0.95),
                "bare_chunk_us": bare_stream_cost[0] / TOKENS,
                "router_chunk_us": routed_stream_cost[0] / TOKENS,
                "agent_chunk_us": routed_stream_cost[1] / TOKENS,
                "chunk_ratio": sum(routed_stream_cost) / bare_stream_cost[0],
                "router_memory_mb": router.memory() / 1e6,
                "agent_memory_mb": plain.memory() / 1e6,
            },
        )
    finally:
        bare.end()
        fleet.end()


if __name__ == "__main__":
    main()
