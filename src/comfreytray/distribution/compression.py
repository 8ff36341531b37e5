"""Compression of bytes on the wire, where possible against bytes both nodes hold."""

import zstandard

from comfreytray.common.errors import Failure, Kind

LEVEL = 3
"""Zstandard level."""
READ_CHUNK_BYTES = 32 * 1024


def compress(plain: bytes, base: bytes | None = None) -> bytes:
    """Compress bytes into a frame without magic number, checksum and dictionary id."""
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base),
        compression_params=zstandard.ZstdCompressionParameters.from_level(
            LEVEL,
            source_size=len(plain),
            dict_size=len(base or b""),
            format=zstandard.FORMAT_ZSTD1_MAGICLESS,
            write_content_size=1,
            write_checksum=0,
            write_dict_id=0,
        ),
    )
    return compressor.compress(plain)


def decompress(
    packed: bytes, *, max_bytes: int, base: bytes | None = None
) -> bytes | Failure:
    """Decompress a frame; a Failure if it is malformed or larger than `max_bytes`."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(base),
        max_window_size=max_bytes,
        format=zstandard.FORMAT_ZSTD1_MAGICLESS,
    )
    try:
        plain = _read_bounded(decompressor.stream_reader(packed), max_bytes)
    except zstandard.ZstdError as error:
        return Failure(kind=Kind.BAD_FRAME, detail=f"compressed bytes: {error}")
    if len(plain) > max_bytes:
        detail = f"expected at most {max_bytes} bytes, got {len(plain)} or more"
        return Failure(kind=Kind.FRAME_TOO_LARGE, detail=detail)
    return plain


def _read_bounded(reader: zstandard.ZstdDecompressionReader, max_bytes: int) -> bytes:
    """Decompress in chunks and stop once the size limit is exceeded."""
    plain = bytearray()
    while len(plain) <= max_bytes:
        chunk = reader.read(READ_CHUNK_BYTES)
        if not chunk:
            break
        plain += chunk
    return bytes(plain)


def _dictionary(base: bytes | None) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
