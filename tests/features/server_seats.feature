Feature: seats at brittle servers while entries are out of step

  # Guards against seats beyond the places of a server, which an entry that doesn't reach
  # the granting entry gets from the next one, though the first still grants all.
  Scenario: the second entry grants no seats while it reaches the first
    Given three entries before a brittle server with 4 places
    When the others have taken all seats, and the third doesn't reach the first
    Then the third gets 0 seats
    When the others have returned their seats, and the third reaches the first again
    Then the third gets 4 seats

  # Guards against servers that are left idle once the granting entry has ended.
  Scenario: the second entry grants half of the seats if it doesn't reach the first either
    Given three entries before a brittle server with 4 places
    When the first has ended
    Then the third gets 2 seats

  # Guards against seats beyond the places of a server, which a suspended granting entry
  # grants when it goes on, though another entry has taken its place.
  Scenario: an entry that was suspended grants half of the seats at first
    Given three entries before a brittle server with 4 places
    When the first is suspended for 10 s, and the others go on without it
    Then the third gets 2 seats
    And the first gets 2 seats
    When the others know the first again, and 4 s pass
    Then the first gets no more than the 4 places leave
