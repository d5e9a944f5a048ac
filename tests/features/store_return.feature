Feature: a store that comes back from a copy is followed on, and what it lost holds
  Seen: a route that had been published for three seconds was answered 404, and a stage
  server was asked for pieces 2.1 seconds after it had said that it was leaving.

  How it came about: the store had been away for two seconds and came back from a copy
  that was some seconds old. Its revisions went back, and were given out again.

  The cause: a revision was taken as ever rising. All that the store said below the
  revision that an entry knew was thrown away, and what it said above it was taken to
  lead on from there.

  # Guards against a configuration that is never in force after the store's return.
  @fixture.route-site.3.drains
  Scenario: a route published after the store came back from a copy is served everywhere
    Given the store has come back from a copy that lacks its last 8 revisions
    When version 20 is published with the route "/after/"
    Then all entries soon serve "/after/ok"

  # Guards against requests to a server that leaves after the store's return.
  @fixture.route-site.3.drains
  Scenario: a server that leaves after the store came back from a copy gets no new work
    Given the store has come back from a copy that lacks its last 8 revisions
    When a plain server is draining
    Then requests to all entries soon do not reach it any more

  # Guards against changes that a watch from a lost revision skips without a 410.
  @fixture.route-site.3.drains
  Scenario: a return is noticed though the lost revisions were passed before anyone asked
    Given the store has lost its last 4 revisions, and entries can't ask it yet
    When version 40 is published with the route "/after/"
    And 8 other changes pass the lost revisions before entries are answered again
    Then all entries soon serve "/after/ok"

  # Guards against a copy that undoes what was acknowledged before the return.
  @fixture.route-site.3.drains
  Scenario Outline: <what> that a copy undoes holds at all entries, also at a new one
    Given <what> that the store has acknowledged, and a copy of before
    When the store comes back from the copy, and one entry is started anew
    Then for 3 seconds requests to all entries are served as before the return

    Examples:
      | what                 |
      | a leave              |
      | a removal            |
      | a new server         |
      | an order to drain    |
      | the end of a drain   |

  # Guards against questions in a closed loop to a store whose answers are of no use.
  @fixture.route-site.3.drains
  Scenario Outline: entries ask a store that <refuses> few questions
    Given the store has come back from a copy that lacks its last 8 revisions
    When the store <refuses> for 5 seconds
    Then each entry has asked it at most 10 times a second

    Examples:
      | refuses                                  |
      | answers as usual                         |
      | has no history to any watch              |
      | answers from earlier copies than before  |
      | names another era in each page of a read |
