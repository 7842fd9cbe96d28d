"""Blocking HTTP client of a router's administration API, for the command line."""

from __future__ import annotations

import http.client
import json
from typing import Any

from primrosescale.console.exceptions import RefusedByApiError
from primrosescale.console.exceptions import UnreachableError

PREFIX = "/admin/v1/"
TIMEOUT_SECONDS = 120.0
FIRST_ERROR_STATUS = 400


class AdminClient:
    """Calls one router's administration API.

    Parameters
    ----------
    endpoint : str
        Address of the administration API, as ``address:port``.
    key : str
        Bearer key of the operator.
    """

    def __init__(self, endpoint: str, key: str) -> None:
        self._endpoint = endpoint
        self._key = key

    def get(self, path: str) -> dict[str, Any]:
        """Send a GET request.

        Parameters
        ----------
        path : str
            Path below the API's prefix.

        Returns
        -------
        dict[str, Any]
            Fields of the answer.
        """
        return self._call("GET", path, "", {})

    def post(self, path: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Send a POST request with a JSON body.

        Parameters
        ----------
        path : str
            Path below the API's prefix.
        fields : dict[str, Any]
            Fields of the body.

        Returns
        -------
        dict[str, Any]
            Fields of the answer.
        """
        return self._call("POST", path, json.dumps(fields), {})

    def create(self, text: str, base: str) -> dict[str, Any]:
        """Store a bundle.

        Parameters
        ----------
        text : str
            INI text of the bundle.
        base : str
            Digest of the version that must be in force; empty for any.

        Returns
        -------
        dict[str, Any]
            Description of the new version.
        """
        headers = {"If-Match": f'"{base}"'} if base else {}
        return self._call("POST", "bundles", text, headers)

    def sign(self, digest: str, signature: bytes) -> dict[str, Any]:
        """Submit an approver's signature of a version.

        Parameters
        ----------
        digest : str
            Digest of the version.
        signature : bytes
            Signature of the digest by the approver.

        Returns
        -------
        dict[str, Any]
            Description of the version.
        """
        body = json.dumps({"signature": signature.hex()})
        return self._call("PUT", f"bundles/{digest}/sign-off", body, {})

    def _call(
        self,
        method: str,
        path: str,
        body: str,
        headers: dict[str, str],
    ) -> dict[str, Any]:
        sent = {"Authorization": f"Bearer {self._key}", **headers}
        try:
            connection = http.client.HTTPConnection(
                self._endpoint, timeout=TIMEOUT_SECONDS
            )
            connection.request(method, PREFIX + path, body.encode(), sent)
            response = connection.getresponse()
            content = response.read()
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            raise UnreachableError(
                f"no answer from {self._endpoint}: {error}",
                "pass the address of a router's administration port with --admin",
            ) from error
        try:
            fields: dict[str, Any] = json.loads(content)
        except ValueError:
            fields = {"title": content.decode("utf-8", "replace")[:200]}
        if response.status >= FIRST_ERROR_STATUS:
            raise _refusal(response.status, fields)
        return fields


def _refusal(status: int, fields: dict[str, Any]) -> RefusedByApiError:
    problem = f"refused with status {status}: {fields.get('title', '')}"
    lines = [f"{f['problem']}; {f['remedy']}" for f in fields.get("faults", [])]
    remedy = str(fields.get("remedy", "see the operators' guide"))
    if lines:
        remedy = "\n  ".join(["correct these faults:", *lines])
    return RefusedByApiError(problem, remedy)
