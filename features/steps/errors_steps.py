from behave import then, when

from comfreytray.common.errors import ANSWER_BY_KIND, Kind, Ran, Retry


@when("the table of answers is read")
def read_table(context):
    context.answers = dict(ANSWER_BY_KIND)


@then("every kind has a status, an outcome and an exit code")
def check_answers(context):
    assert set(context.answers) == set(Kind)
    for kind, answer in context.answers.items():
        assert 400 <= answer.status <= 599, kind
        assert answer.ran in Ran, kind
        assert 0 < answer.exit_code < 128, kind
        assert (answer.retry is Retry.LATER) <= (answer.retry_after_s is not None), kind
