Feature: the limits of servers hold over all entries, however many there are
  The sum over the entries that had an answer with a limit half a second before stays
  within one and a half times the limit and five more, in any four seconds. The load is
  more requests than the servers take, while entries come and go, know different others,
  are silent, or lose messages.

  Scenario Outline: <entries> entries, of which <apart> know nothing of the others
    Given <entries> entries before 3 servers with a limit of <limit> requests a second
    And <apart> of them and the others know nothing of each other
    When <rate> requests a second come to each entry for 10 seconds
    Then no server gets more than its limit allows

    Examples:
      | entries | apart | limit | rate |
      | 1       | 0     | 1.1   | 30   |
      | 6       | 0     | 1.1   | 5    |
      | 6       | 0     | 0     | 5    |
      | 6       | 0     | 20    | 30   |
      | 6       | 3     | 1.1   | 5    |
      | 6       | 3     | 20    | 30   |
      | 6       | 1     | 4     | 10   |
      | 74      | 0     | 2     | 1    |
      | 74      | 37    | 2     | 1    |
      | 195     | 0     | 1     | 0.5  |
      | 195     | 97    | 1     | 0.5  |
      | 370     | 185   | 1     | 0.3  |

  Scenario Outline: <what> at <entries> entries
    Given <entries> entries before 3 servers with a limit of <limit> requests a second
    When <rate> requests a second come to each entry for 10 seconds while <what>
    Then no server gets more than its limit allows

    Examples:
      | entries | limit | rate | what                                     |
      | 6       | 2     | 5    | one entry starts again every second      |
      | 74      | 2     | 1    | one entry starts again every second      |
      | 195     | 2     | 0.5  | ten entries start again every second     |
      | 6       | 2     | 5    | a fifth of all messages is lost          |
      | 195     | 2     | 0.5  | a fifth of all messages is lost          |
      | 6       | 2     | 5    | one entry after the other is suspended   |
      | 74      | 2     | 1    | one entry after the other is suspended   |

  Scenario Outline: the limits are used, with callers at <where> of <entries>
    Given <entries> entries before 3 servers with a limit of <limit> requests a second
    When <rate> requests a second come to <where> of them for 10 seconds
    Then no server gets more than its limit allows
    And at least 0.7 of the limits is used, and the rest is refused

    Examples:
      | entries | limit | rate | where     |
      | 6       | 1     | 3    | all       |
      | 6       | 4     | 5    | all       |
      | 6       | 4     | 30   | one       |
      | 195     | 4     | 0.3  | all       |
      | 195     | 4     | 30   | one       |
      | 195     | 20    | 100  | one       |

  Scenario Outline: servers without a limit get the requests, at <entries> entries
    Given <entries> entries before 9 servers, of which 3 have a limit of 1.1
    When <rate> requests a second come to each entry for 10 seconds
    Then no server gets more than its limit allows
    And no request was refused
    When the limits end
    And <rate> requests a second come to each entry for 4 seconds
    Then all entries know that they have ended

    Examples:
      | entries | rate |
      | 1       | 30   |
      | 6       | 5    |
      | 195     | 0.5  |

  Scenario Outline: <entries> entries of which each misses <missed> others
    Given <entries> entries before 3 servers with a limit of <limit> requests a second
    And each of them does not know <missed> others
    When <rate> requests a second come to each entry for 10 seconds
    Then no server gets more than its limit allows

    Examples:
      | entries | missed | limit | rate |
      | 6       | 1      | 2     | 5    |
      | 74      | 3      | 2     | 1    |
      | 195     | 8      | 2     | 0.5  |

  Scenario: an entry that has not agreed with others asks for no permits and grants none
    Given 6 entries before 3 servers with a limit of 2 requests a second
    And all of them have answers with the limits and agree with nobody
    When 5 requests a second come to each entry for 4 seconds
    Then the servers get no request

  Scenario: answers that were under way do not end a limit
    Given a server that named a limit of 2 requests a second at one entry
    When the answer of a call that was sent before names none
    Then it is limited to 2 requests a second
    When an answer that is no success names none
    Then it is limited to 2 requests a second
    When the answer of a call that was sent later names none
    Then it is not limited
    When another life of the server is called
    Then it is not limited

  Scenario: of two limits at the same time the lower one prevails
    Given two entries that read limits of 2 and 1 requests a second of one server
    When they tell each other
    Then both take it for limited to 1 requests a second

  Scenario: no permits accrue while a process is suspended
    Given a server that named a limit of 2 requests a second at one entry
    When the process is suspended for 60 seconds there
    Then 4 permits at the most begin within half a second
    And a permit that was taken before a suspension is not valid after it

  Scenario: a permit that was not used is granted again
    Given a server that named a limit of 1 requests a second at one entry
    When all permits of the moment are taken and one is given back
    Then the next permit begins at once

  Scenario: a limit that another entry read holds for a server that is listed later
    Given a record of another entry with a limit of 2 requests a second
    When the server is listed here
    Then it is limited to 2 requests a second
    When it has not been listed for 121 seconds
    Then it is not limited

  Scenario: an answer that is older than another entry's reading does not end a limit
    Given a record that another entry read 2 seconds ago, with a limit of 2
    When the server is listed here
    And the answer of a call that was sent 3 seconds ago names none
    Then it is limited to 2 requests a second
    When the answer of a call that was sent 1 seconds ago names none
    Then it is not limited
