"""Entry point of ``python -m honeyport``."""

from honeyport import cli

if __name__ == '__main__':
    cli.main()
