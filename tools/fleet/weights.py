"""Versions of made-up weights in the origin's folder."""

import hashlib
import pathlib
import random
import subprocess


class Version:
    def __init__(self, directory, command_line, label, mebibytes, seed):
        self.label = label
        self.bytes = int(mebibytes * (1 << 20))
        path = pathlib.Path(directory) / f"weights-{label}.bin"
        path.write_bytes(random.Random(f"{seed} {label}").randbytes(self.bytes))
        text = subprocess.run([command_line, "manifest", path],
                              check=True, capture_output=True).stdout
        path.with_name(path.name + ".manifest.json").write_bytes(text)
        digest = hashlib.sha256(text.rstrip(b"\n")).hexdigest()
        self.manifest_digest = "sha256:" + digest
