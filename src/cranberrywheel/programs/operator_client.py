"""HTTP client that the operators' command line uses to call entry instances."""

import dataclasses
import io
import json
import typing as t

import pycurl
from returns.result import Failure, Result, Success

from cranberrywheel.errors import CranberrywheelError

CALL_TIMEOUT_MS = 20_000


class OperatorCallError(CranberrywheelError):
    """An entry instance refused a call or could not be reached.

    :param status: HTTP status of the answer, or 0 if there was no answer.
    """

    kind = "operator-call"

    def __init__(self, message: str, remedy: str = "", status: int = 0) -> None:
        super().__init__(message, remedy)
        self.status = status


@dataclasses.dataclass(frozen=True)
class EntryClient:
    """Client of one entry instance.

    :param url: base URL of the instance.
    :param token: bearer token of the operators.
    """

    url: str
    token: str

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: t.Sequence[str] = (),
    ) -> Result[dict[str, t.Any], OperatorCallError]:
        """Send one request and wait for its answer.

        :param path: path and query, appended to the base URL.
        :param body: request body, or ``None`` for none.
        :param headers: further request headers, as ``Name: value``.
        :returns: the JSON object of the answer, or a failure with the message and
            remedy that the instance sent.
        """
        answer = io.BytesIO()
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, self.url.rstrip("/") + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, 2_000)
        curl.setopt(pycurl.WRITEFUNCTION, answer.write)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(
            pycurl.HTTPHEADER,
            [f"Authorization: Bearer {self.token}", "Expect:", *headers],
        )
        try:
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error as error:
            return Failure(
                OperatorCallError(
                    f"{self.url} did not answer: {error.args[1]}.",
                    "Check the URL in --entry, or name another instance.",
                )
            )
        finally:
            curl.close()
        return _decode_answer(self.url, status, answer.getvalue())


def _decode_answer(
    url: str, status: int, data: bytes
) -> Result[dict[str, t.Any], OperatorCallError]:
    try:
        body = json.loads(data)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        return Failure(
            OperatorCallError(
                f"{url} answered with status {status} and no JSON object.",
                "Check that --entry is the URL of an entry instance.",
                status,
            )
        )
    if status >= 400:
        detail = str(body.get("detail", f"status {status}"))
        remedy = str(body.get("remedy", ""))
        return Failure(OperatorCallError(detail, remedy, status))
    return Success(body)
