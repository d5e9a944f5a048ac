Feature: requests that crash servers are quarantined, innocent ones go on
  The load: one request comes again and again at any entry, and each server that begins
  to run it ends; what ran beside it is cut, sent once more and may meet it again.

  Scenario: two crashes in a row quarantine a request, one does not
    Given an entry that knows of no crash
    When a server crashes under the request "a"
    Then the copy of the request "a" that was cut may be sent
    When a server crashes under the request "a"
    Then the copy of the request "a" that was cut may not be sent
    And the request "a" may not be sent
    And the request "b" may be sent

  Scenario: servers that are lost together count as one crash
    Given an entry that knows of no crash
    When 3 servers that run the request "a" at the same time crash
    Then the copy of the request "a" that was cut may be sent

  Scenario: an answer ends the row of crashes
    Given an entry that knows of no crash
    When a server crashes under the request "a"
    And a server answers the request "a"
    And a server crashes under the request "a"
    Then the copy of the request "a" that was cut may be sent

  Scenario: a crash that was heard of after an answer counts as the first
    Given an entry that knows of no crash
    When a server crashes under the request "a"
    And the request "a" is sent to two servers, one answers and then the other crashes
    Then 1 crash in a row is known of the request "a"

  Scenario: neither distinct requests nor many crashes push a quarantined one out
    Given an entry that knows of no crash
    When a server crashes under the request "a"
    And a server crashes under the request "a"
    And 6000 other requests are each cut by a crash
    Then the request "a" may not be sent
    And no more than 4096 requests are kept

  Scenario: a quarantine ends with a probe, and one that crashes makes it longer
    Given an entry that knows of no crash
    When a server crashes under the request "a"
    And a server crashes under the request "a"
    And 31 seconds of its quarantine pass
    Then the request "a" may be sent once
    When a server crashes under the request "a"
    And 590 seconds of its quarantine pass
    Then the request "a" may not be sent
    When 11 seconds of its quarantine pass
    Then the request "a" may be sent once

  Scenario: a quarantine goes on while the process is suspended
    Given an entry that knows of no crash
    When a server crashes under the request "a"
    And a server crashes under the request "a"
    And the process is suspended for 31 seconds
    Then the request "a" may be sent once

  Scenario: a probe that is answered frees the request
    Given an entry that knows of no crash
    When a server crashes under the request "a"
    And a server crashes under the request "a"
    And 31 seconds of its quarantine pass
    Then the request "a" may be sent once
    When a server answers the request "a"
    Then the request "a" may be sent

  Scenario Outline: entries probe one after the other
    Given <count> entries that serve
    When every entry knows that the request "a" is quarantined
    Then no two of them probe within 3 seconds

    Examples:
      | count |
      | 6     |
      | 195   |

  # Guards against a copy that is sent after its entry's turn, while another entry sends
  # one, because the process was suspended or the copy waited for a connection.
  Scenario Outline: a copy admitted in a turn is sent in that turn, not <late> later
    Given 6 entries that serve
    When every entry knows that the request "a" is <state>
    And one of them admits a copy in its turn
    Then the copy may be sent <early> later, and may not be sent <late> later

    Examples:
      | state       | early   | late    |
      | suspected   | 0.5 s   | 1.5 s   |
      | quarantined | 2.0 s   | 3.5 s   |

  # Guards against an entry that takes the turns of entries that it does not reach, which
  # use them themselves: two servers crash at once.
  Scenario Outline: entries that don't reach one another keep to their own turns
    Given 6 entries of which <apart> are cut off from the others
    When every entry knows that the request "a" is <state>
    Then no two of them probe within <turn> seconds

    Examples:
      | apart | state       | turn |
      | 1     | suspected   | 1    |
      | 1     | quarantined | 3    |
      | 3     | quarantined | 3    |

  Scenario Outline: entries that hold a copy each lose no server each
    Given <count> entries that exchange crash records, by seed <seed>
    When <copies> of them hold a copy of the request "a" that crashes servers
    Then it crashed 3 servers at the most

    Examples:
      | count | copies | seed |
      | 6     | 6      | 1    |
      | 6     | 4      | 2    |
      | 195   | 6      | 3    |

  Scenario Outline: all of <count> entries soon know a request that crashes servers
    Given <count> entries that exchange crash records, by seed <seed>
    When the request "a" crashes two servers at one entry, and cuts <noise> others
    And the others run for 3 seconds, while <lost> in 100 messages are lost
    Then no entry would send the request "a"

    Examples:
      | count | noise | lost | seed |
      | 6     | 20    | 0    | 1    |
      | 6     | 20    | 20   | 2    |
      | 74    | 60    | 0    | 3    |
      | 195   | 60    | 0    | 4    |
      | 195   | 120   | 10   | 5    |

  Scenario Outline: crashes that <count> entries see one each add up
    Given <count> entries that exchange crash records, by seed <seed>
    When the request "a" comes every <gap> seconds, at a random entry, for 20 seconds
    Then it crashed <most> servers at the most

    Examples:
      | count | gap | seed | most |
      | 6     | 0.5 | 1    | 6    |
      | 6     | 2.0 | 2    | 3    |
      | 195   | 1.0 | 3    | 6    |
      | 195   | 2.0 | 4    | 3    |

  Scenario: an entry that starts learns which requests are quarantined
    Given 6 entries that exchange crash records, by seed 7
    When the request "a" crashes two servers at one entry, and cuts 20 others
    And the others run for 15 seconds, while 0 in 100 messages are lost
    And an entry starts anew, and 2 seconds pass
    Then no entry would send the request "a"

  Scenario: the end of a quarantine reaches entries that missed the word, and lasts
    Given 6 entries that exchange crash records, by seed 8
    When the request "a" crashes two servers at one entry, and cuts 5 others
    And the others run for 40 seconds, while 0 in 100 messages are lost
    And a server answers the request "a" at one entry
    And the others run for 30 seconds, while 100 in 100 messages are lost
    And the others run for 90 seconds, while 0 in 100 messages are lost
    Then every entry would send the request "a" at once
