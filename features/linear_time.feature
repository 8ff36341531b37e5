Feature: Reading bytes from outside takes time in proportion to their number

  # A node has one thread: a parser that tries all ways to split a run of blanks stops
  # its calls, heartbeats and readiness checks for minutes.

  Scenario: No pattern can split a run of characters in several ways
    When the patterns of all modules are read
    Then none has two repeats that can take the same characters without a bound

  Scenario: A function that holds the event loop leaves a line and a number
    Given a monitor of stalls with a period of 0.25 s
    When checks come in time, 3 s late at work, and 3 s late without processor time
    Then the two late ones are logged and counted with the processor time used

  Scenario Outline: The longest <kind> is read or refused at once
    Given the longest <kind>, whole, broken off and wrong in its last byte
    When each of them is read
    Then none of them holds up the process

    Examples: What callers, upstreams and other writers send
      | kind |
      | header line of blanks |
      | header line of blanks behind a value |
      | header line of tokens |
      | head of blank lines   |
      | chunk size line       |
      | trailer               |
      | request line          |
      | status line           |
      | deep JSON with quotes |
      | deep JSON             |
      | JSON number           |
      | heartbeat             |
      | duration              |
