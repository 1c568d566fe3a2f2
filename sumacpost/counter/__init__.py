"""The client of the shared counter.

Modules, each built on the one before it:

- `resp`: the codec, a pure state machine.
- `connection`: one connection, its time-outs, and the calls that the counter owes a reply to.
- `client`: keeps a connection and hands on exactly one reply for each call.
"""
