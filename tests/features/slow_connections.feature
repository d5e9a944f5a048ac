Feature: when others go short, the connections that hold their bytes for longest go first

  Scenario Outline: a connection is slow by the pace that was observed
    Given a caller that had <unread> bytes unread for <seconds> s and read <read>
    And its request can be answered for <left> s more
    Then its connection is <slow>

    Examples:
      | unread  | seconds | read    | left | slow     |
      | 4000000 | 2       | 0       | 0    | slow     |
      | 4000000 | 0.5     | 0       | 0    | not slow |
      | 4000000 | 1.5     | 0       | 9    | not slow |
      | 4000000 | 2       | 0       | 9    | slow     |
      | 4000000 | 2       | 2       | 9    | slow     |
      | 4000000 | 2       | 100000  | 0    | slow     |
      | 4000000 | 2       | 1000000 | 0    | not slow |
      | 4000000 | 2       | 4000000 | 0    | not slow |
      | 800     | 2       | 100     | 0    | slow     |
      | 800     | 2       | 400     | 0    | not slow |

  Scenario: the worst account's slowest connections are closed first
    Given these callers, observed for 3 s
      | name | account | unread  | read   |
      | a    | one     | 1000000 | 0      |
      | b    | two     | 400000  | 0      |
      | c    | two     | 900000  | 100000 |
      | d    | two     | 900000  | 3000   |
      | e    | three   | 900000  | 600000 |
    Then they are closed in the order "b, d, c, a"

  Scenario: connections without a request are closed by their last activity
    Given connections that were last active 5, 0.2, 30 and 8 s ago, the third one in use
    Then the 2 to close are those of 8 and 5 s ago

  # Guards against streams that wait for memory, one after the other, for seconds each.
  Scenario: while output waits for memory, slow connections are closed with some to spare
    Given 9 slow callers, each of which holds a tenth of the memory
    When a thread has output that waits for memory
    Then slow callers hold half of the memory

  # Guards against entries whose threads, or places at servers, are kept by streams that
  # nobody reads.
  Scenario Outline: while others wait, streams that wait for slow callers are closed
    Given 4 slow callers, each of which holds a tenth of the memory
    And the streams of 3 of them wait until they read
    When <wanted> requests have to end for others to begin
    Then <closed> of the 3 streams are closed, and no other connection

    Examples:
      | wanted | closed |
      | 0      | 0      |
      | 2      | 2      |
      | 9      | 3      |
