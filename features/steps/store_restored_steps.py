import copy

from behave import then, when
from calls_rig import until
from platform_node_steps import _configuration, _heartbeat, _version
from replication_steps import _change_configuration, _is_settled

MEMBERS, NODE = "members", "n-1"


def _has_stored_record(context, instance_id=None):
    held = context.stand_in.object_by_name[MEMBERS].get(NODE)
    if held is None or held["spec"]["incarnation"] != context.node.incarnation:
        return False
    endpoint = held["spec"]["endpoint"]
    return (endpoint and endpoint["instance_id"]) == instance_id


@when(
    "the store comes back older {times:d} times"
    " and the configuration changes after each"
)
def change_after_returns(context, times):
    stand_in = context.stand_in
    stand_in.put("config", "main", _configuration(3))
    assert until(lambda: _version(context) == 3 and _has_stored_record(context))
    context.in_force = []
    for number in range(1, times + 1):
        before = stand_in.revision
        version = 10 * number
        stand_in.put("config", "main", _configuration(version))
        assert until(lambda: _version(context) == version)  # noqa: B023
        stand_in.restore(before - 1)
        stand_in.put("config", "main", _configuration(version + 1))
        context.in_force.append(
            until(lambda: _version(context) == version + 1)  # noqa: B023
        )


@then("the node has the newest version each time")
def check_in_force(context):
    assert all(context.in_force), context.in_force


@when("the store comes back from a copy made before the node's record was written")
def lose_record(context):
    stand_in = context.stand_in
    before = stand_in.revision
    stand_in.put("config", "main", _configuration(3))
    context.node.register.receive(_heartbeat(context, 5))
    assert until(lambda: _has_stored_record(context, "i-5"))
    stand_in.restore(before)


@then("the store holds the node's record again")
def check_record(context):
    assert until(lambda: _has_stored_record(context, "i-5"))


@when("the store comes back from an older copy and the configuration changes")
def restore_shared_store(context):
    older = copy.deepcopy(context.shared)
    for _ in range(3):
        _change_configuration(context)
        assert until(lambda: _is_settled(context))
    context.shared.restore(older)
    _change_configuration(context)
