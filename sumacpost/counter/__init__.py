"""The client of the shared counter.

Modules, each of which uses the ones before it:

- `resp`: the codec, a pure state machine.
- `connection`: one connection, its timeouts, and the calls awaiting a reply on it.
- `client`: maintains a connection and reports exactly one reply for each call.
"""
