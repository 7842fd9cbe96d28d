"""Strictly typed access to the fields of records in the platform's store.

Anyone may have written a record. A value of an unexpected type is never coerced,
since a wrong guess would send requests to targets that must not get them. Fields
that are not read are ignored.
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

from primrosescale.checked_values import MAX_NAME_LENGTH
from primrosescale.checked_values import MAX_SAFE_INTEGER
from primrosescale.connection.endpoint import Endpoint
from primrosescale.ini.options import MAX_PORT
from primrosescale.platform.exceptions import RecordError
from primrosescale.process.transport.json_reader import read_json

if TYPE_CHECKING:
    from primrosescale.process.transport.platform import StoredObject

# Names are sent in headers and logged, so they consist of visible ASCII characters.
NAME = re.compile(r"[!-~]+")
PORT = re.compile(r"[0-9]{1,5}")
# Maximum characters of a value that the reason of a refusal quotes.
MAX_QUOTED_CHARACTERS = 64

_ABSENT = object()


class RecordContext(NamedTuple):
    """The record that is being read, shared by the readers of all its objects.

    Parameters
    ----------
    record : str
        Key of the record.
    remedy : str
        What the operator can do when the record is refused.
    null_is_absent : bool
        Whether a field that is null counts as absent.
    """

    record: str
    remedy: str
    null_is_absent: bool


class FieldReader:
    """Reads and validates the fields of one object in a record.

    Parameters
    ----------
    context : RecordContext
        The record that contains the object.
    fields : Any
        The decoded JSON value; refused unless it is an object.
    location : tuple[FieldReader, str, int | None] | None
        Where the object is in the record: the reader of the object that contains
        it, the field there, and its index when that field is a list; None for the
        record itself.

    Raises
    ------
    RecordError
        When the value is not an object; each method raises it for a field that is
        missing or invalid.
    """

    __slots__ = ("_context", "_fields", "_location")

    def __init__(
        self,
        context: RecordContext,
        fields: Any,
        location: tuple[FieldReader, str, int | None] | None = None,
    ) -> None:
        self._context = context
        self._location = location
        if type(fields) is not dict:
            self.refuse("", f"{_type_name(fields)}, not an object")
        self._fields: dict[str, Any] = fields

    @classmethod
    def of(
        cls,
        stored: StoredObject,
        remedy: str,
        *,
        null_is_absent: bool = False,
    ) -> FieldReader:
        """Return a reader for a record.

        Parameters
        ----------
        stored : StoredObject
            The record.
        remedy : str
            What the operator can do when the record is refused.
        null_is_absent : bool
            Whether a field that is null counts as absent.

        Returns
        -------
        FieldReader
            The reader of the record's outermost object.

        Raises
        ------
        RecordError
            When the record's content is not a JSON object.
        """
        try:
            fields = stored.fields
            if fields is None:
                fields = read_json(stored.value)
        except UnicodeDecodeError as error:
            raise RecordError(stored.key, "", "not UTF-8", remedy) from error
        except ValueError as error:
            reason = f"not JSON: {error}"[:MAX_QUOTED_CHARACTERS]
            raise RecordError(stored.key, "", reason, remedy) from error
        except RecursionError as error:
            raise RecordError(stored.key, "", "nested too deeply", remedy) from error
        return cls(RecordContext(stored.key, remedy, null_is_absent), fields)

    def digest(self) -> bytes | None:
        """Return a hash of the object's content, which identifies it.

        Returns
        -------
        bytes | None
            128 bits; None for content that only the slower JSON parser accepts.
        """
        try:
            return xxh3_128_digest(orjson.dumps(self._fields))
        except TypeError:
            return None

    def refuse(self, field: str, reason: str) -> NoReturn:
        """Refuse the record because of a field.

        Parameters
        ----------
        field : str
            The field.
        reason : str
            Why the field is invalid.

        Raises
        ------
        RecordError
            Always.
        """
        context = self._context
        raise RecordError(context.record, self.path(field), reason, context.remedy)

    def path(self, field: str) -> str:
        """Return the path of a field in the record.

        Parameters
        ----------
        field : str
            The field; empty for the object itself.

        Returns
        -------
        str
            Field names from the outermost on, such as ``a[0].b``.
        """
        if self._location is None:
            return field
        parent, name, index = self._location
        path = parent.path(name) + ("" if index is None else f"[{index}]")
        return f"{path}.{field}" if field else path

    def has(self, field: str) -> bool:
        """Return whether a field is present.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        bool
            False also for null when null counts as absent.
        """
        return self._value(field) is not _ABSENT

    def text(self, field: str, max_length: int = MAX_NAME_LENGTH) -> str:
        """Return a required text.

        Parameters
        ----------
        field : str
            The field.
        max_length : int
            Maximum number of characters.

        Returns
        -------
        str
            At least one character, all printable.
        """
        given = self._fields.get(field)
        # Fast path: most fields are valid, and a large table has tens of thousands.
        if type(given) is str and 0 < len(given) <= max_length and given.isprintable():
            return given
        if not self._text(field, self._required(field), max_length):
            self.refuse(field, "empty")
        return str(given)

    def text_or(
        self, field: str, default: str, max_length: int = MAX_NAME_LENGTH
    ) -> str:
        """Return an optional text.

        Parameters
        ----------
        field : str
            The field.
        default : str
            Value returned when the field is absent.
        max_length : int
            Maximum number of characters.

        Returns
        -------
        str
            Printable characters; may be empty.
        """
        value = self._value(field)
        return default if value is _ABSENT else self._text(field, value, max_length)

    def texts(self, field: str, max_length: int) -> list[str]:
        """Return an optional list of texts.

        Parameters
        ----------
        field : str
            The field.
        max_length : int
            Maximum number of characters of each.

        Returns
        -------
        list[str]
            Texts of at least one printable character; empty when absent.
        """
        found = self._list(field)
        for item in found:
            if type(item) is str and 0 < len(item) <= max_length and item.isprintable():
                continue
            if not self._text(field, item, max_length):
                self.refuse(field, "an empty text")
        return found

    def integer(self, field: str, maximum: int = MAX_SAFE_INTEGER) -> int:
        """Return a required integer.

        Parameters
        ----------
        field : str
            The field.
        maximum : int
            Highest value allowed.

        Returns
        -------
        int
            The integer, not negative.
        """
        given = self._fields.get(field)
        if type(given) is int and 0 <= given <= maximum:
            return given
        return self._integer(field, self._required(field), maximum)

    def integer_or(
        self, field: str, default: int, maximum: int = MAX_SAFE_INTEGER
    ) -> int:
        """Return an optional integer.

        Parameters
        ----------
        field : str
            The field.
        default : int
            Value returned when the field is absent.
        maximum : int
            Highest value allowed.

        Returns
        -------
        int
            The integer, not negative.
        """
        value = self._value(field)
        return default if value is _ABSENT else self._integer(field, value, maximum)

    def number(self, field: str, maximum: float) -> float:
        """Return a required number.

        Parameters
        ----------
        field : str
            The field.
        maximum : float
            Highest value allowed.

        Returns
        -------
        float
            The number, not negative.
        """
        return self._number(field, self._required(field), maximum)

    def number_or(self, field: str, default: float, maximum: float) -> float:
        """Return an optional number.

        Parameters
        ----------
        field : str
            The field.
        default : float
            Value returned when the field is absent.
        maximum : float
            Highest value allowed.

        Returns
        -------
        float
            The number, not negative.
        """
        value = self._value(field)
        return default if value is _ABSENT else self._number(field, value, maximum)

    def flag_or(self, field: str, *, default: bool) -> bool:
        """Return an optional boolean.

        Parameters
        ----------
        field : str
            The field.
        default : bool
            Value returned when the field is absent.

        Returns
        -------
        bool
            The value.
        """
        value = self._value(field)
        if value is _ABSENT:
            return default
        if not isinstance(value, bool):
            self.refuse(field, f"{_type_name(value)}, not a boolean")
        return value

    def endpoint(self, field: str) -> Endpoint:
        """Return a required endpoint, written as ``address:port``.

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
        if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
            self.refuse(field, f"{_quoted(text)} has no valid port")
        self._check_address(field, address)
        return Endpoint(address, int(port))

    def address(self, field: str) -> str:
        """Return a required IPv4 address that can be connected to.

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
        """Return a required port.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        int
            The port number, at least 1.
        """
        number = self.integer(field, MAX_PORT)
        if not number:
            self.refuse(field, "0 is not a port")
        return number

    def child(self, field: str) -> FieldReader:
        """Return a reader for an optional object.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        FieldReader
            The reader; without fields when the object is absent.
        """
        value = self._value(field)
        fields = {} if value is _ABSENT else value
        return FieldReader(self._context, fields, (self, field, None))

    def children(self, field: str) -> list[FieldReader]:
        """Return readers for the objects of an optional list.

        Parameters
        ----------
        field : str
            The field.

        Returns
        -------
        list[FieldReader]
            One reader for each object; empty when the list is absent.
        """
        return [
            FieldReader(self._context, item, (self, field, index))
            for index, item in enumerate(self._list(field))
        ]

    def require(self, field: str) -> None:
        """Refuse the record when a field is absent, or null that counts as absent.

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
            self.refuse(field, f"{_type_name(value)}, not a list")
        return value

    def _text(self, field: str, value: Any, max_length: int) -> str:
        # The reason must not quote the value: it may be an API key.
        if not isinstance(value, str):
            self.refuse(field, f"{_type_name(value)}, not a text")
        if len(value) > max_length:
            self.refuse(field, f"{len(value)} characters, more than {max_length}")
        if not value.isprintable():
            self.refuse(field, "contains unprintable characters")
        return value

    def _integer(self, field: str, value: Any, maximum: int) -> int:
        number = self._number(field, value, maximum)
        # JSON has one number type: 64.0 is the integer 64.
        if number != int(number):
            self.refuse(field, "not a whole number")
        return int(value)

    def _number(self, field: str, value: Any, maximum: float) -> float:
        # In Python a bool is an int, and NaN fails every comparison of a range.
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            self.refuse(field, f"{_type_name(value)}, no number")
        if not 0 <= value <= maximum:
            self.refuse(field, f"not between 0 and {maximum}")
        return value

    def _check_address(self, field: str, text: str) -> None:
        try:
            address = IPv4Address(text)
        except AddressValueError:
            self.refuse(field, f"{_quoted(text)} is not an IPv4 address")
        if address.packed[0] == 0 or address.is_multicast or address.is_reserved:
            self.refuse(field, f"{_quoted(text)} cannot be connected to")


def record_name(stored: StoredObject, remedy: str) -> str:
    """Validate and return the name in a record's key.

    Names are sent in headers and logged.

    Parameters
    ----------
    stored : StoredObject
        The record.
    remedy : str
        What the operator can do when the record is refused.

    Returns
    -------
    str
        Visible ASCII characters.

    Raises
    ------
    RecordError
        When the name is empty, too long, or has other characters.
    """
    name = stored.name
    if len(name) > MAX_NAME_LENGTH:
        reason = f"{len(name)} characters, more than {MAX_NAME_LENGTH}"
        raise RecordError(stored.key, "name", reason, remedy)
    if not NAME.fullmatch(name):
        reason = "contains characters other than visible ASCII" if name else "missing"
        raise RecordError(stored.key, "name", reason, remedy)
    return name


def _type_name(value: Any) -> str:
    """Return the name of a value's JSON type, with its article."""
    if value is None:
        return "null"
    return {
        bool: "a boolean",
        int: "a number",
        float: "a number",
        str: "a text",
        list: "a list",
        dict: "an object",
    }[type(value)]


def _quoted(text: str) -> str:
    return ascii(text[:MAX_QUOTED_CHARACTERS])
