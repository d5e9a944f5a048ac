Feature: a refused caller is told when a stage's queue expects to serve it

  Guards against callers that are told the present wait of a queue, return into the same
  burst and are refused for good, although capacity is spare a few seconds later.

  # A burst in which each refused caller returns once, with work of a second kind beside.
  Scenario Outline: fewer callers with a far deadline are lost in a burst, and none is later
    Given a stage of <servers> servers with a burst of <seconds> s that asks for <load> times what they do
    When refused callers are told the expected wait, and when to return
    Then planned returns lose at most <share> of the callers with 20 s that expected waits lose
    And in time are served at most 0.02 fewer of each kind where returns are planned

    Examples:
      | servers | seconds | load | share |
      | 3       | 5       | 2.5  | 0.5   |
      | 8       | 5       | 1.6  | 0.5   |

  Scenario: with spare capacity late orders are kept for, nearly every such caller is served
    Given a stage of 8 servers with a burst of 5 s that asks for 2.5 times what they do
    When returns are planned, and last attempts are kept until their deadline
    Then at most 0.03 of the callers with 20 s are never served

  Scenario Outline: when a caller should return
    Given a queue that has been asked for <demand> pieces a second for <seconds> s
    And refused callers with <due> pieces that are due to return
    When a caller with <left> s left and an expected wait of <wait> s is refused by servers that do 100 a second
    Then it is told to return after "<told>"

    Examples: the demand leaves capacity, it leaves none, and it is not known yet
      | demand | seconds | due | left | wait | told          |
      | 50     | 3       | 0   | 20   | 0.5  | 0.5           |
      | 50     | 3       | 100 | 20   | 0.5  | 2.5           |
      | 50     | 3       | 500 | 20   | 0.5  | 6.4           |
      | 120    | 3       | 0   | 20   | 0.5  | 6.4           |
      | 120    | 3       | 0   | 6    | 0.5  | 1.92          |
      | 120    | 0.5     | 0   | 20   | 0.5  | the own wait  |
      | 120    | 3       | 0   | 20   | inf  | the own wait  |

  Scenario: a caller that won't retry is not expected to return
    Given a queue that has been asked for 50 pieces a second for 3 s
    When a caller that was refused before is refused with 100 pieces
    And a caller with 20 s left and an expected wait of 0.5 s is refused by servers that do 100 a second
    Then it is told to return after "0.5"

  Scenario: second attempts and borrowed orders are no further demand
    Given a queue of one server with a long wait that plans returns
    When it refuses a first attempt, its second one and a borrowed one, of 10 pieces each
    Then the queue has counted 10 pieces of demand
    And the borrowed one is told the expected wait

  Scenario: the time passes from the owner to the caller beyond the bound of unplanned waits
    Given an owner that refuses a booking until 6.4 s from now
    When the entry reads its answer and refuses the request
    Then the request's Retry-After is 6.4 s
    And an answer without a plan gives one of 5 s at most

  Scenario Outline: which of the waits of two regions a caller is told
    Then of a refusal <own> and one of the other region <other>, the caller is told "<told>"

    Examples: a region that lends plans no returns, since the caller comes back to its own
      | own            | other          | told |
      | planned 4000   | expected 300   | 4000 |
      | expected 500   | expected 300   | 300  |
      | expected 300   | expected 500   | 300  |

  Scenario Outline: returns are planned only where the settings call for it
    Then with <regions> regions, contracts "<contracts>" and planned_returns <setting>, returns are <planned>

    Examples:
      | regions | contracts     | setting | planned     |
      | 1       | base,stages   | absent  | not planned |
      | 2       | base,stages   | absent  | planned     |
      | 1       | base,pressure | absent  | planned     |
      | 2       | base,stages   | false   | not planned |
      | 1       | base,stages   | true    | planned     |
