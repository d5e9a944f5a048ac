Feature: published entries of servers, those of other writers and of later lives too
  An entry that a server did not write names no server to use, and the others hold. A
  server that starts again under its name holds and knows nothing of before.

  Scenario Outline: an entry that a server did not write names no server
    Given the published servers "i-1, i-2"
    When the entry of "i-1" has its "<field>" as <value>
    Then the servers to use are "i-2"
    And one line in the log names "servers/i-1"
    When the entry of "i-1" is as before
    Then the servers to use are "i-1, i-2"

    Examples:
      | field        | value                 |
      | service      | missing               |
      | service      | 7                     |
      | addr         | missing               |
      | addr         | ""                    |
      | addr         | "10.0.0.1"            |
      | addr         | "10.0.0.1:99999"      |
      | addr         | "10.0.0.1:0"          |
      | addr         | "10.0.0.1: 80"        |
      | addr         | "10.0.0.999:80"       |
      | addr         | "0.0.0.0:80"          |
      | addr         | "224.0.0.1:80"        |
      | addr         | "somewhere:80"        |
      | addr         | ["10.0.0.1", 80]      |
      | zone         | null                  |
      | version      | 1                     |
      | slots        | "6"                   |
      | state        | "warming"             |
      | state        | true                  |
      | cold_left_ms | "soon"                |
      | seq          | {}                    |
      | born         | "1700000000000"       |
      | born         | 1700000000000.5       |
      | born         | null                  |
      | born         | true                  |

  # Guards against numbers that can be decoded and on which later arithmetic with floats,
  # or a message to another entry, fails.
  Scenario Outline: a number that no server writes names no server: <field>, <number>
    Given the published servers "i-1, i-2"
    When the number "<field>" of the entry of "i-1" is <number>
    Then the servers to use are "i-2"
    And one line in the log names "servers/i-1"
    When the entry of "i-1" is as before
    Then the servers to use are "i-1, i-2"

    Examples:
      | field        | number              |
      | slots        | -1                  |
      | slots        | 1000001             |
      | slots        | 9 x 20              |
      | slots        | 9 x 400             |
      | slots        | 9 x 5000            |
      | slots        | -9 x 400            |
      | seq          | -1                  |
      | seq          | 9 x 20              |
      | seq          | 9 x 400             |
      | seq          | 9 x 5000            |
      | born         | -1                  |
      | born         | 9 x 20              |
      | born         | 9 x 400             |
      | born         | -9 x 400            |
      | born         | 9 x 5000            |
      | cold_left_ms | 1e308               |
      | cold_left_ms | 1e400               |
      | cold_left_ms | 9 x 20              |
      | cold_left_ms | 9 x 400             |
      | cold_left_ms | NaN                 |
      | cold_left_ms | Infinity            |

  # Guards against a bound on numbers that leaves out servers as they are published.
  Scenario Outline: a number that a server writes names it: <field>, <number>
    Given the published servers "i-1, i-2"
    When the number "<field>" of the entry of "i-1" is <number>
    Then the servers to use are "i-1, i-2"

    Examples:
      | field        | number              |
      | slots        | 0                   |
      | slots        | 1000000             |
      | seq          | 0                   |
      | seq          | 9223372036854775807 |
      | born         | 9223372036854775807 |
      | cold_left_ms | -1                  |
      | cold_left_ms | 86400000            |

  Scenario Outline: bytes and keys that can't be read name no server
    Given the published servers "i-1, i-2"
    When "<key>" holds the bytes "<value>"
    Then the servers to use are "<used>"

    Examples:
      | key             | value     | used     |
      | servers/i-1     | \xff\xfe  | i-2      |
      | servers/i-1     | {         | i-2      |
      | servers/i-1     | []        | i-2      |
      | servers/i-1     | null      | i-2      |
      | servers/        | copy      | i-1, i-2 |
      | servers/a/b     | copy      | i-1, i-2 |
      | servers/a\r\nb  | copy      | i-1, i-2 |
      | servers/\u0142  | copy      | i-1, i-2 |

  Scenario: many spoilt entries are told in one short line
    Given the published servers "i-1"
    When 400 entries of another writer come
    Then the servers to use are "i-1"
    And the log has one line of at most 1500 characters

  Scenario: any bytes under any key
    Then any bytes and any JSON give a server that can be called or a typed failure

  Scenario: a server that starts again under its name is known anew
    Given the published servers "i-1" of which each has been measured and holds a result
    And "i-1" has said that it is leaving
    When "i-1" starts again
    Then the servers to use are "i-1"
    And nothing measured is believed of "i-1"
    And its room is free and its result is never named again
    And its idle connections were closed

  Scenario: a word of the earlier life that comes late is not taken
    Given the published servers "i-1"
    When "i-1" starts again
    And the earlier life of "i-1" says that it is draining
    Then the servers to use are "i-1"
    When 2 seconds pass and the later life of "i-1" is published again
    Then the servers to use are "i-1"

  Scenario: a server whose clock was set back is taken all the same
    Given the published servers "i-1"
    When "i-1" starts again with an earlier time of day, and that stays published
    Then after 9 seconds the life that is published is the one to use

  Scenario: another entry's word of the earlier life says nothing of the later
    Given the published servers "i-1"
    When "i-1" starts again
    And another entry tells that the earlier life of "i-1" is leaving
    Then the servers to use are "i-1"
