Feature: what a copy says is old, and nothing stays wrong where nobody writes again
  A store that comes back from a copy says things that had been replaced or removed
  before. What was acknowledged holds for a while, and ends at once where its key is
  written after the return. The entries are the project's own decisions in simulated
  time.

  # Guards against a copy that revives or undoes a write.
  Scenario Outline: <key> holds as it was until it is written again or the time is over
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "<lost>" was acknowledged
    When the store comes back from the copy
    Then "<key>" counts as <then>
    When <before> seconds pass
    Then "<key>" counts as <then>
    When 0.2 seconds pass
    Then "<key>" counts as <at last>

    Examples: servers
      | lost    | key | then | before | at last |
      | a=2     | a   | 2    | 7.9    | 1       |
      | a=2 a=3 | a   | 3    | 7.9    | 1       |
      | a-      | a   | gone | 7.9    | 1       |
      | a- a=1  | a   | 1    | 7.9    | 1       |
      | c=1     | c   | 1    | 2.1    | gone    |
      | c=1 c-  | c   | gone | 2.1    | gone    |

    Examples: orders of operators
      | lost  | key  | then  | before | at last |
      | op/2  | op/2 | given | 29.9   | gone    |
      | op/1- | op/1 | gone  | 29.9   | given   |

  # Guards against a hold that outlives a write of after the return.
  Scenario Outline: what is written after the return prevails at once: <written>
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "<lost>" was acknowledged
    When the store comes back from the copy
    And "<written>" is written
    Then "<key>" counts as <then>
    And nothing is held

    Examples:
      | lost  | written | key  | then  |
      | a=2   | a=2     | a    | 2     |
      | a=2   | a=1     | a    | 1     |
      | a=2   | a-      | a    | gone  |
      | a-    | a-      | a    | gone  |
      | a-    | a=1     | a    | 1     |
      | c=1   | c=1     | c    | 1     |
      | op/2  | op/2    | op/2 | given |
      | op/1- | op/1-   | op/1 | gone  |
      | op/1- | op/1    | op/1 | given |

  Scenario: what was written before anybody asked is told from what the copy holds
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "a- op/1-" was acknowledged
    When the store comes back from the copy and "a=1 op/1" is written before anybody asks
    Then "a" counts as 1
    And "op/1" counts as given

  # Guards against a second return that revives what the first could not.
  Scenario: two returns in a row, the second from an older copy
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "a=2 b-" was acknowledged
    And a later copy, after which "a=3" was acknowledged
    When the store comes back from the later copy
    And 1 seconds pass
    And the store comes back from the copy
    Then "a" counts as 3
    And "b" counts as gone
    When 8.1 seconds pass
    Then "a" counts as 1
    And "b" counts as 1

  # Guards against an entry that believes the copy, since it never knew more.
  Scenario: an entry that reads the copy first learns from another what holds, until when
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "a- b=2 c=1 op/2 op/1-" was acknowledged
    When the store comes back from the copy
    And 1 seconds pass
    And a new entry reads the store, and then hears of the first
    Then at the new entry "a" is gone, "b" is 2, "c" is 1, "op/1" is gone, "op/2" is given
    When 1.3 seconds pass
    Then at the new entry "a" is gone, "b" is 2, "c" is gone, "op/1" is gone, "op/2" is given
    When 6 seconds pass
    Then at the new entry "a" is 1, "b" is 1, "c" is gone, "op/1" is gone, "op/2" is given

  # Guards against an entry that was cut off and brings back what has ended elsewhere.
  Scenario: an entry that was cut off through the return ends its holds with the others
    Given a copy of the store with "a=1 b=1 op/1"
    And another entry that knows as much, and is then cut off
    And after the copy "a-" was acknowledged
    When the store comes back from the copy
    And 20 seconds pass
    And "b=5" is written
    And the other entry hears of the first
    Then at the other entry "a" is 1, "b" is 5
    And at the other entry nothing is held

  Scenario: an entry that asks the store late itself learns from others what has ended
    Given a copy of the store with "a=1 b=1 op/1"
    And another entry that knows as much, and is then cut off
    And after the copy "a-" was acknowledged
    And the other entry knows of it too
    When the store comes back from the copy
    And 20 seconds pass
    And the other entry reads the store
    Then at the other entry "a" is gone, "b" is 1
    When the other entry hears of the first
    Then at the other entry "a" is 1, "b" is 1

  Scenario: a value that was written anew unchanged is known by its last write
    Given a copy of the store with "a=1 b=1 op/1"
    And "a=1" was written, and all is read as the history is gone
    And another copy, after which "a-" was acknowledged
    When the store comes back from the later copy
    Then "a" counts as gone

  Scenario: removals that one entry alone knew of before the return are passed on
    Given a copy of the store with "a=1 b=1 op/1"
    And another entry that knows as much, and is then cut off
    And after the copy "a- op/1-" was acknowledged
    When the store comes back from the copy
    And the other entry reads the store, and then hears of the first
    Then at the other entry "a" is gone, "b" is 1, "op/1" is gone

  # Guards against an era of 0 that is taken for none.
  Scenario: the era before a return may have been the number 0
    Given a copy of the store with "a=1 b=1 op/1", in era 0
    And after the copy "a=2 c=1" was acknowledged
    When the store comes back from the copy
    And "a=4" is written
    And a read of the era before comes late
    Then "a" counts as 4
    When "a=5" is written
    Then "a" counts as 5

  # Guards against answers that come late.
  Scenario Outline: an answer of the era before changes nothing: <answer>
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "a=2" was acknowledged
    When the store comes back from the copy
    And "a=4" is written
    And <answer> of the era before comes late
    Then "a" counts as 4

    Examples:
      | answer                  |
      | a watch                 |
      | a read                  |
      | another entry's message |

  Scenario: changes of a later era are not taken to lead on from what is known
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "a=2" was acknowledged
    When the store comes back from the copy and passes "b=7 b=8 b=9", and a watch is answered
    Then all is to be read
    And "a" counts as 2

  # Guards against a watch of the era before that the store answers in the next one.
  Scenario: a watch that was sent before the return is no answer after it
    Given a copy of the store with "a=1 b=1 op/1"
    And after the copy "c=1 c=2 c=3" was acknowledged
    And a watch that is on its way
    When the store comes back from the copy
    And "a=2" is written, but nobody asks
    And "b=2 b=3 b=4" is written, but nobody asks
    And the watch is answered
    Then "a" counts as 1
    When all is asked again
    Then "a" counts as 2

  # Guards against another entry's answer that leads on from the era before.
  Scenario: changes since what was known before the return are not taken after it
    Given a copy of the store with "a=1 b=1 op/1"
    And another entry that knows as much, and is then cut off
    And after the copy "c=1" was acknowledged
    And the other entry knows of it too, and asks the first what has changed since
    When the store comes back from the copy, and the other entry asks it first
    And "c=1" is written
    And "a=5" is written
    And the first answers what the other entry asked before the return
    And 3 seconds pass
    And the other entry hears of the first
    Then at the other entry "a" is 5, "c" is 1

  Scenario Outline: a store that names its era as <named> is taken to be in the one known
    When the store names its era as <named>
    Then the era is <era>

    Examples:
      | named                 | era |
      | nothing               | -1  |
      | "7"                   | 7   |
      | "0"                   | 0   |
      | ""                    | -1  |
      | "-1"                  | -1  |
      | "1.5"                 | -1  |
      | "seven"               | -1  |
      | "99999999999999999999"| -1  |
      | "\u0663"              | -1  |

  Scenario: an answer without an era is taken to be of the era that is known
    Given a copy of the store with "a=1 b=1 op/1"
    When the store stops naming its era and "a=2" is written
    Then "a" counts as 2

  # Guards against tables that disagree for good, in whatever order they meet.
  Scenario: entries that meet the store and one another in any order end as the store is
    Then after any returns, writes, reads and messages all tables end as the store is
