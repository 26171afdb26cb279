"""Decode the documents of the platform's store by their keys."""

from __future__ import annotations

from collections.abc import Iterable

from cloverway.core.deployment import (
    ConfigurationPublished,
    Document,
    DocumentUnreadable,
    EndpointPublished,
    EndpointUnreadable,
    EvacuationPublished,
    Publication,
)
from cloverway.errors import DocumentError
from cloverway.platform.entries import decode_configuration, decode_entry

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
ENDPOINT_PREFIX = "servers/"
PREFIXES = ("op/", ENDPOINT_PREFIX)


def decode_documents(documents: Iterable[Document]) -> list[Publication]:
    """Decode documents; malformed ones become `...Unreadable`, unknown keys are skipped."""
    decoded = (_decode_document(document) for document in documents)
    return [publication for publication in decoded if publication is not None]


def _decode_document(document: Document) -> Publication | None:
    key, value = document.key, document.value
    if key == CONFIGURATION_KEY and value is not None:
        return _decode_configuration(key, value)
    if key.startswith(EVACUATION_PREFIX):
        # Only the key matters. If the value is malformed, evacuating the domain is the safe choice.
        return EvacuationPublished(key.removeprefix(EVACUATION_PREFIX), value is not None)
    if key.startswith(ENDPOINT_PREFIX):
        return _decode_endpoint(key.removeprefix(ENDPOINT_PREFIX), value)
    return None


def _decode_configuration(key: str, value: bytes) -> Publication:
    try:
        return ConfigurationPublished(decode_configuration(value))
    except DocumentError as error:
        return DocumentUnreadable(key, str(error))


def _decode_endpoint(name: str, value: bytes | None) -> Publication:
    if value is None:
        return EndpointPublished(name, None)
    try:
        return EndpointPublished(name, decode_entry(name, value))
    except DocumentError as error:
        return EndpointUnreadable(name, str(error))
