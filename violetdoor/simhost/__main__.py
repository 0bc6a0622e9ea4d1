"""Run the simulator adapter on standard input and output."""

from violetdoor.simhost.host import main

if __name__ == "__main__":
    raise SystemExit(main())
