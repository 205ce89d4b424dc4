"""Runs the tool as `python -m lycheedyke_ctl`."""

from lycheedyke_ctl.main import main

if __name__ == '__main__':
    main()
