"""A complete and valid configuration as published by operators.

The documents come from a directory of TOML files or from the platform's service. Validation is a
pure function of the documents, so that all hosts accept and reject the same ones.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import Any

from cloverway.config.consistency import DocumentId, UniqueIndex, find_inconsistencies
from cloverway.config.findings import Findings, suggest
from cloverway.config.schema import NAME, SINGLETONS, TABLES, Tables
from cloverway.config.validation import validate

MAX_VALUE_BYTES = 1024 * 1024
"""Maximum size of a document as JSON; the platform stores no larger ones."""

ENCODER = json.JSONEncoder(sort_keys=True, separators=(",", ":"), allow_nan=False)


class Published(Tables):
    """A complete and valid configuration.

    A subclass of `Tables`, because a NamedTuple has no attributes for cached indexes.
    """

    @classmethod
    def from_documents(cls, documents: Mapping[str, Any], source: str = "") -> Published:
        """Validate nested tables; raise ConfigurationError with all findings."""
        findings = Findings(source)
        published = cls.check_documents(documents, findings)
        findings.raise_if_any()
        assert published is not None
        return published

    @classmethod
    def check_documents(cls, documents: Mapping[str, Any], findings: Findings) -> Published | None:
        """Validate nested tables and add all findings; return None if there is an error."""
        revision = documents.get("revision")
        if not is_revision(revision):
            findings.add("revision", "must be a whole number over 0; raise it with each change")
        values = dict(_list_values(documents, findings))
        for document_id, value in values.items():
            try:
                encode_value(value)
            except ValueError as error:
                findings.add(document_id.dotted, str(error))
        parsed = {
            document_id: parse_document(document_id, value, findings)
            for document_id, value in values.items()
        }
        if DocumentId("organisation") not in parsed:
            findings.add("organisation", "is missing; publish it")
        if findings.errors:
            return None
        assert isinstance(revision, int)
        published = cls(**_group_by_table(parsed), revision=revision)
        for inconsistency in find_inconsistencies(published, parsed, UniqueIndex()):
            findings.add(*inconsistency)
        return None if findings.errors else published

    def region_of(self, domain: str) -> str:
        """Return the region of a failure domain, or an empty name for an unknown one."""
        known = self.domains.get(domain)
        return known.region if known else ""

    def hosts_of(self, domain: str) -> tuple[str, ...]:
        """List the names of a failure domain's hosts, sorted."""
        return self._hosts_by_domain.get(domain, ())

    def endpoints_of(self, domain: str) -> tuple[str, ...]:
        """List the names of a failure domain's endpoints, sorted."""
        return self._endpoints_by_domain.get(domain, ())

    @cached_property
    def _hosts_by_domain(self) -> dict[str, tuple[str, ...]]:
        return _group_by_domain(self.hosts)

    @cached_property
    def _endpoints_by_domain(self) -> dict[str, tuple[str, ...]]:
        return _group_by_domain(self.endpoints)


def is_revision(value: Any) -> bool:
    """Return whether a value is a revision: an integer from 1 to 2**63 - 1."""
    return isinstance(value, int) and not isinstance(value, bool) and 1 <= value < 2**63


def parse_document(document_id: DocumentId, value: Any, findings: Findings) -> Any:
    """Return a document as its NamedTuple; add findings and return None if it is invalid."""
    if document_id.table in SINGLETONS:
        return validate(SINGLETONS[document_id.table], value, findings, document_id.dotted)
    if NAME.fullmatch(document_id.name) is None:
        findings.add(document_id.dotted, "has a name that can't be used; use a-z, 0-9, '-' and '.'")
        return None
    return validate(TABLES[document_id.table], value, findings, document_id.dotted)


def encode_value(value: Any) -> bytes:
    """Return a document's value as canonical JSON; raise ValueError with a remedy.

    Equal values have equal text, so that texts can be compared and hashed.
    """
    try:
        text = ENCODER.encode(value).encode()
    except (TypeError, ValueError, RecursionError):
        raise ValueError(
            "holds a value that JSON can't represent; use no dates, nan or inf"
        ) from None
    if len(text) > MAX_VALUE_BYTES:
        raise ValueError(f"is longer than {MAX_VALUE_BYTES} bytes; split it")
    return text


def warn_unknown_table(table: str, findings: Findings) -> None:
    """Add a warning for a table unknown to this release, such as one of a later release."""
    findings.warn(table, f"is not a known table; {suggest(table, [*TABLES, *SINGLETONS])}")


def _list_values(
    documents: Mapping[str, Any], findings: Findings
) -> Iterable[tuple[DocumentId, Any]]:
    for table, value in documents.items():
        if table in SINGLETONS:
            yield DocumentId(table), value
        elif table in TABLES and isinstance(value, Mapping):
            yield from ((DocumentId(table, str(name)), entry) for name, entry in value.items())
        elif table in TABLES:
            findings.add(table, f"is not a table; write [{table}.NAME]")
        elif table != "revision":
            warn_unknown_table(table, findings)


def _group_by_table(parsed: Mapping[DocumentId, Any]) -> dict[str, Any]:
    """Group documents by the fields of `Published`."""
    tables: dict[str, Any] = {table: {} for table in TABLES}
    for document_id, document in parsed.items():
        if document_id.name:
            tables[document_id.table][document_id.name] = document
        else:
            tables[document_id.table] = document
    return tables


def _group_by_domain(placed: Mapping[str, Any]) -> dict[str, tuple[str, ...]]:
    names: dict[str, list[str]] = defaultdict(list)
    for name in sorted(placed):
        names[placed[name].domain].append(name)
    return {domain: tuple(found) for domain, found in names.items()}
