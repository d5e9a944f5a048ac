Feature: a ticket gives the right to run at most once

  Scenario: no interleaving of claims, questions, ends, restarts and clocks grants twice
    Then in any interleaving a ticket is granted at most once and never after "not run"

  Scenario: many threads that claim one ticket at once
    Given a book of 100 tickets and 1000 bytes
    When 12 threads claim one ticket at once, 300 times over
    Then each time one of them may run it

  Scenario Outline: a full book issues none and forgets none early
    Given a book of 8 tickets and 1000 bytes
    When tickets are issued to <accounts> accounts until one is refused
    Then <issued> were issued and the bound is "<limit>"
    And no ticket is forgotten before its margin has passed
    When the margin has passed
    Then a ticket can be issued again

    Examples:
      | accounts | issued | limit                         |
      | 8        | 8      | tickets                       |
      | 1        | 2      | tickets of the client account |

  Scenario: an answer that can't be kept is never run again for
    Given a book of 100 tickets and 1000 bytes
    When a ticket is run and its answer has 2000 bytes
    Then its state is "unknown" for "answer-not-kept"

  Scenario Outline: a run that outlasts its ticket is remembered for the margin
    Given a book of 100 tickets and 1000 bytes
    When a ticket's run takes <seconds> s
    Then it is in progress before the end and ended for the margin after it

    Examples:
      | seconds |
      | 40      |
      | 500     |

  Scenario: only its own account and incarnation can use a ticket
    Given a book of 100 tickets and 1000 bytes
    Then a ticket with any field changed is not granted
    And a ticket used by another account is not granted
    And a ticket used for another input is not answered by the first one's answer
