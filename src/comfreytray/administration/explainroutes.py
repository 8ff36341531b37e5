"""Handler that explains where a request would be sent now, and why."""

from typing import Any

from cattrs.preconf.json import make_converter

from comfreytray.administration.api import Request, parse_json
from comfreytray.calls.explanation import Explainer, Inquiry
from comfreytray.calls.proxy import CallPath
from comfreytray.common.errors import Failure, Kind

MAX_HEADERS = 100
_converter = make_converter(forbid_extra_keys=True)


class ExplainRoutes:
    """Explain requests without sending them."""

    def __init__(self, *, calls: CallPath) -> None:
        self._explainer = Explainer(
            reader=calls.reader,
            router=calls.router,
            guard=calls.guard,
            snapshot=calls.snapshot,
            clock=calls.clock,
        )

    def explain(self, request: Request, /, **parts: str) -> object:
        """Return what would become of the request that the body describes."""
        document = parse_json(request.body)
        if isinstance(document, Failure):
            return document
        inquiry = _inquiry(document)
        if isinstance(inquiry, Failure):
            return inquiry
        return self._explainer.explain(inquiry)


def _inquiry(document: Any) -> Inquiry | Failure:
    try:
        inquiry = _converter.structure(document, Inquiry)
        inquiry.body.encode()
        for name, value in inquiry.headers:
            (name + value).encode("latin-1")
    except Exception as error:
        # The text of the error may hold an API key.
        detail = f"request to explain: {type(error).__name__}"
        return Failure(kind=Kind.BAD_REQUEST, detail=detail)
    if not (inquiry.method + inquiry.host + inquiry.target).isascii():
        detail = "method, host and target must be ASCII, as in a request line"
        return Failure(kind=Kind.BAD_REQUEST, detail=detail)
    if len(inquiry.headers) > MAX_HEADERS:
        detail = f"expected up to {MAX_HEADERS} headers, got {len(inquiry.headers)}"
        return Failure(kind=Kind.BAD_REQUEST, detail=detail)
    return inquiry
