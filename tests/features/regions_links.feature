Feature: an entry knows the links to other regions, and no bound is doubled by a cut
  The load patterns: a link that fills up or is cut; relayed measurements that go round;
  servers that announce a limit while the regions can't reach one another.

  Scenario: the window halves while the delay grows, and grows again slowly
    Given the links of an entry of "valley"
    When 10 answers of "coast" take 0.024 s each, one a second
    Then optional traffic to "coast" is admitted
    And the window to "coast" is that of the beginning
    When 6 answers of "coast" take 0.2 s each, one a second
    Then the window to "coast" is at most a quarter of that of the beginning
    And the link to "coast" became "slow"
    When 8 answers of "coast" take 0.024 s each, one a second
    Then the link to "coast" became "reachable"
    And the window to "coast" grew by one step a second at most

  Scenario: a window that is used grows, one that is not used stays
    Given the links of an entry of "valley"
    When for 10 seconds answers of "coast" take 0.024 s, and its window is used in full
    Then the window to "coast" is that of the beginning and 9 or 10 steps

  Scenario: bytes beyond the window stop optional traffic for a while
    Given the links of an entry of "valley"
    When 10 answers of "coast" take 0.024 s each, one a second
    And a result of 4000000 bytes comes from "coast"
    Then optional traffic to "coast" is not admitted
    When 11 answers of "coast" take 0.024 s each, one a second
    Then optional traffic to "coast" is admitted

  Scenario: one answer that is late does not make the link slow
    Given the links of an entry of "valley"
    When 10 answers of "coast" take 0.024 s each, one a second
    And 1 answers of "coast" take 3 s each, one a second
    Then the round trip to "coast" is 0.024 s
    And the link to "coast" did not change

  Scenario: time-outs grow with the measured delay and with missing answers
    Given the links of an entry of "valley"
    When 6 answers of "coast" take 3 s each, one a second
    Then the time-out of an exchange with "coast" is longer by 12 s
    When 2 answers of "coast" are missing
    Then the time-out of an exchange with "coast" is longer by 16 s
    And the time-out of an order to "coast" is longer by 0 s

  # Guards against callers that wait for seconds to have their streams refused, as lost
  # entries of another region are asked where these began.
  Scenario: questions about streams that are taken up keep their time-out
    Given the links of an entry of "valley"
    When 6 answers of "coast" take 3 s each, one a second
    And 2 answers of "coast" are missing
    Then the time-out of a question about a stream to "coast" is longer by 0 s

  Scenario: requests that arrive do not make a region reachable, answers do
    Given the links of an entry of "valley"
    When 2 answers of "coast" take 0.024 s each, one a second
    And an answer of "coast" is missing each second for 8 seconds
    Then "coast" is not reachable
    And optional traffic to "coast" is not admitted
    And the link to "coast" became "unreachable"
    And the time-out of a repair from "coast" is longer by 0 s
    When 1 answers of "coast" take 0.024 s each, one a second
    Then "coast" is reachable
    And the time-out of a repair from "coast" is longer by 4 s

  Scenario: a region that nobody has asked is not unreachable
    Given the links of an entry of "valley"
    When 2 answers of "coast" take 0.024 s each, one a second
    And nobody asks the other region for 60 seconds
    Then "coast" is reachable

  Scenario: a request of before the last answer does not make a region unreachable
    Given the links of an entry of "valley"
    When 2 answers of "coast" take 0.024 s each, one a second
    And nobody asks the other region for 7 seconds
    And a request to "coast" that began 9 s ago is missing its answer
    Then "coast" is reachable
    When a request to "coast" that began 6 s ago is missing its answer
    Then "coast" is not reachable

  # Guards against a region that is never used again after it has lost all its entries.
  Scenario: while no entry of a region answers, its servers are tried from time to time
    Given the links of an entry of "valley"
    When 2 answers of "coast" take 0.024 s each, one a second
    And a request to "coast" is missing its answer for 30 seconds
    Then "coast" is not reachable
    And in 10 seconds its servers are tried during 1 second

  Scenario: a measurement that is relayed in a circle does not stay recent
    Given the links of two entries of "valley"
    When one of them measures the link to "coast", and both relay it for 20 seconds
    And one of them misses an answer of "coast"
    Then for both of them "coast" is not reachable

  Scenario: an entry uses no measurement of an entry of the other region
    Given the links of an entry of "valley"
    When an entry of "coast" reports a round trip of 9 s
    Then the round trip to "coast" is 0 s

  Scenario: both sides of a cut rank the same entries for a server with a limit
    Given entries of both regions, ranked by one of each
    When the regions can't reach one another
    Then both rank the same entries of "coast" for a server there
    And an entry of "valley" is not among the senders to it while it is cold
    And both rank the same entries of "valley" for a server there

  Scenario: the entries of the other region are ranked where a region has lost its own
    Given entries of both regions, ranked by one of each
    When no entry of "coast" answers, but its servers do
    Then the one of "valley" ranks entries of "valley" for a server of "coast"

  Scenario: a stage server is ranked for as before
    Given entries of both regions, ranked by one of each
    Then for a stage server all entries are ranked

  Scenario: the bytes and figures of each link are metrics
    Given the links of an entry of "valley"
    When 2 answers of "coast" take 0.024 s each, one a second
    And a result of 5000 bytes comes from "coast"
    And the meter records an exchange, a read of published values and an order
    Then the metrics name bytes to "coast" by kind, its round trip and its window

  Scenario: requests over real sockets are measured, and their bytes counted
    Given an entry that answers messages, and links with a meter
    When it is probed twice and a silent peer once
    Then two answers and one missing answer were recorded, with their bytes

  Scenario: an entry that starts requests the addresses that its own region knows
    Given an entry of "valley" that knows addresses of both regions
    When it requests whole address books until they agree
    Then it requests them from entries of "valley" only
    When it knows addresses of "coast" only
    And it requests whole address books until they agree
    Then it requests them from entries of "coast" only

  # Guards against an entry that never agrees with others on the live entries, so that it
  # sends nothing to cold servers, since it asks the lost entries of its region alone.
  Scenario: an entry whose region has lost its other entries agrees with other regions
    Given an entry of "valley" that knows addresses of both regions
    And the other entries of "valley" have been lost
    When it requests whole address books until they agree
    Then it has agreed with entries of "coast"
