Feature: an attempt goes to the server that is expected to finish it first

  Background:
    Given 8 servers of one service

  Scenario: calls spread over equal servers
    When 40 calls begin and none ends
    Then no server has more than 7 calls

  # Guards against streams that wait until others end, although there are free slots.
  Scenario Outline: streams that last don't keep others from free slots
    When streams begin as long as there is room, on servers that report <slots> slots
    Then each server has <streams> streams

    Examples:
      | slots | streams |
      | 6     | 9       |
      | 30    | 34      |
      | 500   | 256     |

  Scenario: a straggler gets few calls
    When 400 calls run one by one and "s-0" takes 10 times as long
    Then "s-0" got less than 20 of them

  Scenario: an old measurement of a straggler is forgotten
    When 400 calls run one by one and "s-0" takes 10 times as long
    And the table is 4 s older
    And 80 calls run one by one
    Then "s-0" got at least 5 of them

  Scenario: a straggler is known before it has answered
    When 80 calls run one by one
    And a call on "s-0" has been open for 0.5 s
    Then "s-0" is never chosen

  Scenario: a lasting straggler is probed ever more rarely
    When "s-0" stays 10 times as slow for 60 s of calls
    Then its later 30 s have at most half of the calls of its first

  Scenario: other entries' calls count as long as their report is fresh
    Given every server but "s-3" reports 6 calls on 8 slots
    Then "s-3" is chosen always among those sampled with it
    When the table is 10 s older
    Then every server is chosen at times

  Scenario: a server that just failed is avoided, but never the last one
    When "s-1" can't be reached
    Then "s-1" is never chosen
    When no server can be reached
    Then some server is still chosen

  Scenario: a server back from ejection is probed by one call and then eased in
    When "s-1" can't be reached
    And the table is 2 s older
    And a call begins on "s-1"
    Then "s-1" is never chosen
    When the call on "s-1" is answered
    Then "s-1" has a small share that grows to its whole one in 3 seconds

  Scenario: a new server gets a growing share, the servers of the first list do not
    When "s-8" is added to the list
    Then "s-8" has a small share that grows to its whole one in 3 seconds
    And "s-0" has its whole share

  Scenario: one prompt prefix keeps to one server until that one is too busy
    When 40 calls with one prefix run one by one
    Then one server got all of them
    When 40 calls with one prefix begin and none ends
    Then no server has more than 8 calls

  Scenario: a server that leaves moves only its own prefixes
    When the last server is taken off the list
    Then only prefixes of that server prefer another one than before

  Scenario: another region is used only where the own one is much slower
    Given the servers are in two regions in turn and idle
    Then all choices are in the own region
    When the servers of the own region take 20 times as long
    Then some choices are in the other region

  Scenario Outline: a mechanism that is switched off has no say
    Given "s-0" alone is <state>
    Then without "<mechanism>" "s-0" is chosen at times
    And with "<mechanism>" "s-0" is chosen less than half as often

    Examples:
      | state    | mechanism         |
      | failing  | ejection          |
      | full     | concurrency-limit |
      | new      | easing            |
      | reported | load-reports      |
