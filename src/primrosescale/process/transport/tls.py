"""Mutual TLS between the processes of a deployment."""

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

    The deployment's certificate authority signs the certificate of every
    process. A peer without such a certificate is rejected, whether it connects
    or listens. Peers are reached by IP address, so the authority is verified
    and not a host name.

    Parameters
    ----------
    settings : TlsSettings
        Paths of the certificate, key and authority files.

    Raises
    ------
    TlsError
        If a file cannot be read or used.
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
        """Return the context factory of the listening side."""
        return self._options

    @property
    def client(self) -> Any:
        """Return the connection creator of the connecting side."""
        return _ClientConnectionCreator(self._options)


@implementer(IOpenSSLClientConnectionCreator)
class _ClientConnectionCreator:
    """Creates client connections that trust the deployment's authority."""

    def __init__(self, options: CertificateOptions) -> None:
        self._context = options.getContext()

    def clientConnectionForTLS(self, protocol: TLSMemoryBIOProtocol) -> Any:
        """Return a new client connection."""
        connection = SSL.Connection(self._context, None)
        connection.set_app_data(protocol)
        return connection


def make_tls(settings: TlsSettings) -> LinkTls | None:
    """Return the mutual TLS of a process, if it is configured.

    Parameters
    ----------
    settings : TlsSettings
        Paths of the files; all empty to disable TLS.

    Returns
    -------
    LinkTls | None
        The TLS contexts; None if no certificate is configured.
    """
    return LinkTls(settings) if settings.certificate else None
