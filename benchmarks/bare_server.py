"""Baseline twisted.web server that listens on the port given as its argument."""

from __future__ import annotations

import json
import sys

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

DEFAULT_BODY = b"x" * 400


class BaselineResource(Resource):
    """Echoes the request body, or streams as many chunks as ``max_tokens`` asks for."""

    isLeaf = True

    def render(self, request):
        body = request.content.read()
        request_id = request.getHeader("X-Request-Id")
        if request_id:
            request.setHeader(b"x-request-id", request_id.encode())
        if not body.startswith(b"{"):
            request.setHeader(b"content-length", b"%d" % len(body))
            return body or DEFAULT_BODY
        fields = json.loads(body)
        request.setHeader(b"content-type", b"text/event-stream")
        self.stream(request, fields.get("max_tokens", 40), 0)
        return NOT_DONE_YET

    def stream(self, request, count, sent):
        if request.finished or request._disconnected:
            return
        if sent >= count:
            request.write(b"data: [DONE]\n\n")
            request.finish()
            return
        request.write(b'data: {"choices":[{"delta":{"content":"token "}}]}\n\n')
        reactor.callLater(0.02, self.stream, request, count, sent + 1)


def main():
    site = Site(BaselineResource())
    site.noisy = False
    reactor.listenTCP(int(sys.argv[1]), site, interface="127.0.0.1")
    reactor.run()


if __name__ == "__main__":
    main()
