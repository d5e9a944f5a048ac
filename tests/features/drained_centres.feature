Feature: nothing is sent to a drained data centre until it is taken back
  The order is published under a key of its own. A few entries hear of it from the
  platform, the others from them, within five seconds whatever becomes of the platform's
  answers meanwhile; and it is looked at again right before the first byte of a call.

  Scenario Outline: an order is known everywhere in time though <trouble>
    Given <count> entries in 3 data centres, each change to be known within 3 s
    And requests come to all of them
    And they have run for 20 seconds
    When <trouble>
    And "hall" is ordered to be drained
    Then it is drained everywhere within 5 s
    When "hall" is taken back
    Then it is drained nowhere within 5 s

    Examples:
      | count | trouble                                              |
      | 6     | nothing happens                                      |
      | 74    | nothing happens                                      |
      | 195   | nothing happens                                      |
      | 74    | the watchers are killed                              |
      | 74    | the watchers are cut off from the other entries      |
      | 74    | the watchers are turned away by the store            |
      | 74    | the first of the watchers is killed                  |
      | 74    | one entry begins anew                                |
      | 6     | a change is published, and then for 1 s the store loses all questions |
      | 74    | a change is published, and then for 9 s the store loses all questions |

  Scenario Outline: an order and its end in an outage are known soon after it
    Given <count> entries in 3 data centres, each change to be known within 3 s
    And requests come to all of them
    And they have run for 20 seconds
    When "hall" is ordered to be drained
    Then it is drained everywhere within 5 s
    When the store is down for 6 seconds
    And the order moves from "hall" to "yard"
    Then just "yard" is drained everywhere within 5 s

    Examples:
      | count |
      | 6     |
      | 74    |

  Scenario: an order that the store has forgotten is read again
    Given 30 entries in 3 data centres, each change to be known within 3 s
    And they have run for 20 seconds
    When the watchers are killed
    And the history is dropped right after "hall" was drained
    Then it is drained everywhere within 5 s

  Scenario: entries that all start at once know of an order
    Given 74 entries in 3 data centres, each change to be known within 3 s
    And "hall" is ordered to be drained
    When the entries run for 4 seconds
    Then it is drained everywhere within 1 s

  Scenario: words of peers and own answers may come in any order
    Then whatever order tables of operators meet in, none drains what the store did not

  Scenario: an order is in force before the configuration that comes with it is decoded
    Given servers in "hall" and "yard"
    When "hall" is drained, and with it a configuration comes that takes long
    Then only servers in "yard" were to be used when the configuration was decoded

  Scenario Outline: orders that are odd
    Given servers in "hall" and "yard"
    When the keys "<keys>" are published
    Then servers in "<used>" are to be used
    And one line tells of drained "<drained>", without servers "<unknown>", malformed <malformed>

    Examples:
      | keys                                                        | used | drained   | unknown | malformed |
      | op/evacuate/hall                                            | yard | hall      |         | 0         |
      | op/evacuate/nowhere                                         | hall,yard | nowhere | nowhere | 0      |
      | op/evacuate/                                                | hall,yard |      |         | 1         |
      | op/evacuate/a/b                                             | hall,yard |      |         | 1         |
      | op/evacuate/hall,op/evacuate/yard                           |      | hall,yard |         | 0         |

  Scenario Outline: an entry that has just started uses no server before it knows of orders
    Given servers in "hall" and "yard", and an entry that knows no orders yet
    Then servers in "" are to be used
    When the first word of orders comes from <source>, and drains "<drained>"
    Then servers in "<used>" are to be used

    Examples:
      | source        | drained | used      |
      | the platform  | hall    | yard      |
      | the platform  |         | hall,yard |
      | another entry | hall    | yard      |
      | another entry |         | hall,yard |

  Scenario: other values that operators publish are no orders
    Given servers in "hall" and "yard"
    When the keys "op/other,op/config" are published
    Then servers in "hall,yard" are to be used
    And no line tells of drained data centres

  Scenario: a server that leaves a drained data centre does not come back with it
    Given servers in "hall" and "yard"
    When the keys "op/evacuate/hall" are published
    And the server in "hall" says that it is leaving
    And the keys "" are published
    Then servers in "yard" are to be used

  Scenario: orders wait for nothing where no server is left
    Given servers in "hall" and "yard", of which the owner of a queue has one order of 2000 pieces
    When the keys "op/evacuate/hall,op/evacuate/yard" are published
    Then the order is given up at once for want of a server
    And a further order is refused at once, also one in which work was invested

  Scenario: the capacity that is left is planned with in the same moment
    Given servers in "hall" and "yard", of which the owner of a queue has one order of 2000 pieces
    Then an order would wait for some time
    When the keys "op/evacuate/hall" are published
    Then an order would wait for twice that time

  Scenario Outline: what a word of <release> says of its age is <taken>
    Given an entry that follows drained data centres up to revision 7
    When another entry tells what it knows up to revision 9, <release>
    Then its age is <taken>

    Examples:
      | release            | taken     |
      | a release like it  | taken     |
      | an earlier release | not taken |
