"""JSON calls over HTTP, for the stand-ins and the load tool."""

import io
import json
import typing as t

import pycurl

CALL_TIMEOUT_MS = 2_000


class NoAnswerError(Exception):
    """A call got no complete answer."""


def call_json(
    method: str,
    url: str,
    body: t.Any = None,
    headers: t.Sequence[str] = (),
    timeout_ms: int = CALL_TIMEOUT_MS,
) -> tuple[int, t.Any]:
    """Send a request with a JSON body and read the JSON answer.

    :param body: JSON value, text to send unchanged, or ``None`` for no body.
    :returns: HTTP status and parsed body; the body as text if it is no JSON.
    :raises NoAnswerError: if no complete answer arrives within ``timeout_ms``.
    """
    answer = io.BytesIO()
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.WRITEFUNCTION, answer.write)
    if body is not None:
        data = body if isinstance(body, str) else json.dumps(body)
        curl.setopt(pycurl.POSTFIELDS, data.encode())
        headers = ("Content-Type: application/json", "Expect:", *headers)
    curl.setopt(pycurl.HTTPHEADER, list(headers))
    try:
        curl.perform()
        status = int(curl.getinfo(pycurl.RESPONSE_CODE))
    except pycurl.error as error:
        raise NoAnswerError(f"{method} {url}: {error.args[1]}") from None
    finally:
        curl.close()
    text = answer.getvalue().decode(errors="replace")
    try:
        return status, json.loads(text) if text else {}
    except ValueError:
        return status, text
