Feature: fleets that run side by side keep out of each other's way

  Scenario: a port that one fleet has reserved is given to no other, and can be used
    Given a reserved port
    Then it cannot be reserved again
    And a server can listen on it

  # Guards against a process that is left behind, since its parent ended before the kernel
  # was asked to end them together.
  Scenario: a process whose parent ends while it starts ends as well
    Given a parent that ends before its child asks to end with it
    Then the child ends within 5 s
