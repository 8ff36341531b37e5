Feature: The route of a request

  # An unsafe request ran twice, as `%2F` counted as the slash of a safe route's prefix
  # (review/2).
  Scenario Outline: A path is matched as it was sent, with equal encodings taken as equal
    Given a safe route for /slots/list/, an unsafe one for /slots/, and one for /khách/
    When a request comes for <path>
    Then its route is <prefix>

    Examples:
      | path                      | prefix       |
      | /slots/list/hanoi-1       | /slots/list/ |
      | /slots/list%2Fhanoi-1     | /slots/      |
      | /slots/list%2fhanoi-1     | /slots/      |
      | /slots%2Flist/hanoi-1     | none         |
      | /%73lots/l%69st/hanoi-1   | /slots/list/ |
      | /slots/list/%2Fa%3Fb      | /slots/list/ |
      | /kh%C3%A1ch/1             | /khách/      |
      | /kh%c3%a1ch/1             | /khách/      |
      | /slots/list%252Fhanoi-1   | /slots/      |
      | /slots/%2e%2e/list/x      | refused      |
      | /slots/a%2F..%2Fb         | refused      |
      | /slots/%00                | refused      |

  Scenario: A path of slashes only is compared no further than the longest prefix
    Given a safe route for /slots/list/, an unsafe one for /slots/, and one for /khách/
    When a request comes for a path of 8,000 slashes
    Then no more than 25 prefixes are looked up
