Feature: one entry at most gives orders to a backend server

  Scenario: at one list index every entry works out the same owner
    Then the order of the candidates changes no owner, who is in the server's data centre

  Scenario: a candidate that goes moves only the servers that it owned
    Then taking one candidate out moves no server of the others

  Scenario: two leases never overlap, whatever the lists and the reads
    Then at no time two entries may order the same server

  Scenario: an owner that was paused beyond its lease waits again
    Given an entry that has owned a server for long
    When it wakes from a pause longer than its lease
    Then it may not order the server
    When it confirms the list that it knew
    Then it waits before it orders the server

  Scenario: a list older than the known one is not taken
    Given an entry that has owned a server for long
    When an older list without the entry comes
    Then it may still order the server
