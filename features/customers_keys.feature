Feature: Customers are told apart by API keys

  Scenario Outline: The upstream gets the customer of the key, and never the key
    Given customers vela with key k-1 and brisa with key k-2, and a public route
    When a call to <path> carries <fields>
    Then it is answered with <status> and the upstream sees the customer <customer>

    Examples:
      | path      | fields                                      | status | customer |
      | /x        | Authorization: Token k-1                    | 200    | vela     |
      | /x        | authorization: token k-2                    | 200    | brisa    |
      | /x        | Authorization: Token k-1; X-Tenant: brisa   | 200    | vela     |
      | /x        | X-Tenant: vela                              | 401    | none     |
      | /x        | Authorization: Token k-3                    | 401    | none     |
      | /x        | Authorization: Basic k-1                    | 401    | none     |
      | /x        | Authorization: Token k-1; Authorization: Token k-2 | 401 | none |
      | /public/x | X-Tenant: vela                              | 200    | none     |
      | /public/x | Authorization: Token k-3                    | 200    | none     |
      | /public/x | Authorization: Token k-2                    | 200    | brisa    |

  Scenario: A configuration without customers leaves the fields of callers as they are
    Given a configuration without customers
    When a call to /x carries Authorization: Token k-1; X-Tenant: vela
    Then the upstream gets both fields as they were sent

  Scenario: A node whose configuration may be out of date gives no final refusal
    Given customers vela with key k-1 and brisa with key k-2, and a public route
    When the node's configuration is out of date
    And a call to /x carries Authorization: Token k-3
    Then it is answered with 503 and the upstream sees the customer none

  Scenario Outline: An odd entry costs only itself
    Given a configuration of the platform with a valid customer and one whose <field> is <value>
    When it is decoded
    Then the valid customer has its key and the other one has none

    Examples:
      | field      | value      |
      | api_keys   | null       |
      | api_keys   | 7          |
      | api_keys   | "k-2"      |
      | api_keys   | ["k-2 "]   |
      | api_keys   | [""]       |
      | api_keys   | [3]        |
      | rate_per_s | "many"     |
      | rate_per_s | -1         |
      | rate_per_s | NaN        |
      | burst      | true       |
      | priority   | -1         |
      | priority   | "high"     |
      | name       | "a\r\nX: y" |
      | name       | null       |

  Scenario: A version in which two customers share a key is refused, without the key
    Given a configuration of the platform in which two customers have the key secret-key
    When it is decoded
    Then it is refused with a reason that names both customers and not the key

  Scenario: A customer's priority ranks before that of the route
    Given routes of the priorities 0 and 2 and customers of the priorities 0 and 1
    When their calls are ranked
    Then all calls of the first customer rank before those of the second
    And each customer's calls rank by their routes
