import ssl
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address

import pytest
import trio
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.x509.oid import NameOID

from gooseberryyoke_daemon.wire import (
    Address,
    ConnectFailed,
    ExchangeBroken,
    HttpClient,
    HttpServer,
    TcpNetwork,
    json_response,
    listener_address,
)


def contexts(folder):
    """Make the contexts of a server with its own certificate and of its client."""
    key = Ed25519PrivateKey.generate()
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "entry")])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - timedelta(hours=1))
        .not_valid_after(now + timedelta(hours=1))
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(key, None)
    )
    pem = serialization.Encoding.PEM
    form = serialization.PrivateFormat.PKCS8
    plain = serialization.NoEncryption()
    (folder / "key.pem").write_bytes(key.private_bytes(pem, form, plain))
    (folder / "cert.pem").write_bytes(certificate.public_bytes(pem))
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    server.load_cert_chain(folder / "cert.pem", folder / "key.pem")
    client = ssl.create_default_context(cafile=folder / "cert.pem")
    return server, client


async def answer(request):
    return json_response(200, {"path": request.path})


def test_exchange_over_tls_and_refusal_of_strangers(tmp_path):
    async def main():
        server_ssl, client_ssl = contexts(tmp_path)
        async with trio.open_nursery() as nursery:
            network = TcpNetwork(server_ssl, client_ssl)
            listeners = await network.listen(Address("127.0.0.1", 0))
            address = listener_address(listeners[0])
            server = HttpServer(answer)
            await nursery.start(server.run, listeners)
            client = HttpClient(network)
            for _ in range(2):
                reply = await client.json("GET", address, "/x", timeout_s=10)
                assert reply.payload == {"path": "/x"}
            assert server.counts["accepted"] == 1

            plain = HttpClient(TcpNetwork())
            with pytest.raises(ExchangeBroken):
                await plain.json("GET", address, "/x", timeout_s=10)
            stranger = TcpNetwork(client_ssl=ssl.create_default_context())
            with pytest.raises((ConnectFailed, ExchangeBroken)):
                await HttpClient(stranger).json("GET", address, "/x", timeout_s=10)
            assert server.counts["requests"] == 2
            nursery.cancel_scope.cancel()

    trio.run(main)
