"""The site of a soak: entries as processes, whose links and lives are struck."""

import contextlib
import signal
import time
from http.client import HTTPException

from tests.soak.crowds import Crowds, MemoryPeaks, SilentCallers, surge_callers
from tests.soak.links import SoakLinks
from tests.soak.log_copies import LogCopy
from tests.soak.plan import LONGEST_SECONDS, PEER_PAIRS, StrikeKind
from tests.soak.relay import LinkFault
from tests.standins.route_site import ZONES

RETURN_SECONDS = 0.3


class SoakSite(SoakLinks):
    """A site whose links and processes can be struck."""

    def __init__(self, entries, servers, newer=False, cuts=False, logs=False):
        """Make everything; see ``SoakLinks``.

        :param logs: whether the readers of the entries' logs can be struck.
        """
        super().__init__(entries, servers, newer, cuts)
        self.log_copies = {}
        if logs:
            self.log_copies = {
                name: LogCopy(process, self.folder / f"{name}-log")
                for name, process in self.entries.items()
            }
        self.lives = dict.fromkeys(self.entries, 0)
        self.paused = {}
        # Pauses longer than the slack of callers allows for: entry, beginning and end.
        self.long_pauses = []
        # Servers that left, each with when it was said.
        self.drained = []
        # Entries that ended by themselves, with their exit codes.
        self.own_ends = []
        self.stopping = set()
        # Lives of entries that were suspended or cut off.
        self.excused = set()
        self.crowds = Crowds()
        self.peaks = MemoryPeaks(self)
        # Servers that named a limit: the limit, when it was named, and until when.
        self.limited = []

    def told_entries(self):
        """Return the entries that one of the entries tells callers to use."""
        by_address = {f["listen"]["front"]: n for n, f in self.fields.items()}
        for name in self.entries:
            # A directory that is killed while it answers leaves half of it.
            with contextlib.suppress(OSError, ValueError, KeyError, HTTPException):
                return [by_address[a] for a in self.directory(name) if a in by_address]
        return []

    def strike(self, strike):
        """Begin one fault; return what ends it, None where it ends by itself."""
        names = sorted(self.entries)
        name = names[strike.target % len(names)]
        kind = strike.kind
        if kind is StrikeKind.CALLER_LINK:
            return self._strike_relay(self.caller_relays[name], strike)
        if kind is StrikeKind.STORE_LINK:
            return self._strike_relay(self.store_relays[name], strike)
        if kind is StrikeKind.SERVER_LINK:
            server = self._server(strike)
            return self._strike_relay(self.server_relays[server.identity], strike)
        if kind is StrikeKind.PEER_LINK:
            return self._divide(names, name, strike)
        if kind is StrikeKind.PAUSE:
            return self._pause(name)
        if kind is StrikeKind.ENTRY_OUT_OF_STEP:
            return self._put_out_of_step(name, strike.how)
        if kind is StrikeKind.LOG_READER:
            return self.log_copies[name].strike(strike.how)
        if kind is StrikeKind.ENTRIES_CUT_OFF:
            return self._cut_off(names, strike)
        if kind is StrikeKind.REGIONS_PARTED:
            return self.ways.part(strike.how)
        if kind is StrikeKind.CALLERS_STOP_READING:
            return self.crowds.begin(SilentCallers(self, name))
        if kind is StrikeKind.ACCOUNT_SURGE:
            return self.crowds.begin(surge_callers(self, strike.target))
        return self._strike_at_once(name, strike)

    def _cut_off(self, names, strike):
        """Cut one or several entries off from all servers, sometimes all but one."""
        first = strike.target % len(names)
        count = 1 + strike.target // len(names) % (len(names) - 1)
        cut = [names[(first + n) % len(names)] for n in range(count)]
        self.cut_off(cut, strike.how)
        return lambda: self.end_cuts(cut)

    def _put_out_of_step(self, name, how):
        """Have an entry miss what is published and what other entries say."""
        if how == "paused":
            return self._pause(name)
        self._excuse(name)
        return self.isolate(name, resets=how == "reset")

    def heal(self):
        """End all faults, wake and start all entries."""
        for copy in self.log_copies.values():
            copy.heal()
        self.end_cuts(self.entries)
        self.lost_to_store.clear()
        self.lost_to_entries.clear()
        for relay in [*self.caller_relays.values(), *self.store_relays.values()]:
            relay.heal()
        for relay in self.server_relays.values():
            relay.heal()
        self.ways.heal()
        self.network.heal()
        self.store.down = None
        self.drain()
        for name in list(self.paused):
            self._wake(name)
        for name in self.entries:
            self.wait_started(name)

    def close(self):
        """End everything."""
        for copy in self.log_copies.values():
            copy.close()
        super().close()

    def wait_started(self, name):
        """Start an entry again where it has ended."""
        with self.lock:
            process = self.entries[name]
            if process.popen.poll() is not None:
                self._start_again(name)

    def look_after(self):
        """Start what ended again, and note what ended by itself."""
        with self.lock:
            for name, process in self.entries.items():
                code = process.popen.poll()
                if code is None:
                    self.peaks.note(name, process.popen.pid)
                    continue
                if name not in self.stopping and code != -signal.SIGKILL:
                    self.own_ends.append((name, code))
                self._start_again(name)

    def _start_again(self, name):
        self.stopping.discard(name)
        self.lives[name] += 1
        self.entries[name].start()

    def _strike_at_once(self, name, strike):
        kind = strike.kind
        if kind is StrikeKind.KILL:
            self._signal(name, signal.SIGKILL)
        elif kind is StrikeKind.KILL_ALL:
            for entry in self.entries:
                self._signal(entry, signal.SIGKILL)
        elif kind is StrikeKind.TERM:
            self._signal(name, signal.SIGTERM)
        elif kind is StrikeKind.HANG_UP:
            self._signal(name, signal.SIGHUP)
        elif kind is StrikeKind.STORE_DOWN:
            self.store.down = strike.how
            return lambda: setattr(self.store, "down", None)
        elif kind is StrikeKind.STORE_FORGETS:
            self.publish_next()
            self.store.drop_history()
        elif kind is StrikeKind.PUBLISH:
            self.publish_next()
        elif kind is StrikeKind.REVOKE:
            self.publish_next(revoke=True)
        elif kind is StrikeKind.CENTRE_DRAINED:
            self.drain(ZONES[strike.target % len(ZONES)])
            return self.drain
        elif kind is StrikeKind.CENTRE_COLD:
            self._cool(ZONES[strike.target % len(ZONES)], strike.seconds)
        elif kind is StrikeKind.SERVER_LIMITED:
            return self._limit(strike)
        elif kind is StrikeKind.STORE_RETURNS:
            copy = self.store.copy()
            return lambda: self._return_store(copy, strike.how)
        elif kind is StrikeKind.SERVER_UPGRADED:
            engines = [s for s in self.of_kind("engine") if not s.gone]
            engine = engines[strike.target % len(engines)]
            self._replace_server(engine, drains=False, version=strike.how)
        else:
            drains = kind is StrikeKind.SERVER_DRAINS
            self._replace_server(self._server(strike), drains)
        return None

    def _limit(self, strike):
        """Have a server that serves callers' requests name a limit."""
        servers = [s for s in self.servers if not s.gone and s.kind != "stage"]
        server, began = servers[strike.target % len(servers)], time.monotonic()
        server.limit = strike.how

        def end():
            server.limit = None
            ended = time.monotonic()
            self.limited.append((server, float(strike.how), began, ended))

        return end

    def _return_store(self, copy, trouble):
        """Have the store come back from a copy, and what it lost written again."""
        store = self.store
        store.down = trouble
        time.sleep(RETURN_SECONDS)
        lost = {key: value for key, (value, *_) in store.items.items()}
        stands = {key: value for key, (value, *_) in copy.items.items()}
        store.return_from(copy)
        time.sleep(RETURN_SECONDS)
        for key in sorted(lost.keys() | stands.keys()):
            if lost.get(key) != stands.get(key):
                store.put(key, lost.get(key))

    def _cool(self, zone, seconds):
        """Have the servers of a zone say that they are cold."""
        for server in self.servers:
            if server.zone == zone and not server.gone:
                self.list(server, cold_ms=int(seconds * 1000))

    def _signal(self, name, number):
        with self.lock:
            # One that has ended or never ran has no handler to meet the signal.
            if self.entries[name].popen.poll() is not None:
                return
            if number == signal.SIGHUP and not self._handles_signals(name):
                return
            if number == signal.SIGTERM:
                self.stopping.add(name)
            self.signal(name, number)

    def _handles_signals(self, name):
        """Tell whether this life of an entry has begun to serve."""
        started = sum(e["name"] == "entry_started" for e in self.events(name))
        return started > self.lives[name]

    @staticmethod
    def _strike_relay(relay, strike):
        relay.strike(LinkFault[strike.how])
        return relay.heal

    def _excuse(self, *names):
        self.excused.update((name, self.lives[name]) for name in names)

    def _divide(self, names, name, strike):
        other = names[strike.target // len(names) % len(names)]
        self._excuse(name, other)
        if other == name:
            rest = [n for n in names if n != name]
            self.network.split([name], rest)
        elif strike.how == PEER_PAIRS[0]:
            self.network.split([name], [other])
        else:
            self.network.drop((name, other))
        return self.network.heal

    def _pause(self, name):
        with self.lock:
            if self.entries[name].popen.poll() is not None:
                return None
            self.paused[name] = time.monotonic()
            self._excuse(name)
            self.entries[name].freeze()
        return lambda: self._wake(name)

    def _wake(self, name):
        with self.lock:
            began, now = self.paused.pop(name, None), time.monotonic()
            if began is not None and now - began > LONGEST_SECONDS:
                self.long_pauses.append((name, began, now))
            if self.entries[name].popen.poll() is None:
                self.entries[name].wake()

    def _server(self, strike):
        present = [s for s in self.servers if not s.gone]
        return present[strike.target % len(present)]

    def _replace_server(self, server, drains, version=None):
        """Have a server drain or die, and another come, of its version or another."""
        server.gone = True
        kind, zone = server.kind, server.zone
        if drains:
            self.list(server, "draining")
            self.drained.append((server, time.monotonic()))
        else:
            self.store.put(f"servers/{server.identity}", None)
            server.close()
            self.server_relays[server.identity].strike(LinkFault.RESET)
        time.sleep(RETURN_SECONDS)
        self._add_server(kind, zone, version or server.version)
