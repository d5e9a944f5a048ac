Feature: fleets that run side by side keep out of each other's way

  Scenario: a port that one fleet has reserved is given to no other, and can be used
    Given a reserved port
    Then it cannot be reserved again
    And a server can listen on it
