"""Strict types for the fields of records in the platform's store.

The pattern it answers: an entry that another writer made. A value of another
type is never taken for the one it resembles, since what is guessed of a foreign
entry sends requests to where they don't belong. Fields that are not asked for
are passed over.
"""

from __future__ import annotations

import re
from ipaddress import AddressValueError
from ipaddress import IPv4Address
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import NoReturn

import orjson
from xxhash import xxh3_128_digest

from primrosescale.connection.endpoint import Endpoint
from primrosescale.ini.options import HIGHEST_PORT
from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.json_reader import read_json

if TYPE_CHECKING:
    from primrosescale.process.transport.platform import StoredObject

# Characters of a name; the longest name of a host (RFC 1035) is taken for all.
MAX_NAME_LENGTH = 253
# Whole numbers up to this are the same for every reader of JSON (RFC 8259).
MAX_SAFE_INTEGER = 2**53 - 1
# What a target's name may consist of: it is sent in a header and logged.
NAME = re.compile(r"[!-~]+")
PORT = re.compile(r"[0-9]{1,5}")
# Of a value that is told in a refusal.
MAX_QUOTED_CHARACTERS = 64

_ABSENT = object()


class RecordContext(NamedTuple):
    """What holds for a whole record while its fields are read.

    Parameters
    ----------
    record : str
        Key of the record.
    remedy : str
        What its reader can do when it is refused.
    null_is_absent : bool
        Whether null stands for a field that is left out.
    """

    record: str
    remedy: str
    null_is_absent: bool


class FieldReader:
    """Reads the fields of one object of a record.

    Parameters
    ----------
    context : RecordContext
        What holds for the whole record.
    fields : Any
        What stands there.
    location : tuple[FieldReader, str, int | None] | None
        Where in the record the object stands: in which object, in which field,
        and which in the list there; None for the record itself.

    Raises
    ------
    RecordError
        When it is no object; each method raises it for a field that cannot be
        used.
    """

    __slots__ = ("_context", "_fields", "_within")

    def __init__(
        self,
        context: RecordContext,
        fields: Any,
        location: tuple[FieldReader, str, int | None] | None = None,
    ) -> None:
        self._context = context
        self._within = location
        if type(fields) is not dict:
            self.refuse("", f"{_type_name(fields)}, no object")
        self._fields: dict[str, Any] = fields

    @classmethod
    def of(
        cls,
        stored: StoredObject,
        remedy: str,
        *,
        null_is_absent: bool = False,
    ) -> FieldReader:
        """Return the reader of a record.

        Parameters
        ----------
        stored : StoredObject
            The record.
        remedy : str
            What its reader can do when it is refused.
        null_is_absent : bool
            Whether null stands for a field that is left out.

        Returns
        -------
        FieldReader
            The reader.

        Raises
        ------
        RecordError
            When its bytes are no JSON object.
        """
        try:
            fields = stored.fields
            if fields is None:
                fields = read_json(stored.value)
        except UnicodeDecodeError as error:
            raise RecordError(stored.key, "", "no UTF-8", remedy) from error
        except ValueError as error:
            reason = f"no JSON: {error}"[:MAX_QUOTED_CHARACTERS]
            raise RecordError(stored.key, "", reason, remedy) from error
        except RecursionError as error:
            raise RecordError(stored.key, "", "nested too deep", remedy) from error
        return cls(RecordContext(stored.key, remedy, null_is_absent), fields)

    def digest(self) -> bytes | None:
        """Return what tells the object's content from any other.

        Returns
        -------
        bytes | None
            128 bits; None for a content that only the slow parser reads.
        """
        try:
            return xxh3_128_digest(orjson.dumps(self._fields))
        except TypeError:
            return None

    def refuse(self, field: str, reason: str) -> NoReturn:
        """Refuse the record for a field.

        Parameters
        ----------
        field : str
            The field.
        reason : str
            What is wrong with it.

        Raises
        ------
        RecordError
            Always.
        """
        context = self._context
        raise RecordError(context.record, self.path(field), reason, context.remedy)

    def path(self, field: str) -> str:
        """Return where in the record a field stands.

        Parameters
        ----------
        field : str
            The field; empty for the object itself.

        Returns
        -------
        str
            Names from the outermost one on.
        """
        if self._within is None:
            return field
        parent, name, number = self._within
        path = parent.path(name) + ("" if number is None else f"[{number}]")
        return f"{path}.{field}" if field else path

    def has(self, field: str) -> bool:
        """Tell whether a field is there.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        bool
            False also for null where that stands for a field left out.
        """
        return self._value(field) is not _ABSENT

    def text(self, field: str, max_length: int = MAX_NAME_LENGTH) -> str:
        """Return a text that must be there.

        Parameters
        ----------
        field : str
            The field.
        max_length : int
            Characters it may have.

        Returns
        -------
        str
            Printable characters, at least one.
        """
        given = self._fields.get(field)
        # Most fields are good, and a large table has ten thousands of them.
        if type(given) is str and 0 < len(given) <= max_length and given.isprintable():
            return given
        if not self._text(field, self._required(field), max_length):
            self.refuse(field, "empty")
        return str(given)

    def text_or(
        self, field: str, default: str, max_length: int = MAX_NAME_LENGTH
    ) -> str:
        """Return a text that may be left out.

        Parameters
        ----------
        field : str
            The field.
        default : str
            What is returned for a field left out.
        max_length : int
            Characters it may have.

        Returns
        -------
        str
            Printable characters, or none.
        """
        value = self._value(field)
        return default if value is _ABSENT else self._text(field, value, max_length)

    def texts(self, field: str, max_length: int) -> list[str]:
        """Return a list of texts that may be left out.

        Parameters
        ----------
        field : str
            The field.
        max_length : int
            Characters that each may have.

        Returns
        -------
        list[str]
            Texts with at least one character.
        """
        found = self._list(field)
        for item in found:
            if type(item) is str and 0 < len(item) <= max_length and item.isprintable():
                continue
            if not self._text(field, item, max_length):
                self.refuse(field, "an empty text")
        return found

    def integer(self, field: str, maximum: int = MAX_SAFE_INTEGER) -> int:
        """Return a whole number that must be there.

        Parameters
        ----------
        field : str
            The field.
        maximum : int
            The highest that it may be.

        Returns
        -------
        int
            The number, not negative.
        """
        given = self._fields.get(field)
        if type(given) is int and 0 <= given <= maximum:
            return given
        return self._integer(field, self._required(field), maximum)

    def integer_or(
        self, field: str, default: int, maximum: int = MAX_SAFE_INTEGER
    ) -> int:
        """Return a whole number that may be left out.

        Parameters
        ----------
        field : str
            The field.
        default : int
            What is returned for a field left out.
        maximum : int
            The highest that it may be.

        Returns
        -------
        int
            The number, not negative.
        """
        value = self._value(field)
        return default if value is _ABSENT else self._integer(field, value, maximum)

    def number(self, field: str, maximum: float) -> float:
        """Return a number that must be there.

        Parameters
        ----------
        field : str
            The field.
        maximum : float
            The highest that it may be.

        Returns
        -------
        float
            The number, not negative.
        """
        return self._number(field, self._required(field), maximum)

    def number_or(self, field: str, default: float, maximum: float) -> float:
        """Return a number that may be left out.

        Parameters
        ----------
        field : str
            The field.
        default : float
            What is returned for a field left out.
        maximum : float
            The highest that it may be.

        Returns
        -------
        float
            The number, not negative.
        """
        value = self._value(field)
        return default if value is _ABSENT else self._number(field, value, maximum)

    def flag_or(self, field: str, *, default: bool) -> bool:
        """Return a truth value that may be left out.

        Parameters
        ----------
        field : str
            The field.
        default : bool
            What is returned for a field left out.

        Returns
        -------
        bool
            The value.
        """
        value = self._value(field)
        if value is _ABSENT:
            return default
        if not isinstance(value, bool):
            self.refuse(field, f"{_type_name(value)}, no truth value")
        return value

    def endpoint(self, field: str) -> Endpoint:
        """Return the endpoint that a text ``address:port`` names.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        Endpoint
            An IPv4 address that can be connected to, and a port.
        """
        text = self.text(field)
        address, _, port = text.rpartition(":")
        if not PORT.fullmatch(port) or not 0 < int(port) <= HIGHEST_PORT:
            self.refuse(field, f"{_quoted(text)} names no port")
        self._check_address(field, address)
        return Endpoint(address, int(port))

    def address(self, field: str) -> str:
        """Return an IPv4 address that can be connected to.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        str
            The address.
        """
        text = self.text(field)
        self._check_address(field, text)
        return text

    def port(self, field: str) -> int:
        """Return a port.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        int
            Its number.
        """
        number = self.integer(field, HIGHEST_PORT)
        if not number:
            self.refuse(field, "0 is no port")
        return number

    def child(self, field: str) -> FieldReader:
        """Return the reader of an object that may be left out.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        FieldReader
            Its reader; without fields when it is left out.
        """
        value = self._value(field)
        fields = {} if value is _ABSENT else value
        return FieldReader(self._context, fields, (self, field, None))

    def children(self, field: str) -> list[FieldReader]:
        """Return readers of the objects of a list that may be left out.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        list[FieldReader]
            Their readers.
        """
        return [
            FieldReader(self._context, item, (self, field, number))
            for number, item in enumerate(self._list(field))
        ]

    def require(self, field: str) -> None:
        """Refuse the record when a field is left out or null.

        Parameters
        ----------
        field : str
            The field.
        """
        self._required(field)

    def refuse_null(self, field: str) -> None:
        """Refuse the record when a field is null.

        Parameters
        ----------
        field : str
            The field.
        """
        if self._fields.get(field, _ABSENT) is None:
            self.refuse(field, "null")

    def _value(self, field: str) -> Any:
        value = self._fields.get(field, _ABSENT)
        return _ABSENT if value is None and self._context.null_is_absent else value

    def _required(self, field: str) -> Any:
        value = self._value(field)
        if value is _ABSENT:
            self.refuse(field, "missing")
        return value

    def _list(self, field: str) -> list[Any]:
        value = self._value(field)
        if value is _ABSENT:
            return []
        if not isinstance(value, list):
            self.refuse(field, f"{_type_name(value)}, no list")
        return value

    def _text(self, field: str, value: Any, max_length: int) -> str:
        # Refusals tell no value: it may be a key.
        if not isinstance(value, str):
            self.refuse(field, f"{_type_name(value)}, no text")
        if len(value) > max_length:
            self.refuse(field, f"{len(value)} characters, more than {max_length}")
        if not value.isprintable():
            self.refuse(field, "characters that cannot be printed")
        return value

    def _integer(self, field: str, value: Any, maximum: int) -> int:
        number = self._number(field, value, maximum)
        # JSON has one kind of number: 64.0 is the whole number 64.
        if number != int(number):
            self.refuse(field, "no whole number")
        return int(value)

    def _number(self, field: str, value: Any, maximum: float) -> float:
        # A truth value is an int to Python, and NaN is in no range.
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.refuse(field, f"{_type_name(value)}, no number")
        if not 0 <= value <= maximum:
            self.refuse(field, f"not between 0 and {maximum}")
        return value

    def _check_address(self, field: str, text: str) -> None:
        try:
            address = IPv4Address(text)
        except AddressValueError:
            self.refuse(field, f"{_quoted(text)} is no IPv4 address")
        if address.packed[0] == 0 or address.is_multicast or address.is_reserved:
            self.refuse(field, f"{_quoted(text)} cannot be connected to")


def record_name(stored: StoredObject, remedy: str) -> str:
    """Return the name in a record's key, which is sent in headers and logged.

    Parameters
    ----------
    stored : StoredObject
        The record.
    remedy : str
        What its reader can do when it is refused.

    Returns
    -------
    str
        Visible ASCII characters.

    Raises
    ------
    RecordError
        When it is empty, too long, or has other characters.
    """
    name = stored.name
    if len(name) > MAX_NAME_LENGTH:
        reason = f"{len(name)} characters, more than {MAX_NAME_LENGTH}"
        raise RecordError(stored.key, "name", reason, remedy)
    if not NAME.fullmatch(name):
        reason = "other than visible ASCII characters" if name else "missing"
        raise RecordError(stored.key, "name", reason, remedy)
    return name


def _type_name(value: Any) -> str:
    """Return the name of a value's type in JSON."""
    if value is None:
        return "null"
    return {
        bool: "a truth value",
        int: "a number",
        float: "a number",
        str: "a text",
        list: "a list",
        dict: "an object",
    }[type(value)]


def _quoted(text: str) -> str:
    return ascii(text[:MAX_QUOTED_CHARACTERS])
