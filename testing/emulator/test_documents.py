import json

import pytest

from daisygauge_emulator.fleet import (
    BRANNOCK,
    KUISEB,
    AddressPlan,
    Fleet,
    FleetOptions,
    documents,
)
from daisygauge_records import parse_record

PLAN = AddressPlan(block="127.20.1")


@pytest.fixture(params=[KUISEB, BRANNOCK], ids=lambda deployment: deployment.id)
def fleet(request, tmp_path):
    options = FleetOptions(directory=tmp_path)
    return Fleet(request.param, addresses=PLAN, options=options)


def test_the_records_of_both_deployments_are_valid(fleet):
    plans = fleet.deployment.services
    records = [documents.key_record()]
    records += [
        documents.service_record(plan, address=fleet.services[plan.id])
        for plan in plans
    ]
    records += [
        documents.upstream_record(
            id="h", plan=plan, host="127.20.1.100", failure_domain="erongo-1"
        )
        for plan in plans
    ]

    parsed = [parse_record(json.dumps(record)) for record in records]

    assert [record.kind for record in parsed].count("service") == len(plans)


def test_addresses_of_one_fleet_differ(fleet):
    hosts = [PLAN.upstream(index) for _, index in fleet.numbered_hosts()]
    hosts += [PLAN.balancer(index) for index in range(fleet.deployment.balancers)]
    hosts += [address.host for address in fleet.services.values()]
    hosts += [PLAN.platform.host, PLAN.fabric.host]

    assert len(hosts) == len(set(hosts))
