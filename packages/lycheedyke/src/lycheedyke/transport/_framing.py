"""Tells from a response's head how the response ends (RFC 9112, 6.3)."""

from collections.abc import Mapping

HTTP_SUCCESS = range(200, 300)
HTTP_NO_CONTENT = 204
HTTP_NOT_MODIFIED = 304
HTTP_INFORMATIONAL = range(100, 200)


def has_body(method: str, status: int) -> bool:
    """Returns whether a body may follow the head of a response.

    If none does, the response ends with its head, whatever its headers say.

    Args:
        method: the method of the request.
        status: the status of the response.
    """
    if method == 'HEAD' or status in HTTP_INFORMATIONAL:
        return False
    if method == 'CONNECT' and status in HTTP_SUCCESS:
        return False
    return status not in {HTTP_NO_CONTENT, HTTP_NOT_MODIFIED}


def has_length(headers: Mapping[str, str]) -> bool:
    """Returns whether the headers tell where a body ends.

    Otherwise it ends where the connection is closed.
    """
    coding = headers.get('Transfer-Encoding', '')
    return 'Content-Length' in headers or 'chunked' in coding.lower()


def length_of_absent_body(
    method: str, status: int, headers: Mapping[str, str]
) -> str | None:
    """Returns the length that a response without a body names.

    It is the length that the body would have (RFC 9110, 8.6), so it may be
    passed on. A response with the status 204 has none.
    """
    if status == HTTP_NO_CONTENT:
        return None
    if method == 'HEAD' or status == HTTP_NOT_MODIFIED:
        return headers.get('Content-Length')
    return None
