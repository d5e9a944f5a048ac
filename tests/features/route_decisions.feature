Feature: what an entry decides about forwarded calls

  Scenario Outline: the longest prefix of the host begins the path
    Given routes "<routes>"
    Then "<host>" "<path>" goes to "<route>"

    Examples:
      | routes                                | host | path        | route   |
      | a.example/x/, a.example/x/y/          | a.example | /x/y/z | a.example/x/y/ |
      | a.example/x/, a.example/x/y/          | a.example | /x/yy  | a.example/x/ |
      | a.example/x/                          | a.example | /xx    | none    |
      | a.example/x/                          | b.example | /x/1   | none    |
      | a.example/                            | a.example | /q     | a.example/ |

  Scenario Outline: versions rise only
    Given the versions "<offered>" are offered in this order
    Then version <in_force> is in force

    Examples:
      | offered | in_force |
      | 3, 7    | 7        |
      | 7, 3    | 7        |
      | 7, 7    | 7        |

  Scenario Outline: a key is looked up by its digest
    Given an account with the key "good" and a route that is "<kind>"
    Then the key "<key>" is "<verdict>"

    Examples:
      | kind    | key  | verdict   |
      | private | good | account   |
      | private | bad  | refused   |
      | private |      | refused   |
      | public  |      | anonymous |
      | public  | good | account   |

  Scenario: repeats keep to the part of the bound that is this entry's
    Given a bound of 0.2 and 52 in 10 s over 6 entries
    When 100 requests come
    Then 20 repeats may be sent and no more
    When the window moves on by 11 seconds
    Then 6 repeats may be sent and no more

  Scenario Outline: a removed server lapses only around an outage
    Given a published table with "a, b"
    When "<events>" happen
    Then the table holds "<left>"

    Examples:
      | events                                             | left |
      | remove b                                           | a    |
      | outage, answer, remove b                           | a, b |
      | outage, answer, remove b, wait 3                   | a    |
      | outage, answer, remove b, put b, wait 3            | a, b |
      | outage, answer, snapshot a                         | a, b |
      | outage, answer, snapshot a, wait 3                 | a    |
      | outage, answer, wait 3, remove b                   | a    |
      | snapshot a                                         | a    |

  # Guards against a removed server that stays in use because one entry's call failed.
  Scenario Outline: a server that is removed while the store serves others is no lapse
    Given a published table with "a, b"
    When "<events>" happen
    Then the table holds "<left>"

    Examples:
      | events                                     | left |
      | refusal, answer, remove b                  | a    |
      | refusal, answer, snapshot a                | a    |
      | outage, heard, wait 6, answer, remove b    | a    |
      | outage, heard, remove b                    | a, b |
      | outage, heard, put a, wait 1, remove b     | a    |
      | pause, answer, remove b                    | a    |

  # Guards against servers that are dropped after an outage by an entry that made no call
  # in it and knows of the failed calls from its peers.
  Scenario Outline: an entry that made no call in an outage keeps what lapsed in it
    Given a published table with "a, b"
    When "<events>" happen
    Then the table holds "<left>"

    Examples:
      | events                                          | left |
      | outage-told, answer, remove b                   | a, b |
      | outage-told, heard, remove b                    | a, b |
      | outage-told, answer, put a, wait 1, remove b    | a    |
      | refusal-told, answer, remove b                  | a    |
      | pause-told, answer, remove b                    | a    |
      | outage, heard, wait 6, heard, refusal, answer, remove b | a |

  Scenario: engines are chosen by the part that requests share
    Given 9 engines of which none has work
    Then 200 prompts with the same shared part and other ends go to one engine
    And prompts with 200 shared parts go to all of them
    When that engine has far more calls than the others
    Then the next prompt with the same shared part goes to another one

  Scenario: a call runs near the large results that it reads
    Given 9 engines of which none has work
    Then a call that reads 1500000 bytes in "hall-2" runs in "hall-2"
    And a call that reads 8000 bytes in "hall-2" may run anywhere

  Scenario: an order stays with the owner that took it while that one is there
    Given an entry that placed an order when "a" was the only other entry
    When entries come that rank before "a"
    Then the order is asked after at "a", and a new one elsewhere
    When "a" is gone
    Then the order is asked after elsewhere

  Scenario: each entry has the same order of owners
    Then any order of the same entries gives the same owner, and another when it is gone

  Scenario Outline: queues are owned by entries that can carry them
    Then of entries with the capacities "<capacities>" those that can own are "<able>"

    Examples:
      | capacities    | able       |
      | 1, 1, 1       | 0, 1, 2    |
      | 1, 0.6, 0.4   | 0, 1       |
      | 0.05, 0.1, 2  | 2          |
      | 0.05          | 0          |

  Scenario Outline: a slow link takes an entry's capacity away
    Then <share> of a core <speed> times as fast behind <mbps> Mbit/s are worth <capacity>

    Examples:
      | share | speed | mbps | capacity |
      | 0.5   | 2     | 1000 | 1.0      |
      | 0.5   | 2     | 5    | 0.1      |
      | 1.0   | 1     | 25   | 0.5      |

  Scenario: one slow stage does not make all chains look hopeless
    Given a service whose stages usually take 0.3 s
    When one of its stages takes 3.3 s
    Then its next one is expected to take 1.2 s
    When 10 more take 3.3 s each
    Then its next one is expected to take more than 3 s
    When nothing is measured for 2 s
    Then its next one is expected to take 0.3 s
