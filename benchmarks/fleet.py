"""Start a fleet of real processes for benchmarks and roll out its configuration."""

from __future__ import annotations

import base64
import hashlib
import http.client
import json
import tempfile
import time
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from primrosescale.version.head import sign
from support import Child
from support import free_port
from support import start_daemon
from support import wait_for

KEY = "bench-key"
AUTHOR = "bench-author"
APPROVER = "bench-approver"
BUNDLE = """
[model m]
version = 1
[service chat]
kind = model
models = m
floor = 10000000
[service plain]
kind = plain
non_idempotent = POST /once
floor = 10000000
[organisation bench]
key_hashes = {key}
"""


def sha256_hex(text):
    return hashlib.sha256(text.encode()).hexdigest()


class Fleet:
    """A stand-in platform, routers, agents and targets, each in its own process."""

    def __init__(self, interval=1.0, target=None, latency=0.001):
        self.folder = Path(tempfile.mkdtemp())
        self.signing = Ed25519PrivateKey.generate()
        self.children = []
        self.routers = []
        self.agents = []
        self.interval = interval
        self.platform_port = free_port()
        text = "[process]\nname = platform\nrole = platform\ndomain = d0\nregion = r\n"
        text += f"[standin]\nport = {self.platform_port}\nlatency = {latency}\n"
        self.platform = self.start("platform", "platform", text)
        self.wait_port(self.platform_port)

    def start(self, role, name, text, cpu=None):
        path = self.folder / f"{name}.ini"
        path.write_text(text)
        child = start_daemon(role, path, cpu)
        self.children.append(child)
        return child

    def common_settings(self, name, role, domain):
        public = self.signing.public_key().public_bytes_raw()
        approver = base64.b64encode(public).decode()
        return (
            f"[process]\nname = {name}\nrole = {role}\ndomain = {domain}\nregion = r\n"
            f"stop_within = 1\n[platform]\nport = {self.platform_port}\n"
            f"[sums]\ninterval = {self.interval}\n"
            f"[trust]\napprovers = approver:{approver}\n"
            f"operators = author:{sha256_hex(AUTHOR)}, "
            f"approver:{sha256_hex(APPROVER)}\n"
        )

    def add_router(self, domain="d0", cpu=None):
        name = f"r{len(self.routers)}"
        ports = [free_port() for _ in range(3)]
        text = self.common_settings(name, "router", domain)
        text += (
            f"[router]\nport = {ports[0]}\nadmin_port = {ports[1]}\n"
            f"link_port = {ports[2]}\ncalls_limit = 100000\n"
        )
        child = self.start("router", name, text, cpu)
        child.http, child.admin, child.link = ports
        child.domain = domain
        self.routers.append(child)
        self.wait_port(ports[2])
        return child

    def add_agent(self, service, target_port, domain="d0", cpu=None, extra=""):
        name = f"a{len(self.agents)}"
        port = free_port()
        same_domain = [r for r in self.routers if r.domain == domain] or self.routers
        seeds = ", ".join(f"127.0.0.1:{r.link}" for r in same_domain[:4])
        text = self.common_settings(name, "agent", domain)
        text += (
            f"[agent]\nservice = {service}\ntarget_port = {target_port}\n"
            f"port = {port}\nrouters = {seeds}\nmust_echo = no\n{extra}"
        )
        child = self.start("agent", name, text, cpu)
        child.link = port
        self.agents.append(child)
        return child

    def add_target(self, arguments, port, cpu=None):
        child = Child([*arguments, str(port)], cpu)
        self.children.append(child)
        self.wait_port(port)
        return child

    def wait_port(self, port):
        def is_open():
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=1)
            connection.connect()
            connection.close()
            return True

        wait_for(is_open)

    def admin(self, method, path, key, body):
        connection = http.client.HTTPConnection(
            "127.0.0.1",
            self.routers[0].admin,
            timeout=60,
        )
        headers = {"Authorization": f"Bearer {key}"}
        connection.request(method, f"/admin/v1/{path}", body, headers)
        response = connection.getresponse()
        fields = json.loads(response.read())
        connection.close()
        if response.status >= 400:
            raise RuntimeError(f"{path}: {fields}")
        return fields

    def roll_out(self, text=None):
        text = text or BUNDLE.format(key=sha256_hex(KEY))
        digest = self.admin("POST", "bundles", AUTHOR, text)["digest"]
        signature = sign(digest, self.signing.private_bytes_raw()).hex()
        body = json.dumps({"signature": signature})
        self.admin("PUT", f"bundles/{digest}/sign-off", APPROVER, body)
        self.accepted_at = time.time()
        self.admin("POST", "head", AUTHOR, json.dumps({"digest": digest}))
        return digest

    def status(self):
        return self.admin("GET", "status", AUTHOR, None)

    def settle(self, seconds=30):
        def is_settled():
            status = self.status()
            agents = sum(domain["agents"] for domain in status["domains"])
            return status["in_force_everywhere"] and agents == len(self.agents)

        wait_for(is_settled, seconds)

    def end(self):
        for child in reversed(self.children):
            child.process.terminate()
        for child in reversed(self.children):
            child.end(5)
