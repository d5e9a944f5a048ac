Feature: output that waits for its caller is held and charged as what is left of it

  Scenario Outline: what was sent is not held any more
    Given output of <count> pieces of <size> bytes
    When <sent> bytes of it are sent
    Then <left> bytes are left, and <held> are held
    And what is sent and left is the output in its order

    Examples:
      | count | size   | sent    | left   | held   |
      | 64    | 65536  | 4000000 | 194304 | 196608 |
      | 64    | 65536  | 4194304 | 0      | 0      |
      | 1     | 400000 | 300000  | 100000 | 400000 |
      | 100   | 100    | 5000    | 5000   | 10000  |
      | 1000  | 100    | 70000   | 30000  | 34500  |

  Scenario: an answer that changes hands is charged in one place, and at no time in none
    Given a budget and an answer of 64 blocks of 65536 bytes that is charged to it
    When its blocks are handed over one by one
    Then the budget never held less than the blocks that exist, and at most one twice
