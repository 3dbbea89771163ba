"""Starts and stops stand-ins and entry hosts on loopback for the scripts in this folder.

Only processes started here are signalled, through their process objects. Ports are 24000 to 24999.
"""

import ctypes
import ctypes.util
import http.client
import json
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
IP = "127.0.0.1"

HOST_PORT = 24000  # of entry host 0; the others follow
ADMIN_PORT = 24040  # admin address of entry host 0; the others follow
PEER_PORT = 24080
PLATFORM_PORT = 24090  # object API and host list
PLATFORM_CONTROL_PORT = 24091
CONTROL_PORT = 24099
TARGET_PORT = 24100

# Two hosts together stay within the several hundred writes per second that the platform accepts.
STORE_CALLS_PER_SECOND = 200

START_SECONDS = 10
STOP_SECONDS = 20


def build():
    """Builds the programs that the scripts run."""
    subprocess.run([ROOT / "scripts" / "build"], check=True, stdout=subprocess.DEVNULL)


def get(port, path, method="GET", body=None, headers=None, timeout=10):
    """Sends one HTTP request on loopback; returns status, headers and body."""
    connection = http.client.HTTPConnection(IP, port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Polls until the condition holds; raises TimeoutError that names `what` if it does not in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(f"timed out after {seconds} s waiting for {what}")


def curve_keys():
    """Generates a key pair for the peer exchange, in Z85."""
    library = ctypes.CDLL(ctypes.util.find_library("zmq") or "libzmq.so.5")
    public, secret = ctypes.create_string_buffer(41), ctypes.create_string_buffer(41)
    if library.zmq_curve_keypair(public, secret) != 0:
        raise RuntimeError("libzmq was built without CURVE")
    return public.value.decode(), secret.value.decode()


def service(name, prefix, ports, data_centre="loopback", **more):
    """Returns the settings of one service with targets at the given ports."""
    targets = [{"address": f"{IP}:{port}", "data_centre": data_centre} for port in ports]
    return {"name": name, "path_prefix": prefix, "targets": targets, **more}


class Fleet:
    """The processes of one run."""

    def __init__(self, verbose=False):
        self.folder = tempfile.TemporaryDirectory(prefix="savoryscale-")
        self.output = None if verbose else subprocess.DEVNULL
        self.processes = []
        self.hosts = {}
        self.public_key, self.secret_key = curve_keys()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in reversed(self.processes):
            if process.poll() is None:
                process.kill()
                process.wait()
        self.folder.cleanup()

    def start(self, *arguments):
        """Starts one of the built programs; it is killed when the fleet ends."""
        command = [str(BUILD / arguments[0]), *map(str, arguments[1:])]
        process = subprocess.Popen(command, stdout=self.output, stderr=self.output)
        self.processes.append(process)
        return process

    def upstreams(self, targets, behaviour=None, first_port=TARGET_PORT, control=CONTROL_PORT, seed=1):
        """Starts stand-in targets in one process; returns their ports."""
        self.start("upstream", f"--targets={targets}", f"--first_port={first_port}",
                   f"--control_port={control}", f"--seed={seed}",
                   f"--behaviour={json.dumps(behaviour or {})}")
        wait_until(lambda: get(control, "/control/counters?commits=0")[0] == 200, START_SECONDS,
                   "the stand-in upstreams to start")
        return list(range(first_port, first_port + targets))

    def platform(self, services, customers=16):
        """Starts the stand-in platform and applies lists whose limits no customer of the load
        generator reaches."""
        self.start("platform", f"--port={PLATFORM_PORT}", f"--control_port={PLATFORM_CONTROL_PORT}")
        wait_until(lambda: get(PLATFORM_CONTROL_PORT, "/control")[0] == 200, START_SECONDS,
                   "the stand-in platform to start")
        allowance = {"calls_per_second": 1_000_000, "burst_calls": 1_000_000, "concurrency": 100_000}
        lists = {
            "customers": {f"customer-{number}": "open" for number in range(customers)},
            "plans": {"open": {service["name"]: allowance for service in services}},
        }
        code, text = self.apply(lists, services)
        if code != 0:
            raise RuntimeError(f"apply failed with exit code {code}: {text}")

    def settings(self, name, services, index=0, **more):
        """Writes a settings file; returns its path."""
        settings = {
            "host": {"id": f"host-{index}", "data_centre": "loopback", "region": "loopback"},
            "listen": {"address": f"{IP}:{HOST_PORT + index}", "stop_lag_ms": 200},
            "admin": f"{IP}:{ADMIN_PORT + index}",
            "platform": {"object_api": [f"{IP}:{PLATFORM_PORT}"],
                         "host_list": [f"{IP}:{PLATFORM_PORT}"],
                         "calls_per_second": STORE_CALLS_PER_SECOND},
            "peer": {"address": f"{IP}:{PEER_PORT + index}", "public_key": self.public_key,
                     "secret_key": self.secret_key,
                     "seeds": [f"{IP}:{PEER_PORT + other}" for other in self.hosts
                               if other != index]},
            "services": services,
            "logging": {"json": False, "level": "warning"},
            **more,
        }
        file = self.path(f"{name}.json")
        file.write_text(json.dumps(settings, indent=2))
        return file

    def command(self, services, *arguments):
        """Runs a subcommand to its end; returns its exit code and output."""
        file = self.settings("operator", services)
        done = subprocess.run([BUILD / "savoryscale", arguments[0], f"--settings={file}",
                               *map(str, arguments[1:])], text=True, stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, timeout=60, check=False)
        return done.returncode, done.stdout

    def apply(self, lists, services):
        file = self.path("lists.json")
        file.write_text(json.dumps(lists, indent=2))
        return self.command(services, "apply", file)

    def host(self, index, services, **more):
        """Starts entry host `index` and waits until it is ready; returns its port."""
        file = self.settings(f"host-{index}", services, index, **more)
        self.hosts[index] = self.start("savoryscale", "serve", f"--settings={file}")
        self.list_hosts()
        wait_until(lambda: get(ADMIN_PORT + index, "/ready")[0] == 200, START_SECONDS,
                   f"entry host {index} to be ready")
        return HOST_PORT + index

    def path(self, name):
        """Returns the path of a file of this run, which is removed when the run ends."""
        return pathlib.Path(self.folder.name) / name

    def list_hosts(self, leaving=()):
        """Updates the stand-in host list with the running entry hosts."""
        hosts = [{"id": f"host-{index}", "kind": "entry", "data_centre": "loopback", "ip": IP,
                  "port": PEER_PORT + index, "incarnation": 1, "leaving": index in leaving}
                 for index, process in self.hosts.items() if process.poll() is None]
        get(PLATFORM_CONTROL_PORT, "/control", "POST", json.dumps({"hosts": hosts}))

    def stop_host(self, index):
        """Asks an entry host to stop and waits for it; returns its exit code."""
        process = self.hosts[index]
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=STOP_SECONDS)


def control(action, targets=None, body=None, port=CONTROL_PORT):
    """Changes the stand-in upstreams at run time."""
    query = "" if targets is None else "?targets=" + ",".join(map(str, targets))
    status, _, answer = get(port, f"/control/{action}{query}", "POST",
                            json.dumps(body) if body is not None else "")
    if status != 200:
        raise ValueError(f"/control/{action}: {answer.decode()}")


def counters(port=CONTROL_PORT):
    """Returns the counters of the stand-in upstreams, without commits."""
    return json.loads(get(port, "/control/counters?commits=0")[2])


def load(hosts, controls=(CONTROL_PORT,), **flags):
    """Runs the load generator to its end; returns its report, with the exit code as "exit"."""
    return load_result(load_start(hosts, controls, **flags))


def load_start(hosts, controls=(CONTROL_PORT,), **flags):
    command = [str(BUILD / "loadgen"), "--json",
               "--hosts=" + ",".join(f"{IP}:{port}" for port in hosts),
               "--controls=" + ",".join(f"{IP}:{port}" for port in controls)]
    command += [f"--{name}={value}" for name, value in flags.items()]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def load_result(process, timeout=600):
    try:
        output, _ = process.communicate(timeout=timeout)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    if process.returncode not in (0, 1):
        raise RuntimeError(f"load generator failed with exit code {process.returncode}")
    return {**json.loads(output), "exit": process.returncode}


def resident_kib(process):
    """Returns the resident memory of a process in KiB."""
    for line in open(f"/proc/{process.pid}/status", encoding="ascii"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


