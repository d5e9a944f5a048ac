Feature: the records of parts of prompts that crash servers

  Scenario: three crashes in a row block a part, and an answer that began starts anew
    Given the records of the parts of prompts at one entry
    When "a x" crashes a server 2 times
    Then requests with "a x" may be sent
    When "a x" is answered, and crashes a server 2 times
    Then requests with "a x" may be sent
    When "x b" crashes a server 1 times
    Then requests with "c x" get refused
    And requests with "a c" may be sent

  Scenario: parts that were cleared shortly before are not suspected
    Given the records of the parts of prompts at one entry
    When "a b" is answered, and "a x" crashes a server 3 times within 2 s
    Then requests with "a b" may be sent
    And requests with "x" get refused
    And requests with "a" may be sent

  # Guards against a part that turns bad and stays cleared by what it was before.
  Scenario: a part that was cleared long before is suspected
    Given the records of the parts of prompts at one entry
    When "a x" is answered, and "a x" crashes a server 3 times from 4 s after it
    Then requests with "x" get refused
    And requests with "a" get refused

  # Guards against innocent parts that are counted beside the one that explains a crash.
  Scenario: a crash is counted against the part with the most crashes alone
    Given the records of the parts of prompts at one entry
    When "x" crashes a server 1 times
    And "x n" crashes a server 2 times
    Then requests with "x" get refused
    And requests with "n" may be sent

  # Guards against a lost data centre that blocks what was at its servers.
  Scenario: crashes of several servers at one moment count once
    Given the records of the parts of prompts at one entry
    When 9 servers crash at one moment under "a x"
    Then requests with "a x" may be sent

  Scenario: a blocked part is tried again after half a minute, by one entry at a time
    Given 6 entries that know a blocked part
    Then none of them sends a request with it within 29 s
    And within 20 s more one of them sends one, and no other for 3 s
    When it is answered there
    Then all of them send requests with it

  # Guards against a request with a blocked part that is sent after its entry's turn, while
  # another entry sends one.
  Scenario: a request with a blocked part is sent in the turn in which it was admitted
    Given 6 entries that know a blocked part
    When one of them admits a request with it in its turn
    Then the request may be sent 2.0 s later, and may not be sent 3.5 s later

  # Guards against releases that mend servers while a part stays blocked, and against
  # probes that crash a server every half a minute.
  Scenario: a part whose probe crashes a server is not tried again for ten minutes
    Given 6 entries that know a blocked part
    Then within 49 s one of them sends one, and no other for 3 s
    When the server crashes under it
    Then none of them sends a request with it within 590 s

  Scenario: an entry that starts later receives the blocked parts
    Given 6 entries that know a blocked part
    When an entry starts that knows nothing, and is given the records
    Then it refuses requests with the part

  Scenario Outline: an answer whose server crashes <when> <verdict> its parts
    Given a request whose prompt has the parts "x"
    When its server crashes <when>, 3 times
    Then the part "x" <verdict>

    Examples:
      | when                             | verdict    |
      | before its first event           | is blocked |
      | right after its first event      | is blocked |
      | a second after its first event   | is free    |

  Scenario Outline: a request with a blocked part that <run> is answered as <outcome>
    Then a request with a blocked part that <run> is answered as <outcome>

    Examples:
      | run         | outcome |
      | has not run | refused |
      | has run     | failed  |

  Scenario: what is kept of cleared parts is bounded
    Given the records of the parts of prompts at one entry
    When 20000 prompts with a part of their own are answered
    Then at most 16384 cleared parts are kept, the newest among them

  Scenario: no byte is sent about parts while none is suspected
    Then the part of the exchange about parts takes no byte in a message
