"""Tests of TLS and of replacing certificates while a port is listening."""

import datetime
import ipaddress
import ssl
import tempfile
from dataclasses import replace
from pathlib import Path

import aiohttp
from aiohttp import web
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from radishshift.errors import SettingsError
from radishshift.listening import listening
from radishshift.tls import ClientTls, KeyFiles, ServerTls
from tests.cases import TestCase

IP = "127.0.0.1"


def _write_certificate(folder: Path, serial: int) -> KeyFiles:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"entry-{serial}")])
    start = datetime.datetime(2020, 1, 1)
    alternative = x509.SubjectAlternativeName(
        [x509.IPAddress(ipaddress.ip_address(IP))]
    )
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(serial)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36500))
        .add_extension(alternative, critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "cert.pem").write_bytes(certificate.public_bytes(pem))
    private = key.private_bytes(
        pem,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (folder / "key.pem").write_bytes(private)
    return KeyFiles(str(folder / "cert.pem"), str(folder / "key.pem"))


async def _served_serial(url: str, files: KeyFiles) -> int:
    context = ClientTls(KeyFiles(ca_file=files.certificate_file)).context
    connector = aiohttp.TCPConnector(ssl=context)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        session.get(url) as resp,
    ):
        peer = resp.connection.transport.get_extra_info("ssl_object")
        der = peer.getpeercert(binary_form=True)
        await resp.read()
    return x509.load_der_x509_certificate(der).serial_number


class ServerTlsTest(TestCase):
    def _folder(self) -> Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Path(folder.name)

    async def test_a_replaced_certificate_is_served_without_a_restart(self):
        folder = self._folder()
        files = _write_certificate(folder, 1)
        tls = ServerTls(files)
        app = web.Application()
        app.router.add_get("/", _answer)
        async with listening(app, IP, 0, tls) as url:
            self.assertEqual(1, await _served_serial(url, files))
            _write_certificate(folder, 2)
            self.assertTrue(tls.reload())
            self.assertFalse(tls.reload())
            self.assertEqual(2, await _served_serial(url, files))

    async def test_a_client_presents_its_replaced_certificate(self):
        """Guards against reading client certificates only when the host starts."""
        server_folder, client_folder = self._folder(), self._folder()
        files = _write_certificate(server_folder, 1)
        client = _write_certificate(client_folder, 2)
        accepted_ca = server_folder / "accepted.pem"
        accepted_ca.write_bytes((client_folder / "cert.pem").read_bytes())
        tls = ServerTls(replace(files, ca_file=str(accepted_ca)))
        client_files = replace(client, ca_file=files.certificate_file)
        client_tls = ClientTls(client_files)
        app = web.Application()
        app.router.add_get("/", _client_serial)
        async with listening(app, IP, 0, tls) as url:
            self.assertEqual("2", await _get(url, client_tls))
            _write_certificate(client_folder, 5)
            accepted_ca.write_bytes((client_folder / "cert.pem").read_bytes())
            self.assertTrue(tls.reload())
            self.assertTrue(client_tls.reload())
            self.assertEqual("5", await _get(url, client_tls))

    def test_a_half_written_replacement_keeps_the_old_certificate(self):
        folder = self._folder()
        tls = ServerTls(_write_certificate(folder, 1))
        (folder / "cert.pem").write_text("half a certifi")
        self.assertFalse(tls.reload())

    def test_a_missing_file_is_a_settings_error(self):
        self.assertRaises(SettingsError, ServerTls, KeyFiles("none", "none"))

    async def test_a_server_with_a_certificate_of_another_ca_is_rejected(self):
        folder = self._folder()
        tls = ServerTls(_write_certificate(folder, 1))
        unrelated_files = _write_certificate(self._folder(), 3)
        async with listening(web.Application(), IP, 0, tls) as url:
            exc = await self.assert_raises_async(
                aiohttp.ClientConnectorCertificateError,
                _served_serial(url, unrelated_files),
            )
        self.assertIsInstance(exc.certificate_error, ssl.SSLCertVerificationError)


async def _client_serial(request: web.Request) -> web.Response:
    der = request.get_extra_info("ssl_object").getpeercert(binary_form=True)
    return web.Response(text=str(x509.load_der_x509_certificate(der).serial_number))


async def _get(url: str, tls: ClientTls) -> str:
    connector = aiohttp.TCPConnector(ssl=tls.context)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        session.get(url) as resp,
    ):
        return await resp.text()


async def _answer(_: web.Request) -> web.Response:
    return web.Response(text="x" * 1_000_000)
