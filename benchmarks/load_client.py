"""Generate closed-loop load over raw sockets, at little processor time of its own."""

from __future__ import annotations

import selectors
import socket
import time


def request_bytes(path, body, headers):
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Connection:
    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.sent_at = 0.0

    def read_answer(self):
        """Read what has arrived; return whether the answer is complete, status 200."""
        data = self.socket.recv(262144)
        if not data:
            raise RuntimeError(f"connection closed: {self.buffer[:300]!r}")
        self.buffer += data
        head, separator, rest = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return False
        if not head.startswith(b"HTTP/1.1 200"):
            raise RuntimeError((head + rest)[:600].decode())
        lower = head.lower()
        if b"content-length:" in lower:
            length = int(lower.split(b"content-length:")[1].split(b"\r\n")[0])
            done = len(rest) >= length
        else:
            done = rest.endswith(b"0\r\n\r\n")
        if done:
            self.buffer = b""
        return done


def run(port, make_request, connections, count):
    """Send requests; return elapsed seconds and the seconds of each request."""
    selector = selectors.DefaultSelector()
    times = []
    unsent = count
    began = time.perf_counter()
    for _ in range(connections):
        connection = Connection(port)
        selector.register(connection.socket, selectors.EVENT_READ, connection)
        connection.sent_at = time.perf_counter()
        connection.socket.sendall(make_request())
        unsent -= 1
    open_connections = connections
    while open_connections:
        for key, _ in selector.select(30):
            connection = key.data
            if not connection.read_answer():
                continue
            now = time.perf_counter()
            times.append(now - connection.sent_at)
            if unsent > 0:
                unsent -= 1
                connection.sent_at = now
                connection.socket.sendall(make_request())
            else:
                open_connections -= 1
                selector.unregister(connection.socket)
                connection.socket.close()
    return time.perf_counter() - began, times
