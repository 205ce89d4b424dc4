"""Runs the daemon as `python -m lycheedyke_daemon`."""

from lycheedyke_daemon.main import main

if __name__ == '__main__':
    main()
