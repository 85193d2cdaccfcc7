"""A certificate authority and a server certificate for the lifetime of a fleet."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path

from attrs import frozen
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALIDITY = datetime.timedelta(days=2)
CLOCK_TOLERANCE = datetime.timedelta(hours=1)


@frozen(kw_only=True)
class Certificates:
    """Files of a certificate authority and of a server certificate.

    :param ca: certificate of the authority.
    :param certificate: server certificate for all services.
    """

    ca: Path
    certificate: Path
    private_key: Path


def _name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _builder(
    *, subject: str, issuer: str, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_TOLERANCE)
        .not_valid_after(now + VALIDITY)
    )


def _write_key(path: Path, key: ec.EllipticCurvePrivateKey) -> None:
    path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    path.chmod(0o600)


def create_certificates(
    directory: Path, *, server_names: list[str], addresses: list[str]
) -> Certificates:
    """Create an authority and one certificate for all names and addresses.

    :param addresses: IPv4 addresses that callers may verify instead of a name.
    """
    authority_key = ec.generate_private_key(ec.SECP256R1())
    authority = (
        _builder(
            subject="daisygauge test CA", issuer="daisygauge test CA", key=authority_key
        )
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .sign(authority_key, hashes.SHA256())
    )
    server_key = ec.generate_private_key(ec.SECP256R1())
    names: list[x509.GeneralName] = [x509.DNSName(name) for name in server_names]
    names += [x509.IPAddress(ipaddress.ip_address(address)) for address in addresses]
    certificate = (
        _builder(subject=server_names[0], issuer="daisygauge test CA", key=server_key)
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .sign(authority_key, hashes.SHA256())
    )
    files = Certificates(
        ca=directory / "ca.pem",
        certificate=directory / "server.pem",
        private_key=directory / "server.key",
    )
    files.ca.write_bytes(authority.public_bytes(serialization.Encoding.PEM))
    files.certificate.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    _write_key(files.private_key, server_key)
    return files
