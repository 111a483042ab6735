"""Child processes on loopback: start, wait until ready, signal, stop."""

import pathlib
import random
import signal
import socket
import subprocess
import time

START_LIMIT_SECONDS = 20
STOP_LIMIT_SECONDS = 15
PORTS = (18000, 32000)


def free_ports(count):
    """Returns ports that were free a moment ago. They lie below the range
    from which the system gives ports to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as trial:
            try:
                trial.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Process:
    """One program with its logs; it can be killed and started again."""

    def __init__(self, name, arguments, log_directory):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log = pathlib.Path(log_directory) / f"{name}.log"
        self.child = None

    def start(self):
        # Each start has an output of its own to find "listening" in.
        self._output = self.log.with_suffix(".out")
        with open(self._output, "wb") as output, open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                self.arguments, stdin=subprocess.DEVNULL, stdout=output,
                stderr=log)
        return self

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def wait_ready(self):
        """Waits for the line that begins with "listening"; returns it."""
        limit = time.monotonic() + START_LIMIT_SECONDS
        while time.monotonic() < limit:
            for line in self._output.read_text(errors="replace").splitlines():
                if line.startswith("listening"):
                    return line
            if not self.is_running():
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start: {self.last_log()}")

    def last_log(self):
        lines = self.log.read_text(errors="replace").splitlines()
        return " | ".join(lines[-3:]) or "(no output)"

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def wait_end(self, limit_seconds=STOP_LIMIT_SECONDS):
        """Returns the exit code, or None if it had to be killed."""
        try:
            return self.child.wait(limit_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


def stop_all(processes, limit_seconds=STOP_LIMIT_SECONDS):
    """Stops processes with SIGTERM; returns the exit code of each by name."""
    for process in processes:
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
    limit = time.monotonic() + limit_seconds
    return {process.name: process.wait_end(max(0.1, limit - time.monotonic()))
            for process in processes if process.child is not None}
