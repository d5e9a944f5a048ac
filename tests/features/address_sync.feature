Feature: entries that start know all others after a few rounds
  While entries know different others, several take themselves for the owner of one
  queue. No process runs here: address books swap the parts of messages by calls.

  Scenario Outline: a crowd that starts at once agrees on who is there
    Given <count> entries that know three seeds each
    When all have run for 6 rounds
    Then every entry knows all others, and all name the same owner of each queue

    Examples:
      | count |
      | 6     |
      | 59    |
      | 195   |
      | 370   |

  Scenario Outline: a crowd agrees within two seconds, before there was a round
    Given <count> entries that know three seeds each
    When all have looked 8 times whom to ask, and no round was
    Then every entry knows all others, and all name the same owner of each queue

    Examples:
      | count |
      | 59    |
      | 195   |
      | 370   |

  Scenario: an entry that starts among others knows them after a round
    Given 195 entries that know three seeds each
    And all have run for 6 rounds
    When one entry starts again
    And all have run for 1 rounds
    Then every entry knows all others, and all name the same owner of each queue

  Scenario: books that agree ask for nothing
    Given 59 entries that know three seeds each
    And all have run for 6 rounds
    When all have run for 5 rounds
    Then nobody has asked for a book since
