"""The HTTP server of the administration API."""

import asyncio
import logging
import ssl
from collections.abc import Awaitable, Callable

from aiohttp import web

from bramblebeam import __version__
from bramblebeam.core.identity import Address
from bramblebeam.edges.admin.api import AdministrationApi
from bramblebeam.edges.admin.authentication import Authenticator, Operator
from bramblebeam.edges.admin.errors import ApiError, Problem, problem_response, refuse
from bramblebeam.edges.admin.limits import RateLimiter
from bramblebeam.edges.admin.openapi import openapi_document
from bramblebeam.edges.admin.routes import ROUTES, RequestContext, Route, read_body
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMIN_REQUEST_FAILED, ADMIN_REQUEST_REFUSED
from bramblebeam.settings.model import AdminSettings

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 256 * 1024
MAX_REQUESTS_IN_FLIGHT = 64
REQUESTS_PER_SECOND = 100.0
REQUEST_BURST = 200.0
BUSY_RETRY_MS = 1_000
SHUTDOWN_SECONDS = 2.0

HttpHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminServer:
    """Serves operators, health probes and the metrics collector."""

    def __init__(self, api: AdministrationApi, settings: AdminSettings) -> None:
        self._api = api
        self._settings = settings
        self._authenticator = Authenticator(settings.tokens, settings.host)
        self._rate_limiter = RateLimiter(REQUESTS_PER_SECOND, REQUEST_BURST)
        self._in_flight = 0
        self._runner: web.AppRunner | None = None

    async def start(self) -> Address:
        """Start listening and return the bound address. Raises OSError, ssl.SSLError."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        for route in ROUTES:
            application.router.add_route(route.method, route.path, self._handler_for(route))
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._ready)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/openapi.json", self._openapi)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS)
        self._runner = runner
        await runner.setup()
        site = web.TCPSite(
            runner, self._settings.host, self._settings.port, ssl_context=self._tls_context()
        )
        await site.start()
        host, port = runner.addresses[0][:2]
        return Address(host, port)

    async def stop(self) -> None:
        """Stop listening; wait up to SHUTDOWN_SECONDS for requests in flight."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def _tls_context(self) -> ssl.SSLContext | None:
        tls = self._settings.tls
        if tls is None:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(tls.certificate, tls.key)
        return context

    def _handler_for(self, route: Route) -> HttpHandler:
        async def handle(request: web.Request) -> web.StreamResponse:
            try:
                return await self._run_operation(route, request)
            except ApiError as error:
                self._log_refusal(request, error)
                return problem_response(error)
            except web.HTTPRequestEntityTooLarge:
                message = f"the body is larger than {MAX_BODY_BYTES} bytes"
                return problem_response(refuse(413, "body", message))
            except (web.HTTPException, asyncio.CancelledError):
                raise
            except Exception as error:
                log_event(logger, ADMIN_REQUEST_FAILED, path=request.path, error=repr(error))
                problem = Problem(code="internal", message="internal error", not_run=False)
                return problem_response(ApiError(500, problem))

        return handle

    async def _run_operation(self, route: Route, request: web.Request) -> web.Response:
        operator = self._authenticator.operator(request.headers.get("Authorization", ""))
        operator.require(route.role)
        self._check_rate(operator)
        if self._in_flight >= MAX_REQUESTS_IN_FLIGHT:
            raise _busy(503, "too many requests in flight", BUSY_RETRY_MS)
        self._in_flight += 1
        try:
            body = await read_body(request, route.body) if route.body else None
            result = await route.handler(RequestContext(self._api, operator, request), body)
        finally:
            self._in_flight -= 1
        return web.Response(text=result.model_dump_json(), content_type="application/json")

    def _check_rate(self, operator: Operator) -> None:
        wait = self._rate_limiter.try_acquire(operator.name, asyncio.get_running_loop().time())
        if wait > 0:
            raise _busy(429, "too many requests with this token", round(wait * 1000))

    def _log_refusal(self, request: web.Request, error: ApiError) -> None:
        if error.status in (401, 403):
            log_event(
                logger,
                ADMIN_REQUEST_REFUSED,
                status=error.status,
                method=request.method,
                path=request.path,
                source=request.remote or "?",
                error=error.problem.message,
            )

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _ready(self, _: web.Request) -> web.Response:
        ready = await self._api.ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _metrics(self, _: web.Request) -> web.Response:
        body = await self._api.metrics()
        return web.Response(body=body, content_type="text/plain", charset="utf-8")

    async def _openapi(self, _: web.Request) -> web.Response:
        return web.json_response(openapi_document(__version__))


def _busy(status: int, message: str, retry_after_ms: int) -> ApiError:
    return ApiError(status, Problem(code="busy", message=message, retry_after_ms=retry_after_ms))
