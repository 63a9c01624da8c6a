"""A nose2 plugin that records test outcomes for the runner."""

import nose2.events


class Outcomes(nose2.events.Plugin):
    """Collects test ids by outcome; a failed subtest fails its test."""

    configSection = 'outcomes'
    alwaysOn = True

    #: Class attributes, because the runner has no reference to the plugin.
    failed: list[str] = []
    skipped: list[str] = []
    started: list[str] = []

    def startTest(self, event: nose2.events.StartTestEvent) -> None:
        self.started.append(event.test.id())

    def testOutcome(self, event: nose2.events.TestOutcomeEvent) -> None:
        if event.outcome == 'subtest':
            # Passed subtests are reported, too. The runner counts a test
            # with several failed subtests once.
            if event.exc_info is not None:
                self.failed.append(event.test.test_case.id())
        elif event.outcome == 'skipped':
            self.skipped.append(event.test.id())
        elif not event.expected or event.outcome == 'error':
            self.failed.append(event.test.id())
