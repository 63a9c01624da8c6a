"""Fingerprints: which sends count as the same call."""

import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec
from nose2.tools import params

from dandeliongw.entry import fingerprints
from tests import entry_fake

SECRET = b'a secret of all instances'


class FingerprintsTest(unittest.TestCase):
    def setUp(self):
        self.fingerprints = fingerprints.Fingerprints(secret=SECRET)
        self.call = entry_fake.call(address='10.0.0.9', host='a.example')

    def of(self, **changes):
        call = msgspec.structs.replace(self.call, **changes)
        return self.fingerprints.of(call)

    def test_callers_without_account_send_the_same_call(self):
        """Guards against a call that crashes three servers for each address.

        Clients share addresses and change them, and each resend may come
        from another address.
        """
        fingerprints_by_address = {
            address: self.of(address=address, key_sha256='')
            for address in ('10.0.0.9', '10.0.0.8', '10.1.0.8')
        }
        self.assertEqual(1, len(set(fingerprints_by_address.values())))

    def test_equal_content_of_several_clients_is_recognised(self):
        mine, theirs = (
            msgspec.structs.replace(self.call, key_sha256=digit * 64)
            for digit in '12'
        )
        of_content = self.fingerprints.of_content
        self.assertNotEqual(
            self.fingerprints.of(mine), self.fingerprints.of(theirs)
        )
        self.assertEqual(of_content(mine), of_content(theirs))
        other = msgspec.structs.replace(mine, digest=b'other')
        self.assertNotEqual(of_content(mine), of_content(other))

    def test_a_part_has_one_fingerprint_in_all_prompts(self):
        """Guards against a part that every caller brings anew."""
        found = [
            self.fingerprints.of_parts(
                msgspec.structs.replace(self.call, **changes)
            )
            for changes in (
                {'shared_parts': ('a', 'b'), 'key_sha256': '1' * 64},
                {'shared_parts': ('c', 'b', 'b'), 'digest': b'other'},
            )
        ]
        self.assertEqual([2, 2], [len(each) for each in found])
        self.assertEqual(found[0][1], found[1][1])
        self.assertNotEqual(found[0][0], found[1][0])

    def test_a_prompt_has_few_parts(self):
        """Guards against one call that leaves evidence on thousands."""
        many = tuple(str(number) for number in range(1000))
        call = msgspec.structs.replace(self.call, shared_parts=many)
        self.assertEqual(
            fingerprints.MAX_PARTS, len(self.fingerprints.of_parts(call))
        )

    @params(
        {'address': '10.0.0.8'},
        {'deadline_s': 3.0},
        {'idempotency_key': 'k2'},
        {'priority': 'urgent'},
        {'expected_tokens': 7},
    )
    def test_a_resend_is_the_same_call(self, changes):
        self.assertEqual(self.of(), self.of(**changes))

    @params(
        {'credentials_sha256': 'e' * 64},
        {'key_sha256': 'f' * 64},
        {'host': 'b.example'},
        {'service': 'other'},
        {'digest': b'other'},
    )
    def test_different_calls_have_different_fingerprints(self, changes):
        self.assertNotEqual(self.of(), self.of(**changes))

    def test_no_fingerprint_without_the_secret(self):
        for secret in (None, b'another'):
            other = fingerprints.Fingerprints(secret=secret)
            self.assertNotEqual(self.of(), other.of(self.call))

    @hypothesis.given(
        st.text(max_size=4),
        st.text(max_size=4),
        st.text(max_size=4),
        st.text(max_size=4),
    )
    def test_no_two_calls_share_one(self, caller, host, caller_2, host_2):
        same = (caller, host) == (caller_2, host_2)
        first = self.of(credentials_sha256=caller, host=host)
        second = self.of(credentials_sha256=caller_2, host=host_2)
        self.assertEqual(same, first == second)
