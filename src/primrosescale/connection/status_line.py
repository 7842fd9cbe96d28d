"""Status lines of HTTP answers, checked before an answer is used.

Python reads `+200`, `2_00` and `999` as numbers, and so does Twisted's parser. A server
in trouble may send any of them.
"""

from __future__ import annotations

import re
from typing import Any

from twisted.web._newclient import HTTPClientParser

from primrosescale.connection.exceptions import StatusLineError

MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# The line of RFC 9112, section 4, with the status classes of RFC 9110, section 15. 101
# only answers a request to switch protocols, and none is ever sent.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[0-9] (?:[2-5][0-9]{2}|10[02-9]|1[1-9][0-9])(?: .*)?"
)


def is_final_status(status: int) -> bool:
    """Return whether a status may be that of a complete answer.

    Parameters
    ----------
    status : int
        The status.

    Returns
    -------
    bool
        False for interim answers, and for numbers that HTTP does not define.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


class StrictAnswerParser(HTTPClientParser):
    """Twisted's parser of answers, except that it refuses invalid status lines."""

    def statusReceived(self, status: bytes) -> None:
        """Check and parse the status line.

        Parameters
        ----------
        status : bytes
            The line without its end.

        Raises
        ------
        StatusLineError
            When it is not a status line of HTTP/1; the answer is lost then.
        """
        if not _STATUS_LINE.fullmatch(status):
            raise StatusLineError(status)
        super().statusReceived(status)


def refuse_invalid_status_lines(parser: Any) -> None:
    """Make a parser that has received nothing yet refuse invalid status lines.

    Parameters
    ----------
    parser : Any
        A parser that Twisted's client has created.
    """
    # The client creates its parser itself, without a way to choose the class.
    parser.__class__ = StrictAnswerParser
