"""The model checker accepts complete searches that reach wanted states."""

import unittest

import minicheck

import specs
from tools import modelcheck


def counter(*, limit: int, safe_below: int) -> minicheck.Protocol:
    return minicheck.Protocol(
        name='counter',
        candidate=False,
        fields=('n',),
        initial=(0,),
        transitions=lambda s: [('add', (s[0] + 1,))] if s[0] < limit else [],
        invariants={'small': lambda state: state['n'] < safe_below},
    )


def bounded(**options) -> specs.BoundedModel:
    protocol = counter(limit=5, safe_below=options.pop('safe_below', 9))
    return specs.BoundedModel(bounds='n < 6', protocol=protocol, **options)


class ModelcheckTest(unittest.TestCase):
    def test_a_complete_search_counts_its_states(self):
        self.assertEqual((6, []), modelcheck.check_model(bounded()))

    def test_a_violation_comes_with_its_steps(self):
        _, faults = modelcheck.check_model(bounded(safe_below=2))
        self.assertEqual(
            ['small is violated:\n    1. add\n    2. add'], faults
        )

    def test_a_partial_search_is_no_proof(self):
        _, faults = modelcheck.check_model(bounded(max_states=3))
        self.assertIn('not exhaustive', faults[0])

    def test_a_model_that_misses_a_wanted_state_is_no_proof(self):
        model = bounded(reached={'ten': lambda state: state['n'] == 10})
        _, faults = modelcheck.check_model(model)
        self.assertEqual(['reaches ten: no state does'], faults)

    def test_the_search_of_a_mutant_ends_at_its_first_violation(self):
        found = modelcheck.find_counterexample([bounded(safe_below=3)])
        self.assertEqual('small', found[0])
        self.assertEqual(4, len(found[1]))
        self.assertIsNone(modelcheck.find_counterexample([bounded()]))

    def test_every_specification_follows_the_contract(self):
        modules = modelcheck.find_specifications(modelcheck.SPECS_FOLDER)
        self.assertIn('specs.register_spec', [m.__name__ for m in modules])
        for module in modules:
            self.assertTrue(module.build())
            for name in module.SAFEGUARDS_BY_NAME:
                self.assertTrue(module.build(without=name), name)
