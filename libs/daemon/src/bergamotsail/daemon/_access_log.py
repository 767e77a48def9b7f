"""Web applications without an access log."""

from tornado import web


def application_without_access_log(routes: list[tuple]) -> web.Application:
    """Return an application without tornado's access log."""
    return web.Application(routes, log_function=_log_nothing)


def _log_nothing(_: web.RequestHandler) -> None:
    """Log nothing, as the components log their decisions themselves."""
