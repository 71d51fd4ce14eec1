"""What operators may ask: `GET /operators/estimates[/CLASS]`, and `POST /operators/estimates/forget` with a class."""

from __future__ import annotations

import math
from typing import Any
from urllib.parse import unquote

from ashtray.estimates.learned import Estimates
from ashtray.estimates.model import ERA, MX, Belief, Curve, N, believe

PATH = "/operators/estimates"
MOST_ROWS = 200


def operate(estimates: Estimates, method: str, path: str, body: Any) -> tuple[int, Any]:
    """Answer one request of an operator; 200, 400, 404 or 405."""
    path = path.partition("?")[0]
    if path == PATH + "/forget":
        if method != "POST":
            return 405, {"error": "use POST"}
        name = body.get("class") if isinstance(body, dict) else None
        if not isinstance(name, str) or not name:
            return 400, {"error": "class: expected a name"}
        forgotten = estimates.forget(name)
        return (200, {"forgotten": forgotten}) if forgotten else (404, {"error": f"nothing is known of {name}"})
    if path != PATH and not path.startswith(PATH + "/"):
        return 404, {"error": "no such path"}
    if method != "GET":
        return 405, {"error": "use GET"}
    name = unquote(path[len(PATH) + 1 :])
    rows = table(estimates, name)
    if name and not rows:
        return 404, {"error": f"nothing is known of {name}"}
    return 200, {"estimates": rows}


def table(estimates: Estimates, name: str) -> list[dict[str, Any]]:
    """Each level, those with the most data first: what runs take of their estimates, and how sure that is."""
    found: list[dict[str, Any]] = []
    for key, row in estimates.rows.items():
        if row[N] <= 0 or (name and key != name and not key.startswith(name + "/")):
            continue
        belief = Belief()
        parts = key.split("/") if key else []
        for depth in range(len(parts) + 1):
            above = estimates.rows.get("/".join(parts[:depth]))
            if above is not None:
                belief = believe(above, belief)
        curve = Curve(row if row[N] >= 8 else None, belief.var)
        middle = belief.at(row[MX])
        found.append(
            {
                "level": key,
                "seen": round(row[N], 1),
                "ratio": round(math.exp(middle + curve.quantile(0.5)), 3),
                "low": round(math.exp(middle + curve.quantile(0.1)), 3),
                "high": round(math.exp(middle + curve.quantile(0.9)), 3),
                "slope": round(belief.slope, 2),
                "eras": int(row[ERA]),
            }
        )
    found.sort(key=lambda entry: (-entry["seen"], entry["level"]))
    return found[:MOST_ROWS]
