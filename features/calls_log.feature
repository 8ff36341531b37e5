Feature: The log shows why a call failed

  Scenario: Each failed call is logged with the details that explain it
    Given a node beside an upstream, with its log captured
    When calls fail in every way
    Then each call has a log line with its id, kind of failure and details

  Scenario: Log lines are rate-limited and those left out are counted
    Given a node beside an upstream, with its log captured
    When a thousand calls fail within a second
    Then at most the burst limit of lines is written and the rest is counted

  Scenario: Every node logs the same sample of the calls that do not fail
    Given 10000 call ids
    When two nodes choose which calls to log
    Then they choose the same calls, about one in 256

  Scenario: The end of an instance is logged with the requests that were under way
    Given two nodes that don't know each other, beside instances that end under a request
    When that request and another one run at both
    Then each end has a line that names both requests
    And both lines name the same requests, whatever the ids of their attempts
