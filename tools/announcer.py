"""Registers a backend server with the router: announce, renew, leave."""

from collections import abc
import json
import threading
import time
import typing

import urllib3

#: Interval until an answer to an announcement sets another one.
DEFAULT_RENEW_S = 1.0
TIMEOUT = urllib3.Timeout(connect=1.0, read=2.0)


class Announcer:
    """Keeps a backend server registered at every control URL.

    A renewal that gets no answer is repeated at the next interval; one that
    gets an error, such as 404, is followed by a new announcement.

    :param announcement: the body of an announcement without the identity.
    :param report: returns the fields of a renewal.
    """

    def __init__(
        self,
        *,
        control_urls: abc.Sequence[str],
        backend_id: str,
        announcement: dict[str, typing.Any],
        report: abc.Callable[[], dict[str, typing.Any]],
    ) -> None:
        self._control_urls = [url.rstrip('/') for url in control_urls]
        self._identity = {
            'backend_id': backend_id,
            'incarnation': time.time_ns(),
        }
        self._announcement = announcement
        self._report = report
        self._sequence = 0
        self._is_registered_by_url = dict.fromkeys(self._control_urls, False)
        self._renew_s = DEFAULT_RENEW_S
        self._stop = threading.Event()
        self._http = urllib3.PoolManager(timeout=TIMEOUT, retries=False)
        self._thread = threading.Thread(
            target=self._run, name='announcer', daemon=True
        )

    def start(self) -> None:
        """Announce and renew in a background thread."""
        self._thread.start()

    def leave(self) -> None:
        """Stop renewing and notify every control URL."""
        self._stop.set()
        self._thread.join()
        for url in self._control_urls:
            self._post(url, 'leave', {})

    def _run(self) -> None:
        while not self._stop.is_set():
            report = self._report()
            for url in self._control_urls:
                self._renew_or_announce(url, report)
            self._stop.wait(self._renew_s)

    def _renew_or_announce(
        self, url: str, report: dict[str, typing.Any]
    ) -> None:
        if self._is_registered_by_url[url]:
            status, _ = self._post(url, 'renew', report)
            # Zero means no answer: the instance may still have the
            # registration, so renew again at the next interval.
            if status in (0, 200):
                return
        status, answer = self._post(url, 'announce', self._announcement)
        self._is_registered_by_url[url] = status == 200
        if status == 200:
            self._renew_s = float(answer.get('renew_s', DEFAULT_RENEW_S))

    def _post(
        self, url: str, operation: str, body: dict[str, typing.Any]
    ) -> tuple[int, dict[str, typing.Any]]:
        self._sequence += 1
        fields = self._identity | {'sequence': self._sequence} | body
        try:
            response = self._http.request(
                'POST',
                f'{url}/v1/backends/{operation}',
                body=json.dumps(fields),
                headers={'Content-Type': 'application/json'},
            )
            return response.status, response.json()
        except (urllib3.exceptions.HTTPError, ValueError):
            return 0, {}
