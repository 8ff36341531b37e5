Feature: An operator sees where a request would go, and why, without sending it

  Scenario: The first endpoint of an explanation is the one that the next call goes to
    Given four nodes of one service, one of them near and fast, in the native dialect
    When a request is explained and then sent
    Then it went to the first endpoint that was listed, and the others cost more

  Scenario Outline: A request is rejected as its explanation says
    Given four nodes of one service, one of them near and fast, in the <dialect> dialect
    And customers with API keys and a public route
    When requests that are rejected for different reasons are explained and then sent
    Then each answer has the status, and where it is shown the kind, that was explained

    Examples:
      | dialect  |
      | native   |
      | platform |

  Scenario: An explanation changes nothing
    Given four nodes of one service, one of them near and fast, in the native dialect
    And a route that is split between two services
    When many requests are explained
    Then no request was sent and no state of the node has changed
    And the next calls are split as if nothing had been explained

  Scenario: Each endpoint that gets no call is listed with the reason
    Given four nodes of one service, one of them near and fast, in the native dialect
    When endpoints are ejected, leave, refuse, shed or drain
    Then each is excluded for its reason, with the time that is left
    When most endpoints are ejected
    Then the explanation says that ejections are ignored and lists all

  Scenario: A request under which instances end is explained as held back or isolated
    Given four nodes of one service, one of them near and fast, in the native dialect
    When an instance has ended under a request
    Then its explanation names the endpoint at which it runs in isolation
    When the request is held back
    Then its explanation is a rejection as request-held

  Scenario: Quotas and concurrency limits are asked where a node has them
    Given four nodes of one service, one of them near and fast, in the native dialect
    When a quota is exhausted and the near endpoint has a concurrency limit
    Then the explanation is a rejection as quota-exceeded and shows the limit

  Scenario: The command explains in the operator's language
    Given an object store and a node as processes
    When the folder "examples/clubs" is loaded by "Lan" in "vi"
    Then the command exits with code 0 and prints "phiên bản 1"
    And status 1 --wait in "en" succeeds and prints "lichbay"
    And these commands exit with the code and print the text
      | command                                                                 | code | prints                |
      | explain GET hanoi.canhdieu.example/san/me-tri/lich                      | 0    | Service lichbay       |
      | explain GET http://hanoi.canhdieu.example/san/me-tri/lich --language=vi | 0    | Dịch vụ lichbay       |
      | explain GET hanoi.canhdieu.example/san/me-tri/lich --language=fr        | 0    | Refusée avec 503      |
      | explain GET hanoi.canhdieu.example/no                                   | 0    | Rejected with 404     |
      | explain GET hanoi.canhdieu.example/no --headers=odd                     | 2    | headers               |
      | explain GET hanoi.canhdieu.example/sân                                  | 2    |                       |
      | explain GET / --language=fr                                             | 2    | url                   |
      | explain GET nobody.example/ --json                                      | 0    | unknown-customer      |
