Feature: which pieces go out together

  Scenario Outline: a batch takes the most urgent orders that fit
    Given stage servers with a batch of <batch> and room for <room> results
    And the orders "<orders>" wait, each with its pieces and latest start
    Then the next batch at 100 is "<chosen>"

    Examples:
      | batch | room | orders                     | chosen        |
      | 4     | 99   | a 2 101, b 2 102, c 2 103  | a 2, b 2      |
      | 4     | 99   | c 2 103, a 2 101           | a 2, c 2      |
      | 4     | 99   | a 2 99, b 2 102            | b 2, a 2      |
      | 4     | 99   | a 9 101                    | a 4           |
      | 4     | 3    | a 2 101, b 2 102           | a 2           |
      | 4     | 99   | a 2 101.0 2, b 2 101.4 0   | b 2, a 2      |
      | 4     | 99   | a 2 101.0 2, b 2 101.6 0   | a 2, b 2      |
      | 4     | 99   | a 3 101, b 2 102, c 1 103  | a 3, c 1      |
      | 4     | 0    | a 2 101                    | nothing       |

  Scenario Outline: an order waits for a server beside its inputs while that is in time
    Given stage servers with a batch of 4 and room for 99 results
    And an order that reads in "here" and must start by 100.5
    And a server in "here" is free at <free_at>
    Then a server in "there" takes it at 100: <taken>

    Examples:
      | free_at | taken |
      | 100.2   | no    |
      | 100.8   | yes   |
      | never   | yes   |

  Scenario Outline: an order that can't be met is refused at once, the less urgent first
    Then an order of priority <priority> with <left> s left and a wait of <wait> s is <verdict>

    Examples:
      | priority | left | wait | verdict  |
      | 0        | 1.0  | 0.95 | taken    |
      | 1        | 1.0  | 0.95 | refused  |
      | 2        | 1.0  | 0.85 | refused  |
      | 9        | 1.0  | 0.7  | taken    |
      | 2        | 0.1  | 0.0  | taken    |
      | 1        | 0.1  | 0.2  | taken    |
      | 1        | -0.5 | 0.2  | taken    |
      | 1        | 0.1  | 0.3  | refused  |

  Scenario Outline: an order that is late and finds no place is given up
    Then an order that must start by 100 with <made> of 2 pieces made and <earlier> is <verdict> at <now>

    Examples:
      | made | earlier          | now   | verdict  |
      | 0    | nothing earlier  | 100.4 | kept     |
      | 0    | nothing earlier  | 100.6 | given up |
      | 1    | nothing earlier  | 100.6 | kept     |
      | 0    | earlier results  | 100.6 | kept     |
      | 0    | earlier results  | 101.6 | given up |

  Scenario: an order whose earlier stages are done is never refused
    Then an order with earlier results, 0.1 s left and a wait of 9 s is taken

  Scenario: pieces that found no room wait until there may be some
    Given stage servers with a batch of 4 and room for 4 results
    And a queue with the order "a" of 2 pieces and one server
    When the server answers that there is no room for them
    Then the pieces wait, and the server gets none of them at once
    And it gets them once what takes its room has had time to go

  Scenario: the wait is that of the calls ahead
    Then with a free server an order waits 0 s
    And behind 8 pieces at 2 busy servers with a batch of 4 it waits three calls of two
    And without a server it waits for ever

  Scenario: chains are refused before they begin where their last queue is booked out
    Given stage servers with a batch of 4 and room for 99 results
    And a queue of one server in which chains book 4 pieces each for 1.0 s from now
    Then the first 3 chains are booked and the next is refused with a wait of 0.96 s
    And a chain of priority 2 that must start by then is refused as well
    And one that has 2 s more is booked

  Scenario: what is booked counts for orders that need no booking
    Given stage servers with a batch of 4 and room for 99 results
    And a queue of one server in which chains book 4 pieces each for 1.0 s from now
    When 3 chains are booked
    Then an order that must start by 0.5 s later is taken
    And one of priority 1 that must start by 0.9 s later is refused

  Scenario: an order takes its booking's place, and one that never comes frees it
    Given stage servers with a batch of 4 and room for 99 results
    And a queue of one server in which chains book 4 pieces each for 1.0 s from now
    When 3 chains are booked
    And the order of the first chain comes
    Then no other chain is booked
    When the second chain is given up
    Then one other chain is booked
    When the time of the bookings is over
    Then three other chains are booked, ahead of the order that is late by now

  # Guards against chains that are accepted, run their first stage and are given up at the
  # second: it can only be in a later call, and the calls of a limited server are further
  # apart than one takes.
  Scenario Outline: a limited server's queue accepts chains whose last stage is in time
    Given a queue whose only server takes <calls> calls a second
    When <chains> chains of two stages a second come to it for 6.5 s
    Then at least <accepted> are accepted, and their last stages begin in time

    Examples:
      | calls | chains | accepted |
      | 1.5   | 6.67   | 30       |
      | 1.5   | 10     | 30       |
      | 1.0   | 5      | 18       |
      | 1.0   | 4.2    | 18       |

  # Guards against an idle region that refuses a late chain of another one, because the
  # chain's own booking counts as ahead of its first order.
  Scenario: the booking of a borrowed chain is not ahead of its first order
    Given stage servers with a batch of 4 and room for 99 results
    And a queue of one idle server
    When a borrowed chain books its second stage
    Then its first order is accepted, even if it is 0.5 s late
    And the first order of another one is not, if it is 0.5 s late
