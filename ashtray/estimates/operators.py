"""The operators' requests: `GET /operators/estimates[/CLASS]` and `POST /operators/estimates/forget` with a class."""

from __future__ import annotations

import math
from typing import Any
from urllib.parse import unquote

from ashtray.estimates.learned import Estimates
from ashtray.estimates.model import ERA, MEAN_X, WEIGHT, Regression, ResidualDistribution, fit

PATH = "/operators/estimates"
MAX_ROWS = 200


def answer_operator(estimates: Estimates, method: str, path: str, body: Any) -> tuple[int, Any]:
    """Answer one request of an operator; returns the status (200, 400, 404 or 405) and the body."""
    path = path.partition("?")[0]
    if path == PATH + "/forget":
        if method != "POST":
            return 405, {"error": "use POST"}
        name = body.get("class") if isinstance(body, dict) else None
        if not isinstance(name, str) or not name:
            return 400, {"error": "class: expected a name"}
        forgotten = estimates.forget(name)
        return (
            (200, {"forgotten": forgotten}) if forgotten else (404, {"error": f"there are no estimates for {name}"})
        )
    if path != PATH and not path.startswith(PATH + "/"):
        return 404, {"error": "no such path"}
    if method != "GET":
        return 405, {"error": "use GET"}
    name = unquote(path[len(PATH) + 1 :])
    rows = list_levels(estimates, name)
    if name and not rows:
        return 404, {"error": f"there are no estimates for {name}"}
    return 200, {"estimates": rows}


def list_levels(estimates: Estimates, name: str) -> list[dict[str, Any]]:
    """Return the levels of a job class, or of all if `name` is empty, those with the most data first.

    `ratio` is the median of run time over estimate; `low` and `high` are its 10th and 90th percentiles.
    """
    found: list[dict[str, Any]] = []
    for key, row in estimates.rows.items():
        if row[WEIGHT] <= 0 or (name and key != name and not key.startswith(name + "/")):
            continue
        regression = Regression()
        parts = key.split("/") if key else []
        for depth in range(len(parts) + 1):
            parent_row = estimates.rows.get("/".join(parts[:depth]))
            if parent_row is not None:
                regression = fit(parent_row, regression)
        distribution = ResidualDistribution(row if row[WEIGHT] >= 8 else None, regression.var)
        expected = regression.at(row[MEAN_X])
        found.append(
            {
                "level": key,
                "seen": round(row[WEIGHT], 1),
                "ratio": round(math.exp(expected + distribution.quantile(0.5)), 3),
                "low": round(math.exp(expected + distribution.quantile(0.1)), 3),
                "high": round(math.exp(expected + distribution.quantile(0.9)), 3),
                "slope": round(regression.slope, 2),
                "eras": int(row[ERA]),
            }
        )
    found.sort(key=lambda entry: (-entry["seen"], entry["level"]))
    return found[:MAX_ROWS]
