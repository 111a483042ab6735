"""Bounded faults on a fleet's processes and stand-ins."""

import dataclasses
import random
import signal
import threading
import time

from . import http
from .processes import STOP_LIMIT_SECONDS


@dataclasses.dataclass
class Fault:
    kind: str
    instance: str  # Empty for a stand-in.
    began: float  # Unix time.
    ended: float = float("inf")


class Faults:
    """Injects faults of its kinds until it is stopped, then heals all."""

    KINDS = ["kill_agent", "kill_entry", "pause_agent", "pause_entry",
             "stop_agent", "stop_entry", "list_leaving", "stale_configuration",
             "absent_configuration", "corrupt_chunks", "publish"]

    def __init__(self, fleet, seed, versions):
        self._fleet = fleet
        self._chance = random.Random(seed)
        self._versions = versions
        self._model = next(each for each in fleet.services if each.is_model)
        self._published = 0
        self._busy = set()  # Names of what has a fault now.
        self._lock = threading.Lock()
        self._threads = []
        self.faults = []
        self.broken_stops = []

    def run(self, seconds):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            for _ in range(2 if self._chance.random() < 0.3 else 1):
                self._inject(self._chance.choice(self.KINDS))
            time.sleep(self._chance.uniform(0.5, 2.5))
        for thread in self._threads:
            thread.join(60)

    def current_version(self):
        return self._versions[self._published % len(self._versions)]

    def _inject(self, kind):
        target = None
        if kind.endswith("_agent") or kind == "list_leaving":
            target = self._choose(self._fleet.agents)
        elif kind.endswith("_entry"):
            target = self._choose(self._fleet.entries)
        name = target.name if target else kind
        length = self._chance.uniform(1, 6)
        with self._lock:
            # At most a quarter of the agents, and one entry, at once.
            entries = sum(each.startswith("entry") for each in self._busy)
            if name in self._busy or len(self._busy) >= 4 or (
                    name.startswith("entry") and entries > 0):
                return
            self._busy.add(name)
        thread = threading.Thread(target=self._do,
                                  args=(kind, target, name, length))
        self._threads.append(thread)
        thread.start()

    def _choose(self, instances):
        return self._chance.choice(instances)

    def _do(self, kind, target, name, length):
        fault = Fault(kind, target.name if target else "", time.time())
        self.faults.append(fault)
        try:
            action = getattr(self, "_" + kind.partition("_")[0])
            action(kind, target, length)
        finally:
            fault.ended = time.time()
            with self._lock:
                self._busy.discard(name)

    # Faults of processes.

    def _kill(self, _, target, length):
        target.process.kill()
        time.sleep(length / 2)
        target.process.start().wait_ready()

    def _pause(self, _, target, length):
        target.process.signal(signal.SIGSTOP)
        time.sleep(length)
        target.process.signal(signal.SIGCONT)

    def _stop(self, _, target, length):
        self._fleet.register(target, leaving=True)
        target.process.signal(signal.SIGTERM)
        code = target.process.wait_end(STOP_LIMIT_SECONDS)
        if code != 0:
            self.broken_stops.append(f"{target.name} ended with {code}")
        time.sleep(length / 2)
        target.process.start().wait_ready()
        self._fleet.register(target)

    def _list(self, _, target, length):
        self._fleet.register(target, leaving=True)
        time.sleep(length + 2)
        self._fleet.register(target)

    # Faults of the platform.

    def _control(self, url, during, after, length):
        http.send("PUT", url + "/v1/control", during)
        time.sleep(length)
        http.send("PUT", url + "/v1/control", after)

    def _stale(self, _, target, length):
        self._control(self._fleet.configuration, {"stale": True},
                      {"stale": False}, length)

    def _absent(self, _, target, length):
        self._control(self._fleet.configuration, {"available": False},
                      {"available": True}, length)

    def _corrupt(self, _, target, length):
        self._control(self._fleet.origin, {"corrupt_percent": 10},
                      {"corrupt_percent": 0}, length)

    def _publish(self, _, target, length):
        self._published += 1
        self._fleet.publish(self._model, self.current_version())
        time.sleep(length)
