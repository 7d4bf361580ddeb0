"""Certificates of a development authority, for tests and demonstrations."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

__all__ = ["Authority", "Files", "write_development"]

LIFETIME = datetime.timedelta(days=1)


class Files(NamedTuple):
    """Paths of PEM files: a certificate, its key and its authority's certificate."""

    certificate: Path
    key: Path
    authority: Path


class Authority:
    """Signs certificates and writes them as PEM files into a folder.

    Parameters
    ----------
    folder : Path
        Folder for the files.
    name : str
        Common name of the authority, and the name of its file.
    """

    def __init__(self, folder: Path, name: str = "authority") -> None:
        self.folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, self._key, is_authority=True)
        self.file = self._write(name, certificate)

    def issue(self, name: str) -> Files:
        """Write a new certificate for ``name`` and the loopback addresses."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._write(name, self._sign(name, key, is_authority=False))
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        path = self.folder / f"{name}.key"
        path.write_bytes(private)
        return Files(certificate, path, self.file)

    def _write(self, name: str, certificate: x509.Certificate) -> Path:
        path = self.folder / f"{name}.pem"
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return path

    def _sign(
        self, name: str, key: ec.EllipticCurvePrivateKey, is_authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        names = x509.SubjectAlternativeName(
            [
                x509.DNSName("localhost"),
                x509.IPAddress(ipaddress.ip_address("127.0.0.1")),
            ]
        )
        return (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(_name(self._name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - LIFETIME)
            .not_valid_after(now + LIFETIME)
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(names, critical=False)
            .sign(self._key, hashes.SHA256())
        )


def write_development(folder: Path, name: str) -> Files:
    """Write a certificate for ``name`` under a fresh authority."""
    return Authority(folder).issue(name)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])
