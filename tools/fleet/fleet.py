"""One example's deployment as real processes on loopback."""

import json
import pathlib

from . import http
from .processes import Process, free_ports, stop_all

ROOT = pathlib.Path(__file__).resolve().parents[2]
ENTRIES = 3


class Instance:
    """What the instance list says about one of our processes."""

    def __init__(self, name, role, service, centre, port, admin_port):
        self.name = name
        self.role = role
        self.service = service
        self.data_centre = centre["name"]
        self.region = centre["region"]
        self.port = port  # For peers.
        self.admin_url = f"http://127.0.0.1:{admin_port}"
        self.url = None  # For callers of an entry.
        self.process = None
        self.endpoint = None

    def listing(self, leaving=False):
        return {"instance": self.name, "role": self.role,
                "service": self.service, "address": f"127.0.0.1:{self.port}",
                "data_centre": self.data_centre, "region": self.region,
                "leaving": leaving}

    def status(self):
        return http.try_get(self.admin_url + "/status")


class Service:
    def __init__(self, document, instances):
        self.document = document
        self.name = document["service"]
        self.is_model = document["kind"] == "model"
        self.instances = instances


class Fleet:
    def __init__(self, example, build, directory, rates):
        folder = ROOT / "examples" / example
        self.layout = json.loads((folder / "fleet.json").read_text())
        self.services = [
            Service(json.loads((folder / each["document"]).read_text()),
                    each["instances"])
            for each in self.layout["services"]]
        self.bin = pathlib.Path(build) / "bin"
        self.directory = pathlib.Path(directory)
        self.rates = rates
        self.stand_ins = []
        self.agents = []
        self.entries = []

    # Starting.

    def start(self):
        weights = self.directory / "weights"
        weights.mkdir(exist_ok=True)
        origin_options = ["--directory", weights, "--bytes-per-second",
                          self.rates["origin"]]
        self.configuration = self._stand_in("configuration")
        self.instance_list = self._stand_in("instances")
        self.origin = self._stand_in("origin", *origin_options)
        self.store = self._stand_in("store", *origin_options,
                                    "--requests-per-second", 50)
        for service in self.services:
            for index in range(service.instances):
                self._start_agent(service, index)
        for index in range(ENTRIES):
            self._start_entry(index)
        for instance in self.agents + self.entries:
            instance.process.wait_ready()
            self.register(instance)

    def _stand_in(self, kind, *options, name=None):
        process = Process(name or kind,
                          [self.bin / "radishrudder-standin", kind, *options],
                          self.directory)
        self.stand_ins.append(process)
        port = process.start().wait_ready().split()[1]
        return f"http://127.0.0.1:{port}"

    def _centre(self, index):
        centres = self.layout["dataCentres"]
        return centres[index % len(centres)]

    def _start_agent(self, service, index):
        name = f"{service.name}-{index + 1}"
        executions = ["--executions-file", self.directory / f"{name}.jsonl"]
        port, admin_port = free_ports(2)
        instance = Instance(name, "agent", service.name, self._centre(index),
                            port, admin_port)
        if service.is_model:
            options = ["engine", "--slots", 8, "--tokens-per-second", 50,
                       *executions]
        else:
            options = ["plain", *executions]
        instance.endpoint = self._stand_in(*options, name=f"{name}-endpoint")
        instance.process = Process(name, [
            self.bin / "radishrudder-agent", "--instance", name,
            "--service", service.name, "--data-centre", instance.data_centre,
            "--region", instance.region,
            "--store-region", self.layout["storeRegion"],
            "--listen", "127.0.0.1", "--port", port,
            "--admin-port", admin_port, "--endpoint", instance.endpoint,
            "--configuration", self.configuration,
            "--instances", self.instance_list,
            "--origin", self.origin, "--store", self.store,
            "--origin-bytes-per-second", self.rates["origin"],
            "--region-link-bytes-per-second",
            self.layout["regionLinkBytesPerSecond"],
            "--instance-link-bytes-per-second", self.rates["instance"],
        ], self.directory).start()
        self.agents.append(instance)

    def _start_entry(self, index):
        name = f"entry-{index + 1}"
        port, peer_port, admin_port = free_ports(3)
        instance = Instance(name, "entry", "", self._centre(index), peer_port,
                            admin_port)
        instance.url = f"http://127.0.0.1:{port}"
        instance.process = Process(name, [
            self.bin / "radishrudder-entry", "--instance", name,
            "--data-centre", instance.data_centre,
            "--region", instance.region,
            "--listen", "127.0.0.1", "--port", port,
            "--peer-port", peer_port, "--admin-port", admin_port,
            "--configuration", self.configuration,
            "--instances", self.instance_list,
        ], self.directory).start()
        self.entries.append(instance)

    # Acting.

    def register(self, instance, leaving=False):
        http.send("PUT", f"{self.instance_list}/v1/instances/{instance.name}",
                  instance.listing(leaving))

    def publish(self, service, version=None):
        """Publishes a service's document, for models with a version."""
        document = json.loads(json.dumps(service.document))
        if version is not None:
            document["model"]["version"] = version.label
            document["model"]["manifestDigest"] = version.manifest_digest
        http.send("PUT", f"{self.configuration}/v1/documents/{service.name}",
                  document)

    def source_bytes(self):
        """Returns what the origin and the store have sent."""
        return sum(http.get(source + "/v1/statistics")["bytes"]
                   for source in (self.origin, self.store))

    def agents_of(self, service):
        return [agent for agent in self.agents if agent.service == service.name]

    def executions(self):
        """Returns every recorded execution with its instance's name."""
        found = []
        for agent in self.agents:
            path = self.directory / f"{agent.name}.jsonl"
            lines = path.read_text().splitlines() if path.exists() else []
            for line in lines:
                found.append(json.loads(line) | {"instance": agent.name})
        return found

    def stop(self):
        """Stops everything that was started; returns the exit codes of the
        entries and agents."""
        codes = {}
        for group in (self.entries, self.agents):
            codes |= stop_all([each.process for each in group
                               if each.process is not None])
        stop_all(self.stand_ins)
        return codes
