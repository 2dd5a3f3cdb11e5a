"""Runs the program with ``python -m walnutport``."""

from walnutport.cli import main

if __name__ == '__main__':
    main.main()
