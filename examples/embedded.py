"""Use the library without a node: edit a template, show it and match a route."""

import random
from pathlib import Path

from comfreytray import Compiler, Content, Failure, ItemKind, Operations
from comfreytray.testing import FakeClock, MemoryStore

CLUBS = Path(__file__).resolve().parent / "clubs"


def main() -> None:
    """Edit a template and a customer in Vietnamese; show the template in French."""
    content = Content()
    operations = Operations(
        store=MemoryStore(),
        clock=FakeClock(),
        random=random.Random(1),
        content=content,
    )
    template = (CLUBS / "templates" / "dat-san.yaml").read_text("utf-8")
    customer = (CLUBS / "customers" / "cuu-long.yaml").read_text("utf-8")
    head = None
    for kind, name, text in (
        (ItemKind.TEMPLATE, "dat-san", template),
        (ItemKind.CUSTOMER, "cuu-long", customer),
    ):
        result = operations.edit(kind, name, text, operator="Lan", language="vi")
        if isinstance(result, Failure):
            raise SystemExit(result.detail)
        head = result.head
        print(f"version {head.version}: {result.summary}")

    shown = operations.show(ItemKind.TEMPLATE, "dat-san", language="fr")
    if isinstance(shown, Failure):
        raise SystemExit(shown.detail)
    print(shown.text)

    assert head is not None
    snapshot = Compiler().compile(head, content)
    if isinstance(snapshot, Failure):
        raise SystemExit(snapshot.detail)
    host = next(iter(snapshot.customer_by_host))
    print(snapshot.match(host=host, method="GET", path="/vung-troi"))


if __name__ == "__main__":
    main()
