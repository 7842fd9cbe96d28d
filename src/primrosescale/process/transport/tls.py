"""Mutual TLS between the fleet's own processes."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from OpenSSL import SSL
from OpenSSL import crypto
from twisted.internet.interfaces import IOpenSSLClientConnectionCreator
from twisted.internet.ssl import Certificate
from twisted.internet.ssl import CertificateOptions
from twisted.internet.ssl import PrivateCertificate
from twisted.internet.ssl import TLSVersion
from twisted.internet.ssl import trustRootFromCertificates
from zope.interface import implementer

from primrosescale.connection.exceptions import TlsError

if TYPE_CHECKING:
    from twisted.protocols.tls import TLSMemoryBIOProtocol

    from primrosescale.process.settings import TlsSettings


class LinkTls:
    """Both sides of a process's mutual TLS.

    The fleet's authority signs every process's certificate; who shows none
    of its certificates is a stranger and gets no connection, whichever side
    it is on. Peers are reached by IP number, so the authority, not a host
    name, is what is checked.

    Parameters
    ----------
    settings : TlsSettings
        Files of certificate, key and authority.

    Raises
    ------
    TlsError
        When a file cannot be used.
    """

    def __init__(self, settings: TlsSettings) -> None:
        try:
            certificate = Path(settings.certificate).read_bytes()
            key = Path(settings.key).read_bytes()
            authority = Path(settings.authority).read_bytes()
            own = PrivateCertificate.loadPEM(certificate + b"\n" + key)
            roots = trustRootFromCertificates([Certificate.loadPEM(authority)])
        except (OSError, SSL.Error, crypto.Error, ValueError) as error:
            raise TlsError(str(error)) from error
        self._options = CertificateOptions(
            privateKey=own.privateKey.original,
            certificate=own.original,
            trustRoot=roots,
            raiseMinimumTo=TLSVersion.TLSv1_3,
        )

    @property
    def server(self) -> CertificateOptions:
        """Return the context factory of a listening side."""
        return self._options

    @property
    def client(self) -> Any:
        """Return the connection creator of a connecting side."""
        return _FleetClient(self._options)


@implementer(IOpenSSLClientConnectionCreator)
class _FleetClient:
    """Makes client connections that trust the fleet's authority."""

    def __init__(self, options: CertificateOptions) -> None:
        self._context = options.getContext()

    def clientConnectionForTLS(self, protocol: TLSMemoryBIOProtocol) -> Any:
        """Return a new client connection."""
        connection = SSL.Connection(self._context, None)
        connection.set_app_data(protocol)
        return connection


def make_tls(settings: TlsSettings) -> LinkTls | None:
    """Return a process's mutual TLS.

    Parameters
    ----------
    settings : TlsSettings
        Files; all empty for none.

    Returns
    -------
    LinkTls | None
        None when no certificate is named.
    """
    return LinkTls(settings) if settings.certificate else None
