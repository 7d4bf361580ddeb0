"""TLS contexts for calls between daemons, with both sides authenticated."""

from __future__ import annotations

import ssl

from zinniahook_core.codes import Code, ZinniahookError

from .settings import ControlSettings

__all__ = ["Certificates"]


class Certificates:
    """The TLS contexts of a daemon, as client and as server.

    A peer without a certificate of the same authority fails the handshake, so it
    receives nothing of the configuration. Host names aren't checked, as daemons
    are reached by IP address and any daemon may call any other.

    Parameters
    ----------
    settings : ControlSettings
        Paths of the PEM files.

    Raises
    ------
    ZinniahookError
        If a file holds no usable certificate or key.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self.reload()
        self.server = _context(ssl.PROTOCOL_TLS_SERVER, settings)
        # A listener keeps the context that it was started with. The callback
        # replaces it by the newest one in each handshake.
        self.server.sni_callback = self._use_newest

    def reload(self) -> None:
        """Read the files again, for use in new handshakes.

        Raises
        ------
        ZinniahookError
            If a file holds no usable certificate or key. The previous ones stay
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
    """Return a context for HTTP/2 that requires a certificate of the peer."""
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.set_alpn_protocols(["h2"])
    context.load_cert_chain(settings.certificate, settings.key)
    context.load_verify_locations(settings.authority)
    return context
