from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from ssl import PROTOCOL_TLS_CLIENT, SSLContext

import pytest
import trio
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.metrics import Metrics
from gooseberryyoke_daemon.security import Networks, TlsReloader, load_tls_contexts
from gooseberryyoke_daemon.security.reload import TlsFiles
from gooseberryyoke_daemon.settings import InternalTls, Tls
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    TcpNetwork,
    WireError,
    json_response,
    listener_address,
)

LIFE = timedelta(days=30)


class Authority:
    def __init__(self, folder, name):
        self.folder = folder
        self.path = folder / f"{name}.pem"
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(name)
        builder = _builder(self._name, self._name, self._key, LIFE)
        basic = x509.BasicConstraints(ca=True, path_length=None)
        certificate = builder.add_extension(basic, critical=True).sign(
            self._key, hashes.SHA256()
        )
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name, life=LIFE):
        key = ec.generate_private_key(ec.SECP256R1())
        address = x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))])
        builder = _builder(_name(name), self._name, key, life)
        certificate = builder.add_extension(address, critical=False).sign(
            self._key, hashes.SHA256()
        )
        paths = self.folder / "instance.pem", self.folder / "instance.key"
        paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return paths


def _name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(subject, issuer, key, life):
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + life)
    )


class TlsSettings:
    def __init__(self, tls=None, internal_tls=None):
        self.tls = tls
        self.internal_tls = internal_tls


def internal_networks(authority):
    certificate, key = authority.issue("instance")
    settings = TlsSettings(internal_tls=InternalTls(certificate, key, authority.path))
    return Networks.over_tcp(load_tls_contexts(settings).unwrap())


async def handler(request):
    return json_response(200, {"path": request.path})


async def exchange(listening, connecting):
    async with trio.open_nursery() as nursery:
        listeners = await listening.listen(Address("127.0.0.1", 0))
        address = listener_address(listeners[0])
        await nursery.start(HttpServer(handler).run, listeners)
        try:
            reply = await HttpClient(connecting).json("GET", address, "/x", timeout_s=5)
        except WireError as exc:
            reply = exc
        nursery.cancel_scope.cancel()
    return reply


def test_processes_of_one_authority_talk(tmp_path):
    networks = internal_networks(Authority(tmp_path, "own"))

    async def main():
        return await exchange(networks.internal, networks.internal)

    assert trio.run(main).payload == {"path": "/x"}


@pytest.mark.parametrize("stranger", ["plain", "no-certificate", "other-authority"])
def test_strangers_get_no_answer_at_the_internal_port(tmp_path, stranger):
    """
    Whoever isn't of the system's authority gets no answer, not even a refusal.

    A connection comes in plain text, without a certificate, or with one that
    another authority has signed.
    """
    own = Authority(tmp_path, "own")
    networks = internal_networks(own)
    if stranger == "plain":
        connecting = TcpNetwork()
    elif stranger == "no-certificate":
        context = SSLContext(PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(own.path)
        connecting = TcpNetwork(client_ssl=context)
    else:
        (tmp_path / "b").mkdir()
        connecting = internal_networks(Authority(tmp_path / "b", "other")).internal

    async def main():
        return await exchange(networks.internal, connecting)

    assert isinstance(trio.run(main), WireError)


def test_new_certificate_is_used_without_a_restart(tmp_path):
    """
    Callers see the new certificate from their next connection on.

    Certificate and key are replaced while the process runs. A pair that doesn't
    fit, as in the moment between the two writes, changes nothing.
    """
    authority = Authority(tmp_path, "own")
    certificate, key = authority.issue("first")
    contexts = load_tls_contexts(TlsSettings(tls=Tls(certificate, key))).unwrap()
    metrics = Metrics()
    files = TlsFiles("callers", certificate, key, [contexts.callers])

    async def subject(address):
        context = SSLContext(PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(authority.path)
        stream = await TcpNetwork(client_ssl=context).connect(address)
        await stream.do_handshake()
        found = stream.getpeercert()["subject"][0][0][1]
        await trio.aclose_forcefully(stream)
        return found

    async def main():
        async with trio.open_nursery() as nursery:
            network = Networks.over_tcp(contexts).callers
            listeners = await network.listen(Address("127.0.0.1", 0))
            address = listener_address(listeners[0])
            await nursery.start(HttpServer(handler).run, listeners)
            reloader = TlsReloader([files], metrics, Clock(), interval_s=0.01)
            nursery.start_soon(reloader.run)
            assert await subject(address) == "first"
            old_key = key.read_bytes()
            authority.issue("second", life=timedelta(days=2))
            new_key = key.read_bytes()
            key.write_bytes(old_key)
            await trio.sleep(0.2)
            assert await subject(address) == "first"
            key.write_bytes(new_key)
            with trio.fail_after(30):
                while await subject(address) != "second":
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    trio.run(main)
    page = metrics.render().decode()
    line = next(x for x in page.splitlines() if 'seconds{port="callers"}' in x)
    assert 1 < float(line.split()[-1]) / 86400 <= 2


def test_missing_file_is_a_mistake_that_names_it(tmp_path):
    tls = Tls(tmp_path / "none.pem", tmp_path / "none.key")
    mistakes = load_tls_contexts(TlsSettings(tls=tls)).failure()
    assert "none.pem" in str(mistakes[0])
