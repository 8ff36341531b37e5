"""Sizes, data centres and network delays of the benchmarked deployments."""

from attrs import frozen

DAY_S = 86_400.0


@frozen(kw_only=True)
class Deployment:
    """The data centres, services, limits and network delays of a deployment."""

    name: str
    data_centres_by_region: dict[str, tuple[str, ...]]
    endpoints_by_service: dict[str, int]
    customers: int
    data_centre_delay_s: float
    """One-way delay between data centres of one region."""
    region_delay_s: float
    """One-way delay between regions."""
    store_region: str
    slots: int = 12
    """Calls that an endpoint runs at once."""
    connections: int = 110
    local_delay_s: float = 0.0003
    """One-way delay within a data centre."""

    @property
    def nodes(self) -> int:
        """Number of nodes: one beside each endpoint."""
        return sum(self.endpoints_by_service.values())

    def zones(self) -> list[tuple[str, str]]:
        """Return the region and data centre of each node, spread evenly."""
        zones = [
            (region, data_centre)
            for region, names in self.data_centres_by_region.items()
            for data_centre in names
        ]
        return [zones[number % len(zones)] for number in range(self.nodes)]

    def services(self) -> list[str]:
        """Return the service of the endpoint beside each node."""
        return [
            service
            for service, count in self.endpoints_by_service.items()
            for _ in range(count)
        ]

    def delay_s(self, source: tuple[str, str], target: tuple[str, str]) -> float:
        """Return the one-way delay between two pairs of region and data centre."""
        if source[0] != target[0]:
            return self.region_delay_s
        if source[1] != target[1]:
            return self.data_centre_delay_s
        return self.local_delay_s


def _data_centres(*regions: str, count: int = 2) -> dict[str, tuple[str, ...]]:
    return {
        region: tuple(f"{region}-{number + 1}" for number in range(count))
        for region in regions
    }


CLUBS = Deployment(
    name="clubs",
    data_centres_by_region=_data_centres("mien-bac", "mien-trung", "mien-nam"),
    endpoints_by_service={"lichbay": 6, "antoan": 6},
    customers=200,
    data_centre_delay_s=0.0015,
    region_delay_s=0.030,
    store_region="mien-bac",
)
LE_BIHAN = Deployment(
    name="le-bihan",
    data_centres_by_region=_data_centres("armor", "finistere", "morbihan"),
    endpoints_by_service={"chantier": 7, "devis": 6},
    customers=120,
    data_centre_delay_s=0.001,
    region_delay_s=0.030,
    store_region="armor",
    slots=6,
    connections=130,
)
DESIGN_NODES = 760
DESIGN_SERVICES = 67
DESIGN_CALLS_PER_S = 53_000
DESIGN_CHANGES_PER_DAY = 1300
DESIGN_FAILURES_PER_DAY = 2
DESIGN_REPLACEMENTS_PER_DAY = 110


def design_deployment(nodes: int, customers: int = 600) -> Deployment:
    """Return a deployment with the design's services, scaled to `nodes` nodes."""
    services = min(DESIGN_SERVICES, nodes)
    per_service, remainder = divmod(nodes, services)
    endpoints_by_service = {
        f"service-{number + 1:02}": per_service + (number < remainder)
        for number in range(services)
    }
    return Deployment(
        name=f"design-{nodes}",
        data_centres_by_region=_data_centres("region-1", "region-2"),
        endpoints_by_service=endpoints_by_service,
        customers=customers,
        data_centre_delay_s=0.0015,
        region_delay_s=0.030,
        store_region="region-1",
    )
