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
