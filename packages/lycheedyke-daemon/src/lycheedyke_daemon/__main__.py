"""Runs the daemon as `python -m lycheedyke_daemon` or `lycheedyked`."""

import signal

# Ignores SIGHUP, which would end the process, until its handler is installed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from lycheedyke_daemon.main import main

if __name__ == '__main__':
    main()
