"""A target that sends bytes without end, from a thread of its own."""

from __future__ import annotations

import contextlib
import socket
import threading

from twisted.internet import reactor

from support.entry_site import LOOPBACK


class EndlessTarget:
    """Answers with a beginning and then, without end, the same bytes, if any."""

    def __init__(self, beginning, repeated):
        self._answer = beginning, repeated
        self._listener = socket.create_server((LOOPBACK, 0))
        self.requests = 0
        self.longest_seconds = 0.0
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._send, args=(connection,), daemon=True
                ).start()

    def _send(self, connection):
        beginning, repeated = self._answer
        with contextlib.suppress(OSError), connection:
            if not connection.recv(65536):
                return
            self.requests += 1
            began = reactor.seconds()
            try:
                connection.sendall(beginning)
                while repeated:
                    connection.sendall(repeated)
                connection.recv(1)
            finally:
                took = reactor.seconds() - began
                self.longest_seconds = max(self.longest_seconds, took)
