Feature: The end of a node's process is told to the callers that still wait

  Scenario: A call that still runs when a node's process ends is answered as of unknown result
    Given the process of a node beside an instance that takes 20 s for a call
    When callers send a call and one whose answer has begun, and the process gets SIGTERM
    Then the first caller is told that its call may have run, and not to repeat it
    And the process ended by itself within its grace and named both calls in its log

  Scenario: A process that is told to stop as it starts ends within its grace
    Given the process of a node beside an instance that takes 20 s for a call
    When it is killed, starts again, gets SIGTERM as it listens, and a call begins
    Then the process ended by itself within its grace
