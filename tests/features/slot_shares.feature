Feature: a window opens by the slots that servers report

  Background:
    Given 3 servers of 20 slots and 2 entries
    And a door that 40 long requests come to, at once

  Scenario: a fresh entry begins a burst that the servers have slots for
    Given no request has completed
    When one server reports its slots
    Then 40 requests have begun

  Scenario: where no server reports, the window opens by completions
    When no server reports its slots
    Then 4 requests have begun

  Scenario: the share is that of the live entries
    When one server reports its slots
    And 10 entries are live a second later
    Then the entry's share is 6 slots

  Scenario: a window that was cut starts again after idleness
    Given a window that was cut to its least
    When a request asks for room with a share of 30 slots after 31 seconds
    Then the window has room for 48 requests

  Scenario: a window that was cut stays cut while it is asked
    Given a window that was cut to its least
    When a request asks for room with a share of 30 slots after 1 seconds
    Then the window has room for 2 requests

  Scenario: a share beyond what may be grown to is not taken back
    Given a window with a share of 300 slots
    When it is fully used and its stages are quick
    Then the window has room for 480 requests
