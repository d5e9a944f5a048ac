"""Runs an entry as on a machine with little memory, or with few descriptors.

Usage: python -m tests.standins.small_machine MODULE MEGABYTES DESCRIPTORS SETTINGS

The process is told the memory in place of that of this machine; nothing enforces it.
The system enforces the descriptors. A number of 0 leaves either as it is.
"""

import importlib
import os
import resource
import sys

MEGABYTE = 1_048_576


def shrink_memory(megabytes):
    """Have the system report this much physical memory."""
    report = os.sysconf

    def sysconf(name):
        if name == "SC_PHYS_PAGES":
            return megabytes * MEGABYTE // report("SC_PAGE_SIZE")
        return report(name)

    os.sysconf = sysconf


if __name__ == "__main__":
    module, megabytes, descriptors, settings = sys.argv[1:]
    if int(megabytes):
        shrink_memory(int(megabytes))
    if int(descriptors):
        bound = (int(descriptors), int(descriptors))
        resource.setrlimit(resource.RLIMIT_NOFILE, bound)
    sys.argv = [module, settings]
    sys.exit(importlib.import_module(module).main())
