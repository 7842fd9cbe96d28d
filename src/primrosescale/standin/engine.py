"""A stand-in for a model engine: generates tokens, caches prefixes, takes orders."""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from primrosescale.process.transport.http_bodies import request_body
from primrosescale.request.capacity.work_estimate import estimate_tokens

if TYPE_CHECKING:
    from twisted.web.server import Request

    from primrosescale.clock import Clock

DEFAULT_OUTPUT_TOKENS = 40
GENERATED_WORD = "token "
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
INTERNAL_SERVER_ERROR = 500


@dataclass(slots=True)
class EngineSettings:
    """Behaviour of a stand-in engine; may be changed while it runs.

    Parameters
    ----------
    tokens_per_second : float
        Tokens generated for one request per second.
    prefill_per_second : float
        Prompt tokens processed per second.
    cache_tokens : int
        Capacity of its prefix cache, in tokens.
    checks_fence : bool
        Whether it refuses an order with a stale fencing number.
    fails : bool
        Whether it answers every chat completion with an error at once.
    """

    tokens_per_second: float = 200.0
    prefill_per_second: float = 20_000.0
    cache_tokens: int = 200_000
    checks_fence: bool = True
    fails: bool = False


class PrefixCache:
    """Number of cached tokens by chat; evicts the least recently stored chat first.

    Parameters
    ----------
    limit : int
        Capacity in tokens.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._chats: OrderedDict[str, int] = OrderedDict()
        self._total = 0

    @property
    def chats(self) -> list[str]:
        """Return the chats that have cached tokens."""
        return list(self._chats)

    def __contains__(self, chat: object) -> bool:
        """Return whether a chat has cached tokens."""
        return chat in self._chats

    def hit(self, chat: str, prompt: int) -> int:
        """Return how many tokens of a prompt are cached.

        Parameters
        ----------
        chat : str
            The chat; empty for none.
        prompt : int
            Tokens of the prompt.

        Returns
        -------
        int
            At most the tokens of the prompt.
        """
        held = self._chats.get(chat, 0) if chat else 0
        return min(held, prompt)

    def store(self, chat: str, tokens: int) -> None:
        """Set the number of cached tokens of a chat.

        Parameters
        ----------
        chat : str
            The chat; empty for none.
        tokens : int
            Number of tokens.
        """
        if not chat:
            return
        self._total += tokens - self._chats.pop(chat, 0)
        self._chats[chat] = tokens
        while self._total > self._limit and self._chats:
            _, dropped = self._chats.popitem(last=False)
            self._total -= dropped

    def tokens(self, chat: str) -> int:
        """Return how many tokens of a chat are cached.

        Parameters
        ----------
        chat : str
            The chat.

        Returns
        -------
        int
            0 when the chat is not cached.
        """
        return self._chats.get(chat, 0)


class Generation:
    """One chat completion that the engine generates.

    Parameters
    ----------
    request : Request
        The HTTP request.
    engine : EngineResource
        The engine.
    chat : str
        Its chat.
    prompt : int
        Tokens of its prompt.
    output : int
        Tokens it will generate.
    is_streamed : bool
        Whether each token is sent as an event.
    """

    def __init__(
        self,
        request: Request,
        engine: EngineResource,
        chat: str,
        prompt: int,
        output: int,
        *,
        is_streamed: bool,
    ) -> None:
        self._request = request
        self._engine = engine
        self._chat = chat
        self._prompt = prompt
        self._output = output
        self._is_streamed = is_streamed
        self._done = 0
        self._is_cancelled = False
        request.notifyFinish().addErrback(self._handle_disconnect)

    def begin(self) -> None:
        """Process the prompt tokens that are not cached, then generate."""
        cached = self._engine.cache.hit(self._chat, self._prompt)
        settings = self._engine.settings
        self._request.setHeader(b"x-cached-tokens", str(cached).encode())
        wait = (self._prompt - cached) / settings.prefill_per_second
        self._engine.clock.callLater(wait, self._start_output)

    def _start_output(self) -> None:
        if self._is_cancelled:
            return
        if self._is_streamed:
            self._request.setHeader(b"content-type", b"text/event-stream")
        else:
            self._request.setHeader(b"content-type", b"application/json")
        self._generate_token()

    def _generate_token(self) -> None:
        if self._is_cancelled:
            return
        self._done += 1
        if self._is_streamed:
            self._request.write(_stream_event(self._chat, self._done))
        if self._done >= self._output:
            self._finish()
            return
        gap = 1.0 / self._engine.settings.tokens_per_second
        self._engine.clock.callLater(gap, self._generate_token)

    def _finish(self) -> None:
        self._engine.record_answered(self._chat, self._prompt + self._output)
        if self._is_streamed:
            self._request.write(b"data: [DONE]\n\n")
        else:
            text = f"{self._chat}: " + GENERATED_WORD * self._output
            self._request.write(_completion_body(text, self._prompt, self._output))
        self._request.finish()

    def _handle_disconnect(self, _: Any) -> None:
        if not self._is_cancelled:
            self._is_cancelled = True
            self._engine.record_cancelled()


class EngineResource(Resource):
    """Serves chat completions, cache entries, load and orders over HTTP.

    Parameters
    ----------
    settings : EngineSettings
        Behaviour of the engine.
    clock : Clock
        Source of timers.
    """

    isLeaf = True

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._settings = settings
        self._clock = clock
        self._cache = PrefixCache(settings.cache_tokens)
        self._running = 0
        self._cancelled = 0
        self._answered = 0
        self._fence = 0
        self._state: dict[str, Any] = {"model": "", "version": "", "role": "mixed"}

    @property
    def settings(self) -> EngineSettings:
        """Return the settings, which may be changed in place."""
        return self._settings

    @property
    def clock(self) -> Clock:
        """Return the source of timers."""
        return self._clock

    @property
    def cache(self) -> PrefixCache:
        """Return the prefix cache."""
        return self._cache

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return self._running

    @property
    def cancelled_count(self) -> int:
        """Return how many requests were cancelled by a disconnect."""
        return self._cancelled

    @property
    def answered_count(self) -> int:
        """Return how many requests were answered completely."""
        return self._answered

    @property
    def state(self) -> dict[str, Any]:
        """Return the model, version and role that orders have set."""
        return self._state

    @property
    def fence(self) -> int:
        """Return the highest fencing number received."""
        return self._fence

    def record_answered(self, chat: str, tokens: int) -> None:
        """Record that a request was answered completely.

        Parameters
        ----------
        chat : str
            Its chat.
        tokens : int
            Tokens of the prompt and the answer.
        """
        self._running -= 1
        self._answered += 1
        self._cache.store(chat, tokens)

    def record_cancelled(self) -> None:
        """Record that a request was cancelled."""
        self._running -= 1
        self._cancelled += 1

    def render(self, request: Request) -> int:
        """Answer one request.

        Parameters
        ----------
        request : Request
            The request.

        Returns
        -------
        int
            `NOT_DONE_YET`.
        """
        echo = request.getHeader("X-Request-Id") or ""
        request.setHeader(b"x-request-id", echo.encode())
        path = request.path.decode()
        if path == "/v1/chat/completions":
            self._serve_completion(request)
        elif path.startswith("/cache/"):
            self._serve_cache(request, path[len("/cache/") :])
        elif path == "/orders":
            self._serve_order(request)
        elif path == "/state":
            _send_json(request, OK, {**self._state, "fence": self._fence})
        elif path == "/load":
            _send_json(request, OK, {"running": self._running})
        else:
            _send_json(request, NOT_FOUND, {"error": "no such path"})
        return NOT_DONE_YET

    def _serve_completion(self, request: Request) -> None:
        if self._settings.fails:
            _send_json(
                request, INTERNAL_SERVER_ERROR, {"error": "stand-in was told to fail"}
            )
            return
        body = request_body(request)
        try:
            fields = json.loads(body)
        except ValueError:
            _send_json(request, BAD_REQUEST, {"error": "not JSON"})
            return
        output = int(fields.get("max_tokens") or DEFAULT_OUTPUT_TOKENS)
        self._running += 1
        Generation(
            request,
            self,
            request.getHeader("X-Chat") or "",
            estimate_tokens(len(body)),
            output,
            is_streamed=bool(fields.get("stream")),
        ).begin()

    def _serve_cache(self, request: Request, chat: str) -> None:
        if request.method == b"GET":
            tokens = self._cache.tokens(chat)
            status = OK if tokens else NOT_FOUND
            _send_json(request, status, {"tokens": tokens})
            return
        tokens = int(json.loads(request_body(request))["tokens"])
        self._cache.store(chat, tokens)
        _send_json(request, OK, {})

    def _serve_order(self, request: Request) -> None:
        order = json.loads(request_body(request))
        fence = int(order.pop("fence"))
        if self._settings.checks_fence and fence < self._fence:
            _send_json(request, CONFLICT, {"error": "old fence", "fence": self._fence})
            return
        self._fence = max(self._fence, fence)
        self._state.update(order)
        _send_json(request, OK, {**self._state, "fence": self._fence})


def _stream_event(chat: str, number: int) -> bytes:
    delta = {"choices": [{"delta": {"content": f"{chat}#{number} "}}]}
    return b"data: " + json.dumps(delta).encode() + b"\n\n"


def _completion_body(text: str, prompt: int, output: int) -> bytes:
    message = {"role": "assistant", "content": text}
    usage = {"prompt_tokens": prompt, "completion_tokens": output}
    return json.dumps({"choices": [{"message": message}], "usage": usage}).encode()


def _send_json(request: Request, status: int, fields: dict[str, Any]) -> None:
    body = json.dumps(fields).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()
