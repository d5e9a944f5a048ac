Feature: a caller that can still be answered before its deadline is answered, late

  # A burst in which each refused caller returns once, with work of a second kind beside.
  Scenario Outline: last attempts of a burst are served late from spare capacity after it
    Given a stage of <servers> servers with a burst of <seconds> s that asks for <load> times what they do
    When last attempts are refused as first ones are, and kept until their deadline
    Then at most <unserved> of the callers with 20 s are never served where they are kept
    And refused as first ones, more than <refused> of them are never served
    And in time are served at most 0.02 fewer of each kind where they are kept

    Examples:
      | servers | seconds | load | refused | unserved |
      | 3       | 5       | 2.5  | 0.1     | 0.03     |
      | 8       | 7       | 2.5  | 0.1     | 0.03     |

  Scenario Outline: which late orders are kept, and until when
    Then a late order that is <kind> and must start by 8 is kept until "<until>"

    Examples:
      | kind              | until |
      | a first attempt   | none  |
      | a last attempt    | 8     |
      | of unknown length | none  |

  Scenario: a last attempt is refused if it can't begin before its last useful start
    Given a stage queue with servers busy for 30 s of work
    Then a last attempt with 20 s left is refused at once
    And one with 40 s left is accepted

  Scenario Outline: a last attempt is kept if as many past seconds had capacity to spare
    Given a stage that had a burst for the last 4 s and was nearly idle before
    Then a last attempt with <left> s until its last start is "<verdict>"

    Examples:
      | left | verdict |
      | 3    | refused |
      | 14   | kept    |

  Scenario: a new owner knows of no capacity to spare
    Given a stage queue that has sent no batch yet
    Then a last attempt with 14 s until its last start is "refused"

  Scenario: the owners of all stages of a chain know that its caller has returned
    Given the owner of a later stage that has refused a caller before
    When the caller returns and its later stage is booked
    Then the entry learns how long ago the first attempt came
