"""Measures the processor time of a cell's owner, for docs/CAPACITY.md.

Run ``python -m tools.cost --help``. Prints one line of JSON: microseconds
for each call that the cell schedules, with nearly all slots in use and calls
in the queue, and the share of a core at a given rate of calls.
"""

import json
import time

import defopt

from dandeliongw.cell import cell_types
from dandeliongw.cell import cells
from dandeliongw.cell import scheduler
from dandeliongw.coordination import parts
from tools import workloads


class Driver:
    """Sends calls to a cell and ends them, so that its slots stay in use."""

    def __init__(self, *, prefill: int, decode: int) -> None:
        self._cell = cells.Cell(
            cell_id='cost/region/0',
            service='cost',
            epoch=1,
            document_part=workloads.KHANGAI.terms,
            policy=scheduler.Scheduler(),
        )
        counts = (
            (cell_types.Role.PREFILL, prefill),
            (cell_types.Role.DECODE, decode),
        )
        backends = tuple(
            cell_types.CellBackend(
                backend_id=f'{role.value}-{number}',
                incarnation=1,
                role=role,
                url='',
                slots=20,
            )
            for role, count in counts
            for number in range(count)
        )
        self._cell.handle(cells.BackendsChanged(now=0.0, backends=backends))
        self._running: list[str] = []
        self._sequence = 0

    def _receive(self, now: float, message) -> None:
        event = parts.Received(now=now, sender='entry', message=message)
        for effect in self._cell.handle(event):
            answer = getattr(effect, 'message', None)
            if isinstance(answer, cells.Booked):
                self._running.append(answer.request_id)
                self._prefilled(now, answer.request_id)

    def _prefilled(self, now: float, request_id: str) -> None:
        done = cells.PrefillDone(
            cell='cost/region/0',
            request_id=request_id,
            attempt_id='a1',
            tokens=2000,
            cached_tokens=0,
        )
        self._receive(now, done)

    def call(self, now: float) -> None:
        """Book one call; if calls are queued, end the oldest running one."""
        self._sequence += 1
        name = f'r{self._sequence}'
        book = cells.Book(
            cell='cost/region/0',
            request_id=name,
            attempt_id='a1',
            account=f'account-{self._sequence % 1200}',
            priority=('urgent', 'patient')[self._sequence % 2],
            prompt_tokens=2000,
            max_tokens=200,
            prefix=tuple(f'{name}/{n}' for n in range(31)),
            deadline_s=60.0,
        )
        self._receive(now, book)
        if self._cell.view.queue and self._running:
            release = cells.Release(
                cell='cost/region/0',
                request_id=self._running.pop(0),
                attempt_id='a1',
                outcome=cells.Outcome.DONE,
            )
            self._receive(now, release)


def main(
    *,
    prefill: int = 20,
    decode: int = 30,
    calls: int = 3000,
    rate: float = 110.0,
) -> None:
    """Measure the processor time of one owner.

    :param prefill: prefill engines of the cell.
    :param decode: decode engines of the cell.
    :param calls: how many to send.
    :param rate: calls a second, on the cell's own clock.
    """
    driver = Driver(prefill=prefill, decode=decode)
    for number in range(calls):
        driver.call(number / rate)
    began = time.process_time()
    for number in range(calls, 2 * calls):
        driver.call(number / rate)
    call_s = (time.process_time() - began) / calls
    figures = {
        'backends': prefill + decode,
        'us_a_call': round(call_s * 1e6),
        'core_share': round(call_s * rate, 4),
    }
    print(json.dumps(figures))


if __name__ == '__main__':
    defopt.run(main)
