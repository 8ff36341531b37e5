Feature: The event loop waits, and says so when it does not

  # A greenlet whose every wait returns at once uses the whole processor, is never late
  # and holds nobody up, so that no check of lateness shows it.

  Scenario Outline: A loop that turns without waiting pauses and names who ran: <cause>
    Given a paced loop with <cause>
    When it runs for 1.5 s beside a greenlet that wakes every 10 ms
    Then the loop has paused, and the other greenlet was woken all the while
    And one line says for how long it has not waited, and names <place>
    And the processor was at least a fifth of the time idle

    Examples:
      | cause                                            | place       |
      | a greenlet that pauses for 0 s again and again   | _turn       |
      | a timer that is due again at once                | _due_again  |
      | a read of a socket that was never connected      | _read_fresh |
      # The loop, and with it the process, ended in the search for the place.
      | a timer that is cancelled in the turn it is made | _cancel     |

  Scenario: A loop with much to do does not count as one that does not wait
    Given a paced loop with work of 2 ms after each wait of 1 ms
    When it runs for 0.5 s beside a greenlet that wakes every 10 ms
    Then the loop has not paused

  Scenario: A function that does not return to the loop is named while it runs
    Given a watch over a loop that does not turn
    When it is checked each second for 9 s
    Then a line comes after 2, 4 and 8 s, and names the function
    And a machine that was paused between two checks leaves no line

  Scenario: A node process writes the line of a function that holds it
    Given a process with a watched loop in which a function runs for 3.5 s
    Then its output has a line that names the function
