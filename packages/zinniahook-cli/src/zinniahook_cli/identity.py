"""The operator's identity, from the certificate."""

from __future__ import annotations

from cryptography import x509
from cryptography.x509.oid import NameOID
from zinniahook_core.codes import Code, ZinniahookError

from .settings import ClientSettings

__all__ = ["operator_name"]


def operator_name(settings: ClientSettings) -> str:
    """Return the common name of the client's certificate.

    Raises
    ------
    ZinniahookError
        NOT_PERMITTED if there is no certificate or it has no common name;
        SETTINGS_FILE_MISSING if it can't be read.
    """
    if settings.certificate is None:
        raise ZinniahookError(
            "changes need an operator's certificate", Code.NOT_PERMITTED
        )
    try:
        certificate = x509.load_pem_x509_certificate(settings.certificate.read_bytes())
    except (OSError, ValueError) as error:
        reason = f"can't read the certificate: {error}"
        raise ZinniahookError(reason, Code.SETTINGS_FILE_MISSING) from None
    names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    if not names:
        reason = "the certificate has no common name"
        raise ZinniahookError(reason, Code.NOT_PERMITTED)
    return str(names[0].value)
