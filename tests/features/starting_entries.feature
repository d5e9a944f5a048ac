Feature: an entry that starts does not answer for the time before its start
  An entry keeps nothing when it ends. What its predecessor under the same name granted,
  spent or saw is unknown to it, and is not taken for something that did not happen.

  # Guards against a permit or seat of the predecessor whose return frees one that the
  # running entry granted under the same number.
  Scenario Outline: a <right> that was granted before a restart frees none after it
    Given an entry that grants <right>s, and another that holds <count> of them
    When the granting entry starts anew and has granted all that it may
    And the other entry returns those that it holds
    Then the granting entry refuses the next <right>

    Examples:
      | right  | count |
      | permit | 2     |
      | seat   | 4     |

  # Guards against a removed server that stays in use everywhere because an entry that
  # started a moment ago takes a call that failed for an outage of the store.
  Scenario Outline: <who> of <count> entries that the store refuses at first keep no removed server
    Given <count> entries in 3 data centres, each change to be known within 2 s
    And requests come to all of them
    And "b" is published, and all have run for 20 seconds
    When <who> of the entries start anew, refused by the store for 0.3 s
    And "b" is removed
    Then no entry uses the old "b" later than 2 s after its removal

    Examples:
      | who         | count |
      | one         | 6     |
      | all but one | 6     |
      | all         | 6     |
      | all         | 74    |

  # Guards against entries that send the repeats of a window once more since they know
  # nothing of those before their start, or take the whole slack since they know nobody.
  Scenario Outline: <count> entries of which <who> start anew <times> within a window keep to the bound
    Given <count> entries that may repeat 0.2 of the requests and 52 more in 10 s
    When each of <rate> requests a second is to be repeated for 30 s, and <who> start anew <times>
    Then no window has more repeats than the bound allows
    And the entries sent <least> of the repeats that the bound allows

    Examples:
      | count | who         | times         | rate | least |
      | 6     | none        | once          | 20   | 0.6   |
      | 6     | one         | once          | 20   | 0.6   |
      | 6     | all but one | once          | 20   | 0.5   |
      | 6     | all         | once          | 20   | 0.5   |
      | 6     | all         | twice         | 20   | 0.5   |
      | 6     | all         | one by one    | 20   | 0.5   |
      | 6     | all         | once          | 100  | 0.5   |
      | 6     | all         | one by one    | 100  | 0.5   |
      | 195   | all         | once          | 100  | 0.25  |

  # Guards against a granter that has just started, or become the first, and sends a
  # brittle server calls beyond those that entries still have there by earlier seats.
  Scenario Outline: seats that another run granted count while <who> grants
    Given an entry that holds 3 of the 4 seats of a brittle server
    When <who> grants the seats, and 4 seconds pass
    Then the entry gets 1 more seats and no other
    When its first calls have ended
    Then the entry gets 3 more seats and no other

    Examples:
      | who                       |
      | the same entry, anew,     |
      | a third entry             |
      | the entry itself          |

  # Guards against servers that lapsed in an outage and are dropped by entries that knew
  # them, because an entry that started at its end lists them neither as lapsed nor at all.
  Scenario Outline: lapsed servers stay in use at the others though <who> of <count> entries start at the store's return
    When "b" lapses in an outage, at whose end <who> of <count> entries start, by 6 seeds
    Then all entries that ran before still hold "b" 1.5 s later
    And none holds it after 6 s

    Examples:
      | who         | count |
      | one         | 6     |
      | half        | 6     |
      | all but one | 6     |
      | half        | 74    |
      | all but one | 74    |
