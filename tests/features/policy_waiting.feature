Feature: calls wait for a server no longer than they can spare

  Scenario: the earliest deadline is served first, whatever the order of arrival
    Given a line before a service without room
    When calls with 9000, 3000, 6000 ms to spare wait
    And room comes for one call at a time
    Then they are served in the order 3000, 6000, 9000

  Scenario: a call without time to spare is given up at once
    Given a line before a service without room
    Then a call with 0 ms to spare is given up without a wait

  Scenario: a call whose turn comes too late is given up at once and told when to return
    Given a line before a service without room
    And 10 calls of the service end in each second
    When calls with 9000, 9000, 9000, 9000 ms to spare wait
    Then a call with 100 ms to spare waits first in line
    But a call with 9100 ms to spare is told to return after 0.5 to 0.75 s
    When calls with 8000, 8000, 8000, 8000 ms to spare wait
    Then a call with 9200 ms to spare is told to return after 0.9 to 1.35 s

  Scenario: a waiting call whose caller has gone leaves the line
    Given a line before a service without room
    When calls with 9000, 3000 ms to spare wait
    And their callers go
    Then nobody waits
