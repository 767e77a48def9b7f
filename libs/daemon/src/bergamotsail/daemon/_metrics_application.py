"""The web application that serves the metrics of a process."""

from tornado import web

from bergamotsail.daemon import _access_log
from bergamotsail import observe


class MetricsHandler(web.RequestHandler):
    """Serves counters, histograms and the count of dropped log lines."""

    def initialize(self, metrics: observe.Metrics) -> None:
        """Store the metrics, an argument of the route."""
        self._metrics = metrics

    def get(self) -> None:
        """Respond with one line of text for each value."""
        self.set_header("Content-Type", "text/plain")
        text = observe.as_text(self._metrics.snapshot())
        self.finish(f"{text}log_lines_dropped {observe.lines_dropped()}\n")


def metrics_application(metrics: observe.Metrics) -> web.Application:
    """Return an application that serves the metrics of this process."""
    routes = [(r"/metrics", MetricsHandler, {"metrics": metrics})]
    return _access_log.application_without_access_log(routes)
