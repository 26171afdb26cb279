"""A host on the platform that reaches some other hosts through links of the test.

    python -m cloverway.tests.fleet.linked_host

FORWARDING_LINKS maps addresses at which hosts accept requests of other hosts to the links that lead
there, as JSON. A test that cuts such a link separates two processes which both go on.
"""

from __future__ import annotations

import json
import os
import runpy

from cloverway.core import members

VARIABLE = "FORWARDING_LINKS"


def main() -> None:
    links = json.loads(os.environ[VARIABLE])
    apply_state = members.Members.apply_state

    def apply_linked(self, member, *args):
        address = links.get(member.forwarding_address, member.forwarding_address)
        return apply_state(self, member._replace(forwarding_address=address), *args)

    members.Members.apply_state = apply_linked
    runpy.run_module("cloverway.platform", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
