Feature: Instances advertise a rate limit, or that they leave, in their answers

  Scenario: An instance gets no more calls than the rate that it names
    Given an instance that names a limit of 10 calls a second in its answers
    When 50 calls a second come for 8 s
    Then no 4 s have more than 65 calls, and nine tenths of the limit is used
    And each other call is refused as not run, with a time to come back

  Scenario: A restarted node learns an instance's limit before it sends many calls
    Given an instance that names a limit of 1 call a second in its answers
    When its node starts anew and 20 calls come before the first answer
    Then no more than 2 calls reach the instance before its first answer
    And no more than 11 reach it in the 4 s from then on

  Scenario: An instance that says in an answer that it leaves gets no more calls
    Given an instance whose answers say that it leaves
    When calls come through its own node and through another one
    Then only one call reaches the instance

  Scenario: A call that waited while its instance left is not sent to it
    Given an instance of one slot with a call that runs and a call that waits
    When the instance leaves and the call that runs ends
    Then the call that waited is refused as not run and did not reach the instance

  Scenario: A node that has passed on the news of a leaving instance needs no owner for it
    Given an instance whose answers say that it leaves
    When the node beside it forgets that and calls come through another one
    Then the other node sends no call to the instance
