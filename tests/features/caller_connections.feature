Feature: one connection of a caller

  Scenario: a caller that does not read holds no thread past its deadline
    Given a server whose application writes 64 MB
    When a caller sends 1 request and reads nothing
    Then the application waits
    When the deadline of the request passes
    Then the application has ended
    And the connection counts as busy until its caller has read or gone

  Scenario: the time in the server's own queue counts
    Given a server of 1 thread whose application waits to be let go
    When a caller sends 1 request and reads nothing
    And another caller sends a request
    And 10 s go by on the clock and the application is let go
    Then the second request arrived 10 s before it was run

  Scenario: requests behind one another on one connection get their own answers
    Given a server whose application answers with the path
    When a caller sends 5 requests at once
    Then it reads 5 answers, each with its own path

  Scenario: of many requests behind one another only two are parsed at a time
    Given a server whose application answers with the path
    And its application waits to be let go
    When a caller sends 2000 requests at once
    Then 2 requests of it are parsed, and the others wait as bytes that are charged
    When the application is let go
    Then it reads 2000 answers, each with its own path

  Scenario: nothing that a caller sends or does not read goes to a disk
    Given a server whose application answers with the path
    Then no buffer of it overflows to a file
