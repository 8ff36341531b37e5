from behave import given, then, when
from calls_rig import Fleet, answer


@given('nodes "a" and "b" of one service')
def make_two_nodes(context):
    context.fleet = Fleet()
    context.add_cleanup(context.fleet.__exit__)
    for node_id in ("a", "b"):
        context.fleet.add(
            node_id,
            script=lambda head, body, n=node_id: answer(
                200, n.encode() + head.split(b" ")[1]
            ),
        )


@when('calls go through "a" to each of them')
def call_each(context):
    context.answer_by_target = {}
    for hidden in ("a", "b"):
        context.fleet.hidden = {hidden}
        target = f"/not-{hidden}"
        context.answer_by_target[target] = context.fleet.call("a", target=target)


@then("each call gets its own complete answer")
def check_answers(context):
    got = {t: a.body for t, a in context.answer_by_target.items()}
    assert got == {"/not-a": b"b/not-a", "/not-b": b"a/not-b"}, got


@then("a service without endpoints is refused as not run")
def check_refusal(context):
    context.fleet.hidden = {"a", "b"}
    refused = context.fleet.call("a", target="/none")
    assert (refused.kind, refused.ran) == ("no-endpoint", "no"), refused.body
    for upstream in context.fleet.upstream_by_id.values():
        assert "/none" not in upstream.ran
