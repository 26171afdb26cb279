from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverway.entry.bodies import parse_completion
from cloverway.errors import Kind, RequestError

JSON_TYPE = "application/json"
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=10,
)


@pytest.mark.parametrize(
    "body",
    [
        b'{"messages": [1]}',
        b'{"messages": [1], "model": "other"}',
        b'{"model": "clover-desk", "messages": [1], "model": "other"}',
        b'{"model": "other", "messages": [1], "model": "clover-desk"}',
    ],
)
def test_the_profile_determines_the_model(body: bytes) -> None:
    """A caller names no model, another model than its profile's, or repeats the field.

    The host selects an endpoint for the model of the profile. Forwarded verbatim, the body would
    run another model there, or, without a model, be refused by the engine.
    """
    completion = parse_completion(body, JSON_TYPE, "messages", "clover-desk")
    pairs = json.loads(completion.body, object_pairs_hook=list)
    assert [value for name, value in pairs if name == "model"] == ["clover-desk"]


def test_an_endpoint_gets_the_values_that_were_checked() -> None:
    body = b'{"messages": [1], "stream": true, "stream": false}'
    completion = parse_completion(body, JSON_TYPE, "messages", "m")
    assert not completion.stream
    assert completion.body.count(b'"stream"') == 1


def test_a_number_out_of_range_is_rejected() -> None:
    with pytest.raises(RequestError) as raised:
        parse_completion(b'{"messages": [1], "seed": 1e999}', JSON_TYPE, "messages", "m")
    assert raised.value.kind is Kind.MALFORMED


@given(st.dictionaries(st.text(), VALUES, max_size=4))
def test_other_fields_are_not_changed(fields: dict[str, Any]) -> None:
    document = {**fields, "messages": ["a question"], "stream": True}
    body = json.dumps(document).encode()
    completion = parse_completion(body, JSON_TYPE, "messages", "m")
    assert json.loads(completion.body) == {**document, "model": "m"}
    assert completion.stream
