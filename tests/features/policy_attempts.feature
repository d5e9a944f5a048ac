Feature: extra attempts stay within what is safe and what was earned

  Scenario Outline: only what is safe, in time and in the budget is tried again
    Given a failed attempt that <ran>, with <left> ms left of <needed> ms needed
    And <attempts> attempts so far of a call that <kind> be repeated
    And the budget of retries is <budget>
    Then the verdict is "<verdict>"

    Examples:
      | ran          | left | needed | attempts | kind    | budget | verdict      |
      | may have run | 100  | 50     | 1        | may     | there  | AGAIN        |
      | may have run | 100  | 50     | 1        | may not | there  | UNSAFE       |
      | did not run  | 100  | 50     | 1        | may not | there  | AGAIN        |
      | may have run | 40   | 50     | 1        | may     | there  | TOO_LATE     |
      | may have run | 100  | 50     | 3        | may     | there  | ENOUGH       |
      | may have run | 100  | 50     | 1        | may     | spent  | NO_BUDGET    |
      | was not sent | 100  | 50     | 1        | may not | spent  | AGAIN        |
      | may have run | 100  | 50     | 1        | may     | off    | SWITCHED_OFF |

  Scenario: extra attempts are a share of the first ones, whatever their order
    Then at any share 1000 first attempts earn that share and at most 12 more

  Scenario: hedges begin after nearly all calls of a kind have been answered
    Given a kind of call with times from 20 to 40 ms
    Then it is hedged after 44 ms
    Given a kind of call of which every third takes 500 ms, the others 20 ms
    Then it is hedged after 60 ms
    Given a kind of call that was measured 5 times
    Then it is not hedged

  Scenario: cost weighs against hedges
    Then the share of hedges falls from 0.05 to 0 as the weight of cost rises to 1

  Scenario: a limit falls where calls queue and rises where it is used
    Given a server that answers 8 calls at once in 20 ms
    When an entry keeps as many calls there as its limit allows, 400 times
    Then the limit settles between 6 and 20, whether the server reports its load or not
    When the server is half as fast, and an entry keeps the limit used 400 times
    Then the limit settles between 3 and 20, whether the server reports its load or not

  Scenario: the ejections of a server that stays away grow up to a bound
    Then ejections last from 0.2 to 0.4 s at first and at most 2.5 s after 40 failures
    And one cut answer ejects no server, two in a row do

  Scenario: the costs are kept by client account and stage
    When attempts of two accounts end in every way
    Then each account's page counts its own
