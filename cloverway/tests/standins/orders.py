"""Orders that a stand-in engine accepts: load or unload a model, change role, drain."""

from __future__ import annotations

import asyncio
from typing import Any


class Orders:
    """Models, role and drain state of an engine; with `fencing` it refuses old fencing numbers."""

    def __init__(self, models: tuple[str, ...], fencing: bool) -> None:
        self.models = list(models)
        self.loading: set[str] = set()
        self.fencing = fencing
        self.role = "mixed"
        self.leaving = False
        self.accepted: list[dict[str, Any]] = []
        self.highest_fencing = 0
        self.refused = 0

    def apply(self, order: dict[str, Any]) -> bool:
        """Apply an order except for loading a model; return whether it was accepted."""
        number = int(order.get("fencing", 0))
        if self.fencing and number < self.highest_fencing:
            self.refused += 1
            return False
        self.highest_fencing = max(number, self.highest_fencing)
        self.accepted.append(order)
        if "unload" in order:
            self.models = [model for model in self.models if model != order["unload"]]
        self.role = str(order.get("role", self.role))
        self.leaving = bool(order.get("drain", self.leaving))
        return True

    async def load(self, model: str, load_s: float) -> None:
        if model in self.models or model in self.loading:
            return
        self.loading.add(model)
        await asyncio.sleep(load_s)
        self.loading.discard(model)
        self.models.append(model)
