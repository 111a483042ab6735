"""Watches that no instance goes back to an older document."""

import threading
import time


class RevisionWatch:
    def __init__(self, agents):
        self._agents = agents
        self._highest = {}  # Revision in force while the gate was open.
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.reverts = []

    def start(self):
        self._thread.start()

    def stop(self):
        self._stop.set()
        self._thread.join(30)

    def _run(self):
        while not self._stop.is_set():
            for agent in self._agents:
                status = agent.status()
                if status is not None and status["gate"] == "open":
                    self._check(agent.name, status["document_revision"])
            time.sleep(0.2)

    def _check(self, name, revision):
        highest = self._highest.get(name, 0)
        if revision < highest:
            self.reverts.append(f"{name}: {highest} then {revision}")
        self._highest[name] = max(highest, revision)
