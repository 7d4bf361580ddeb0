"""TLS contexts for calls between daemons, with both sides authenticated."""

from __future__ import annotations

import ssl

from zinniahook_core.codes import Code, ZinniahookError

from .settings import ControlSettings

__all__ = ["Certificates"]


class Certificates:
    """The TLS contexts of one daemon, as client and as server.

    A peer without a certificate of the same authority fails the handshake,
    so that it gets no byte of the configuration. Names aren't checked, as
    daemons are reached by IP address and each may speak to each.

    Parameters
    ----------
    settings : ControlSettings
        Names of the PEM files.

    Raises
    ------
    ZinniahookError
        If a file holds no usable certificate or key.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self.reload()
        self.server = _context(ssl.PROTOCOL_TLS_SERVER, settings)
        # A listener keeps the context it was started with; this hands each
        # handshake over to the one that was read last.
        self.server.sni_callback = self._use_newest

    def reload(self) -> None:
        """Read the files again; new handshakes use what they hold now.

        Raises
        ------
        ZinniahookError
            If a file holds no usable certificate or key; the old ones stay
            in use.
        """
        settings = self._settings
        try:
            server = _context(ssl.PROTOCOL_TLS_SERVER, settings)
            client = _context(ssl.PROTOCOL_TLS_CLIENT, settings)
        except (ssl.SSLError, OSError) as error:
            files = f"{settings.certificate}, {settings.key}, {settings.authority}"
            raise ZinniahookError(
                f"no usable certificate in {files}: {error}",
                Code.SETTINGS_FILE_MISSING,
            ) from None
        self._newest = server
        self.client = client

    def _use_newest(self, connection: ssl.SSLObject, *_: object) -> None:
        connection.context = self._newest


def _context(protocol: int, settings: ControlSettings) -> ssl.SSLContext:
    """Return a context that speaks HTTP/2 and asks for a certificate."""
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.set_alpn_protocols(["h2"])
    context.load_cert_chain(settings.certificate, settings.key)
    context.load_verify_locations(settings.authority)
    return context
