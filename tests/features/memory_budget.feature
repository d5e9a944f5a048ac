Feature: the byte budget of an entry, and the bounds on work at servers

  Scenario Outline: large requests leave memory for small ones, and those for answers
    Given a budget of 1000000 bytes of which <held> are held as output
    Then a <kind> of <size> bytes is <granted>

    Examples:
      | held   | kind    | size   | granted     |
      | 0      | request | 500000 | granted     |
      | 0      | request | 500001 | not granted |
      | 700000 | request | 70000  | not granted |
      | 700000 | request | 60000  | granted     |
      | 780000 | request | 60000  | not granted |
      | 780000 | answer  | 65000  | granted     |
      | 790000 | answer  | 60000  | granted     |
      | 790000 | answer  | 60001  | not granted |
      | 780000 | answer  | 70001  | not granted |
      | 580000 | answer  | 70000  | granted     |
      | 580000 | answer  | 70001  | not granted |
      | 0      | answer  | 850000 | granted     |
      | 0      | answer  | 850001 | not granted |

  Scenario: parts of a large request are not granted as small ones
    Given a budget of 1000000 bytes of which 0 are held as output
    When a request grows by 50000 bytes until it is not granted
    Then it holds 500000 bytes

  Scenario: charges that end in several threads return each byte once
    Given a budget of 1000000 bytes of which 0 are held as output
    When 8 threads charge, grow, shrink and release 200 charges each, some twice
    Then the budget holds 0 bytes

  Scenario: an answer waits until bytes are returned
    Given a budget of 1000000 bytes of which 900000 are held as output
    When an answer of 150000 bytes waits for memory
    And 400000 bytes of output are returned
    Then the answer is granted

  Scenario: the time to return follows from the bytes that were returned lately
    Given a budget of 1000000 bytes of which 900000 are held as output
    Then a request of 400000 bytes is told to return after 0.3 s
    When 200000 bytes of output are returned
    Then a request of 400000 bytes is told to return after 0.3 s
    When 540000 bytes of output are returned
    Then a request of 400000 bytes is told to return after 0.162 s

  Scenario: a server that crashed while much was outstanding is sent less for a while
    Given servers "a" and "b" at which typically 1000 bytes are outstanding
    When "a" crashes while 8 requests of 1000 bytes are outstanding
    And 2 requests of 1000 bytes are outstanding at "a" in its next life
    Then a request of 1000 bytes may be sent to "a, b"
    When 2 requests of 1000 bytes are outstanding at "a" in its next life
    Then a request of 1000 bytes may be sent to "b"
    When 31 s have passed
    Then a request of 1000 bytes may be sent to "a, b"

  Scenario: a crash with little outstanding sets no bound
    Given servers "a" and "b" at which typically 1000 bytes are outstanding
    When "a" crashes while 1 requests of 1000 bytes are outstanding
    And 8 requests of 1000 bytes are outstanding at "a" in its next life
    Then a request of 1000 bytes may be sent to "a, b"

  Scenario: a request that was on a server when it crashed is not sent to it again
    Given servers "a" and "b" at which typically 1000 bytes are outstanding
    When "a" crashes while 1 requests of 1000 bytes are outstanding
    Then the request that was on "a" may be sent to "b"
    When 31 s have passed
    Then the request that was on "a" may be sent to "a, b"

  Scenario: if all servers are past their bounds, the bounds are ignored
    Given servers "a" and "b" at which typically 1000 bytes are outstanding
    When "a" crashes while 8 requests of 1000 bytes are outstanding
    And "b" crashes while 8 requests of 1000 bytes are outstanding
    And 8 requests of 1000 bytes are outstanding at "a" in its next life
    And 8 requests of 1000 bytes are outstanding at "b" in its next life
    Then a request of 1000 bytes may be sent to "a, b"

  Scenario: one crash that several calls report counts once
    Given servers "a" and "b" at which typically 1000 bytes are outstanding
    When "a" crashes while 8 requests of 1000 bytes are outstanding
    And the same crash of "a" is reported again after its calls have ended
    And 2 requests of 1000 bytes are outstanding at "a" in its next life
    Then a request of 1000 bytes may be sent to "a, b"

  Scenario Outline: settings that name no memory leave an entry that of its machine
    Given a machine of <machine> MB and a control group of <group>
    Then an entry whose settings name <named> may hold <budget> MB for others

    Examples:
      | machine | group     | named   | budget |
      | 24000   | no limit  | nothing | 696    |
      | 200     | no limit  | nothing | 78     |
      | 24000   | 160 MB    | nothing | 48     |
      | 24000   | 160 MB in | nothing | 48     |
      | 24000   | 160 MB    | 300 MB  | 153    |
      | 64      | no limit  | nothing | 4      |

  Scenario: only some threads wait for memory
    Given a budget of 1000000 bytes of which 900000 are held as output
    And 2 threads may wait for it at once
    When 3 threads wait for 100000 bytes of an answer
    Then one of them is refused at once
    When 500000 bytes of output are returned
    Then the others are granted
