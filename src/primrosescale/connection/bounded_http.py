"""An HTTP client protocol that gives up answers which never end or are none.

A target in trouble may send bytes without end, in place of a head or in one, in a
chunk's size, as a body or as events. Its bytes are read as fast as they come, so a time
limit alone would not keep them from using up memory and processor time meanwhile.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.web._newclient import HEADER
from twisted.web._newclient import STATUS
from twisted.web._newclient import HTTP11ClientProtocol

from primrosescale.connection.status_line import refuse_invalid_status_lines
from primrosescale.connection.unsent import discard_unsent

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

# Far above the heads of model engines and services, which have some hundred bytes.
MAX_HEAD_BYTES = 64 * 1024
# Other callers wait while an answer is processed, so one that never ends must not be
# left to run until the time of its request is over.
MAX_PROCESSOR_SECONDS = 1.0
# Read at once. Each byte may come as a chunk of its own, and other connections wait
# until all of them are processed.
READ_BYTES = 4 * 1024


class BoundedHttpProtocol(HTTP11ClientProtocol):
    """Bounds what the head of an answer and its processing may take.

    A connection whose answer exceeds a bound is aborted, so that the answer is lost. So
    is one that begins with an invalid status line.

    Parameters
    ----------
    on_quiescent : Callable[[Any], Any]
        Called when the connection can be used for another request.
    processor_time : Callable[[], float]
        Returns the processor time that this thread has used, in seconds.
    """

    def __init__(
        self,
        on_quiescent: Callable[[Any], Any],
        processor_time: Callable[[], float] = time.thread_time,
    ) -> None:
        super().__init__(on_quiescent)
        self._processor_time = processor_time
        self._head_bytes = 0
        self._processor_seconds = 0.0

    def connectionMade(self) -> None:
        """Limit what is read at once."""
        super().connectionMade()
        transport: Any = self.transport
        transport.bufferSize = READ_BYTES

    def request(self, request: Any) -> Deferred[Any]:
        """Send a request; what its answer may take is counted anew.

        Parameters
        ----------
        request : Any
            A request of Twisted's client.

        Returns
        -------
        Deferred[Any]
            Fires with the answer once its head has been received.
        """
        self._head_bytes = 0
        self._processor_seconds = 0.0
        answered: Deferred[Any] = super().request(request)
        if self._parser is not None:
            refuse_invalid_status_lines(self._parser)
        return answered

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Drop what was not sent of a request; see `discard_unsent`.

        Parameters
        ----------
        reason : Failure
            The reason given by the transport.
        """
        super().connectionLost(reason)
        discard_unsent(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes; abort the connection when a bound is exceeded.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        began = self._processor_time()
        super().dataReceived(data)
        self._processor_seconds += self._processor_time() - began
        parser: Any = self._parser
        if parser is None:
            return
        if parser.state in {STATUS, HEADER}:
            self._head_bytes += len(data)
        if (
            self._head_bytes > MAX_HEAD_BYTES
            or self._processor_seconds > MAX_PROCESSOR_SECONDS
        ):
            transport: Any = self.transport
            transport.abortConnection()
