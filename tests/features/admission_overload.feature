Feature: under overload work is refused at admission and not given up later
  Separate processes; the writer has two slots.

  Scenario: 4 times the callers that the servers can carry
    Given a fleet whose writer takes 100 ms and whose deadline is 2000 ms
    When 160 calls of "scan-desk" come within 2 seconds
    Then some calls are answered and some refused
    And every call that was refused has no run
    And every call that was refused is told when to come back
    And no call was run twice

  Scenario: one account floods and another is within its share
    Given a fleet whose writer takes 50 ms and whose deadline is 20000 ms
    When 400 calls of "members-web" flood 10 of "caption-desk" for 4 seconds
    Then every call of "caption-desk" is answered
    And every call that was refused has no run

  Scenario: a request that expires in the queue was not run
    Given a fleet whose writer takes 5000 ms and whose deadline is 1000 ms
    When 60 calls of "scan-desk" come within 0 seconds
    Then some calls are refused after they waited
    And every call that was refused has no run
