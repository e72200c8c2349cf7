import threading
from datetime import UTC, datetime, timedelta
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from ipaddress import ip_address

import pytest
from click.testing import CliRunner
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from returns.result import Failure

from gooseberryyoke_client.command import gooseberryyoke
from gooseberryyoke_client.exceptions import EntryUnreachableError
from gooseberryyoke_client.transport import HttpTransport
from gooseberryyoke_daemon.settings import Tls, load_tls


class _Entry(BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200)
        self.send_header("content-length", "2")
        self.end_headers()
        self.wfile.write(b"{}")

    def log_message(self, *args):
        """Keep quiet."""


def write_certificate(folder, name):
    key = Ed25519PrivateKey.generate()
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(key, None)
    )
    tls = Tls(folder / f"{name}.crt", folder / f"{name}.key")
    tls.certificate.write_bytes(certificate.public_bytes(Encoding.PEM))
    tls.key.write_bytes(
        key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    )
    return tls


@pytest.fixture
def tls(tmp_path):
    return write_certificate(tmp_path, "entry")


@pytest.fixture
def address(tls):
    server = ThreadingHTTPServer(("127.0.0.1", 0), _Entry)
    context = load_tls(tls).unwrap()
    server.socket = context.wrap_socket(server.socket, server_side=True)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    server.server_close()
    thread.join()


def test_the_client_talks_tls_to_whom_it_trusts(tls, address):
    transport = HttpTransport()
    transport.trust(tls.certificate)
    assert transport.send(address, "GET", "/", None, 5) == (200, {})


def test_the_client_refuses_a_stranger_and_plain_http(address, tmp_path):
    stranger = write_certificate(tmp_path, "stranger")
    transport = HttpTransport()
    with pytest.raises(EntryUnreachableError):
        transport.send(address, "GET", "/", None, 5)
    transport.trust(stranger.certificate)
    with pytest.raises(EntryUnreachableError, match="certificate"):
        transport.send(address, "GET", "/", None, 5)


def test_a_file_without_certificates_is_wrong_use(tmp_path):
    path = tmp_path / "empty.pem"
    path.write_text("", encoding="utf-8")
    for name in (path, tmp_path / "missing.pem"):
        command = ["status", "--entry", "127.0.0.1:1", "--ca", str(name)]
        result = CliRunner().invoke(gooseberryyoke, command)
        assert result.exit_code == 2
        assert "expected certificates in PEM" in result.output


def test_a_certificate_without_its_key_is_a_mistake(tls, tmp_path):
    other = write_certificate(tmp_path, "other")
    for wrong in (
        tls.replace(key=other.key),
        tls.replace(key=tmp_path / "missing"),
        tls.replace(certificate=tls.key),
    ):
        result = load_tls(wrong)
        assert isinstance(result, Failure)
        assert "expected a certificate and its key" in result.failure()[0].message
