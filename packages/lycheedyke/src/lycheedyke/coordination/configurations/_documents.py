"""The contents of the latest configurations, and their encodings for peers.

Peers identify a content by its digest. A content is sent as a difference to
one that the receiver has, if there is one; else as a whole.
"""

import hashlib
from collections.abc import Collection
from typing import NamedTuple

import msgspec
import zstandard

from lycheedyke.exceptions import DocumentMalformed
from lycheedyke.protocol import RoutingRecord

DIGEST_BYTES = 16
MAX_CONTENT_BYTES = 8_388_608
# The contents that are kept: so many, and the older ones only within this
# many bytes.
MAX_DOCUMENTS = 8
MAX_OLDER_BYTES = 1_048_576
MAX_ENCODINGS = 4
COMPRESSION_LEVEL = 3
NO_BASE = b''

_ENCODER = msgspec.msgpack.Encoder(order='deterministic')
_DECODER = msgspec.msgpack.Decoder(RoutingRecord)


class ConfigurationDocument(NamedTuple):
    """A configuration and its content.

    Attributes:
        digest: the digest of the content.
        content: the encoded record, as it is passed on.
        record: the configuration.
    """

    digest: bytes
    content: bytes
    record: RoutingRecord


class Encoding(NamedTuple):
    """A content as it is sent.

    Attributes:
        base: the digest of the content to which it is a difference;
            `NO_BASE` if it is whole.
        stream: the digest of `encoded`.
        encoded: the bytes that are sent.
    """

    base: bytes
    stream: bytes
    encoded: bytes


class ConfigurationDocuments:
    """The latest configurations that this instance has had, by digest."""

    def __init__(self) -> None:
        """Starts without configurations."""
        self._documents: dict[bytes, ConfigurationDocument] = {}
        self._encodings: dict[tuple[bytes, bytes], Encoding] = {}

    def __repr__(self) -> str:
        """Returns the number of configurations."""
        return f'<ConfigurationDocuments: {len(self._documents)}>'

    @property
    def digests(self) -> list[bytes]:
        """The digests of all contents; the latest ones come first."""
        return list(reversed(self._documents))

    def find(self, digest: bytes) -> ConfigurationDocument | None:
        """Returns the configuration with a digest, if it is known."""
        return self._documents.get(digest)

    def of(self, record: RoutingRecord) -> ConfigurationDocument:
        """Returns the document of a configuration, and remembers it."""
        for document in self._documents.values():
            if document.record is record:
                return document
        return self._add(_ENCODER.encode(record), record)

    def add(self, content: bytes, digest: bytes) -> ConfigurationDocument:
        """Remembers a content that was received.

        Raises:
            DocumentMalformed: the digest is another one, or the content is no
                configuration.
        """
        if _digest_of(content) != digest:
            raise DocumentMalformed('the content has another digest')
        try:
            record = _DECODER.decode(content)
        except msgspec.MsgspecError as error:
            raise DocumentMalformed(str(error)) from error
        return self._add(content, record)

    def encode(self, digest: bytes, known: Collection[bytes]) -> Encoding:
        """Returns a content as it is sent to a peer.

        Args:
            digest: the digest of a known content.
            known: the digests of the contents that the peer has.
        """
        bases = (each for each in self.digests if each in known)
        base = next(bases, NO_BASE)
        encoding = self._encodings.get((digest, base))
        if encoding is None:
            encoding = self._encode(digest, base)
            self._encodings[(digest, base)] = encoding
            while len(self._encodings) > MAX_ENCODINGS:
                del self._encodings[next(iter(self._encodings))]
        return encoding

    def decode(self, encoded: bytes, base: bytes) -> bytes:
        """Returns the content that a peer has sent.

        Raises:
            DocumentMalformed: the base is not known, or the encoding does not
                fit it.
        """
        known = self._documents.get(base)
        if base != NO_BASE and known is None:
            raise DocumentMalformed('a difference to an unknown content')
        try:
            _check_size(encoded)
            return zstandard.ZstdDecompressor(
                dict_data=known and _to_dictionary(known.content)
            ).decompress(encoded, max_output_size=MAX_CONTENT_BYTES)
        except zstandard.ZstdError as error:
            raise DocumentMalformed(f'configuration: {error}') from error

    def _add(
        self, content: bytes, record: RoutingRecord
    ) -> ConfigurationDocument:
        document = ConfigurationDocument(_digest_of(content), content, record)
        self._documents.pop(document.digest, None)
        self._documents[document.digest] = document
        self._drop_old()
        return document

    def _drop_old(self) -> None:
        *older, latest = self._documents.values()
        left = MAX_OLDER_BYTES
        for at, document in enumerate(reversed(older), start=1):
            left -= len(document.content)
            if left < 0 or at >= MAX_DOCUMENTS:
                del self._documents[document.digest]
        self._encodings = {
            key: encoding
            for key, encoding in self._encodings.items()
            if key[0] in self._documents
        }

    def _encode(self, digest: bytes, base: bytes) -> Encoding:
        content = self._documents[digest].content
        if base == NO_BASE:
            encoded = zstandard.ZstdCompressor(COMPRESSION_LEVEL).compress(
                content
            )
        else:
            encoded = _encode_difference(content, self._documents[base].content)
        return Encoding(base, _digest_of(encoded), encoded)


def _encode_difference(content: bytes, base: bytes) -> bytes:
    """Returns a compressed content; it refers to all parts of the base."""
    reach = (len(base) + len(content)).bit_length()
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL,
        source_size=len(content),
        dict_size=len(base),
        window_log=max(reach, zstandard.WINDOWLOG_MIN),
    )
    return zstandard.ZstdCompressor(
        dict_data=_to_dictionary(base), compression_params=parameters
    ).compress(content)


def _to_dictionary(content: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        content, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _check_size(encoded: bytes) -> None:
    size = zstandard.frame_content_size(encoded)
    if not 0 <= size <= MAX_CONTENT_BYTES:
        raise DocumentMalformed(f'a configuration of {size} bytes')


def _digest_of(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
