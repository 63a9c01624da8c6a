"""Strict parsing of request headers, against request smuggling."""

import cheroot.server

from .. import message_grammar


class StrictHeaderReader(cheroot.server.HeaderReader):
    """Refuses ambiguous headers, which cheroot's own parser would accept.

    If two programs read the length of a request differently, a caller can
    hide another call in its body, and backend servers run calls of which
    there is no record.
    """

    def __call__(self, rfile, hdict=None):
        """Read the headers up to the empty line.

        :raises ValueError: for invalid or ambiguous headers.
        """
        fields = message_grammar.read_fields(rfile.readline, hdict)
        message_grammar.check_framing(fields)
        return fields
