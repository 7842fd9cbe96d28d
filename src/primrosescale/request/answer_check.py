"""Checks that an answer arrives whole, in order and unaltered."""

from __future__ import annotations

from xxhash import xxh3_128
from xxhash import xxh3_128_digest

from primrosescale.request.exceptions import AnswerCutError


class AnswerCheck:
    """Follows an answer by offset and digest."""

    def __init__(self) -> None:
        self._offset = 0
        self._digest = xxh3_128()

    @property
    def offset(self) -> int:
        """Return the bytes of the answer that have come."""
        return self._offset

    def accept(self, offset: int, data: bytes) -> bytes:
        """Return the new bytes of a piece.

        Parameters
        ----------
        offset : int
            Bytes of the answer before the piece.
        data : bytes
            The piece.

        Returns
        -------
        bytes
            What was not known yet; empty for a repeated piece.

        Raises
        ------
        AnswerCutError
            When bytes are missing before the piece.
        """
        if offset > self._offset:
            raise AnswerCutError(f"bytes {self._offset} to {offset} are missing")
        fresh = data[self._offset - offset :]
        self._digest.update(fresh)
        self._offset += len(fresh)
        return fresh

    def finish(self, length: int, digest: bytes) -> None:
        """Check that the answer is whole.

        Parameters
        ----------
        length : int
            Bytes it should have.
        digest : bytes
            Digest it should have.

        Raises
        ------
        AnswerCutError
            When length or digest differ.
        """
        if length != self._offset:
            raise AnswerCutError(f"{self._offset} bytes of {length} have come")
        if digest != self._digest.digest():
            raise AnswerCutError("the digest differs")


def answer_digest(body: bytes) -> bytes:
    """Return the digest of a whole answer.

    Parameters
    ----------
    body : bytes
        The answer.

    Returns
    -------
    bytes
        16 bytes.
    """
    return bytes(xxh3_128_digest(body))
