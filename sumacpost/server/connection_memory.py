"""The memory that one client connection makes the ingress hold."""

from __future__ import annotations

from collections.abc import Collection
from itertools import islice

from sumacpost.memory_budget import MemoryBudget, MemoryHolder
from sumacpost.policy.memory_limits import ReleaseAction, release_action
from sumacpost.server.client_input import ClientInput
from sumacpost.server.client_output import ClientOutput
from sumacpost.server.response import PendingResponse


class ConnectionMemory:
    """Reports to the budget what a connection holds: its input, and responses that wait.

    The arguments are the parts of the connection. Requests that are accepted are not counted here.
    """

    __slots__ = ("_budget", "_holder", "_input", "_output", "_reader", "_reported", "_responses")

    def __init__(
        self,
        budget: MemoryBudget,
        holder: MemoryHolder,
        client_input: ClientInput,
        output: ClientOutput,
        responses: Collection[PendingResponse],
    ) -> None:
        self._budget = budget
        self._holder = holder
        self._input = client_input
        self._reader = client_input.reader
        self._output = output
        self._responses = responses
        self._reported = 0

    @property
    def input_bytes(self) -> int:
        """The memory of input that is incomplete, or waits to be parsed."""
        partial_bytes = self._reader.held_bytes if self._reader.has_partial_message else 0
        return partial_bytes + self._input.held_bytes

    @property
    def waiting_bytes(self) -> int:
        """The memory of responses that wait for another one."""
        waiting = islice(self._responses, 1, None)
        return sum(response.held_bytes for response in waiting)

    @property
    def release_action(self) -> ReleaseAction:
        """How memory has to be given up."""
        return release_action(self.input_bytes, self.waiting_bytes, self._output.unread_bytes)

    def update(self) -> None:
        """Report what the connection holds, if that has changed."""
        may_hold = (
            self._reader.has_partial_message
            or self._input
            or self._output.paused
            or len(self._responses) > 1
        )
        held = 0
        if may_hold:
            held = self.input_bytes + self.waiting_bytes + self._output.unread_bytes
        if held != self._reported:
            self._reported = held
            self._budget.set_held(self._holder, held)

    def enforce_limit(self) -> None:
        """Keep the limit of the budget, at the cost of this or other connections."""
        self._budget.enforce()
