@fixture.fleet.cooperative
Feature: a call under a ticket runs at most once, and what is said of it is true
  The charge of "order-status" may not be repeated; its runs are counted by the one
  ledger server that is listed.

  Background:
    Given tickets that live 30 s and one server for each stage of "order-status"

  Scenario Outline: the server fails while it runs the charge
    Given a ticket of "entry-1"
    And the ledger's next call meets "<fault>"
    When it is posted to "<entry>"
    Then the outcome is "<outcome>"
    And asked of "entry-3" its state is "<outcome>"
    When it is posted to "entry-4"
    Then the outcome is "<outcome>"
    And the charge ran <runs> times

    Examples: posted to the issuer
      | entry   | fault           | outcome  | runs |
      | entry-1 | slow            | answered | 1    |
      | entry-1 | duplicated      | answered | 1    |
      | entry-1 | late            | unknown  | 1    |
      | entry-1 | silent          | unknown  | 1    |
      | entry-1 | cut             | unknown  | 1    |
      | entry-1 | crossed         | unknown  | 1    |
      | entry-1 | crossed-refusal | unknown  | 1    |
      | entry-1 | error           | unknown  | 1    |
      | entry-1 | reset           | unknown  | 0    |
      | entry-1 | refuse          | answered | 1    |
      | entry-1 | refuse-always   | failed   | 0    |
      | entry-1 | down            | failed   | 0    |

    Examples: posted to another entry
      | entry   | fault           | outcome  | runs |
      | entry-2 | slow            | answered | 1    |
      | entry-2 | duplicated      | answered | 1    |
      | entry-2 | late            | unknown  | 1    |
      | entry-2 | silent          | unknown  | 1    |
      | entry-2 | cut             | unknown  | 1    |
      | entry-2 | crossed         | unknown  | 1    |
      | entry-2 | crossed-refusal | unknown  | 1    |
      | entry-2 | error           | unknown  | 1    |
      | entry-2 | reset           | unknown  | 0    |
      | entry-2 | refuse          | answered | 1    |
      | entry-2 | refuse-always   | failed   | 0    |
      | entry-2 | down            | failed   | 0    |

  Scenario Outline: one ticket is posted to many entries at once
    Given a ticket of "entry-1"
    And the ledger's next call meets "<fault>"
    When it is posted to <count> entries at once
    Then every post has the same outcome "<outcome>"
    And the charge ran 1 times

    Examples:
      | count | fault | outcome  |
      | 2     | slow  | answered |
      | 10    | slow  | answered |
      | 10    | error | unknown  |

  Scenario Outline: the issuer is frozen before the charge until the ticket has expired
    Given tickets that live 1 s and one server for each stage of "order-status"
    And a ticket of "entry-1"
    And the look-up's next call takes 0.5 s
    When it is posted to "<entry>" and "entry-1" is frozen meanwhile until it expired
    Then the outcome is "<outcome>"
    And asked of "entry-1" its state is "failed"
    And the charge ran 0 times

    Examples:
      | entry   | outcome |
      | entry-1 | failed  |
      | entry-2 | unknown |

  Scenario Outline: the issuer is frozen while others hold its ticket
    Given a ticket of "entry-1"
    And "entry-1" is frozen
    When it is posted to "entry-2"
    Then the outcome is "unknown"
    And the failure is "issuer-unreachable"
    And asked of "entry-3" its state is "unknown"
    When "entry-1" is woken
    And it is posted to "<entry>" until its outcome is known
    Then the charge ran once where it was answered and not at all where refused

    Examples: what was sent meanwhile reaches the issuer when it goes on, or never
      | entry   |
      | entry-1 |
      | entry-4 |

  Scenario: the issuer serves its side of a partition and the others theirs
    Given a ticket of "entry-1"
    And no other entry reaches "entry-1"
    When it is posted to "entry-2"
    Then the outcome is "unknown"
    When it is posted to "entry-1"
    Then the outcome is "answered"
    And asked of "entry-2" its state is "unknown"
    When every entry reaches "entry-1" again
    And it is posted to "entry-2"
    Then the outcome is "answered"
    And the charge ran 1 times

  Scenario Outline: the issuer is replaced at the same address
    Given a ticket of "entry-1"
    And "<first>" reaches "entry-1"
    When it is posted to "<first>"
    And "entry-1" is killed and replaced
    And it is posted to "<second>"
    Then the outcome is "unknown"
    And the failure is one of "<failures>"
    And asked of "entry-3" its state is "unknown"
    And the charge ran <runs> times

    Examples:
      | first   | second  | runs | failures                        |
      | nowhere | entry-1 | 0    | issuer-gone                     |
      | nowhere | entry-2 | 0    | issuer-gone, issuer-unreachable |
      | entry-1 | entry-1 | 1    | issuer-gone                     |
      | entry-2 | entry-2 | 1    | issuer-gone, issuer-unreachable |

  Scenario Outline: an entry dies while the charge runs
    Given a ticket of "entry-1"
    And the ledger's next call meets "slow"
    When it is posted to "entry-2" and "<entry>" is killed meanwhile
    Then the outcome is "<outcome>"
    When "<entry>" is replaced
    And it is posted to "entry-3"
    Then the outcome is "<then>"
    And the charge ran 1 times

    Examples:
      | entry   | outcome | then     |
      | entry-1 | unknown | unknown  |
      | entry-2 | lost    | answered |

  Scenario Outline: the caller goes away half way and asks later
    Given a ticket of "entry-1"
    And the ledger's next call meets "slow"
    When it is posted to "<entry>" by a caller that goes away meanwhile
    Then asked of "entry-3" its state is "answered"
    And the charge ran 1 times

    Examples:
      | entry   |
      | entry-1 |
      | entry-2 |

  Scenario Outline: an unused ticket that was asked for, or posted wrongly, never runs
    Given a ticket of "entry-1"
    When <what is done> at "<entry>"
    Then the outcome is "refused"
    When it is posted to "entry-1"
    Then the outcome is "refused"
    When it is posted to "entry-2"
    Then the outcome is "refused"
    And the charge ran 0 times

    Examples:
      | what is done                       | entry   |
      | it is asked for                    | entry-1 |
      | it is asked for                    | entry-2 |
      | it is posted with no time left     | entry-1 |
      | it is posted with no time left     | entry-2 |
      | it is posted to an unknown pipeline | entry-2 |

  Scenario Outline: a wrong post of a ticket that was answered is not refused as not run
    Given a ticket of "entry-1"
    When it is posted to "entry-1"
    And it is posted with no time left at "<entry>"
    Then the outcome is "answered"
    And the charge ran 1 times

    Examples:
      | entry   |
      | entry-1 |
      | entry-2 |

  Scenario: another client account can neither use nor ask for a ticket
    Given a ticket of "entry-1"
    When "scan-desk" posts it to "entry-2"
    Then the failure is "ticket-foreign"
    When "scan-desk" asks "entry-2" for it
    Then the failure is "ticket-foreign"
    When it is posted to "entry-2"
    Then the outcome is "answered"
    And the charge ran 1 times

  Scenario: a request without a ticket can be asked for at any entry
    Given the ledger's next call meets "error"
    When "patan-counter" calls "order-status" with "no ticket"
    Then the outcome is "unknown"
    And asked where it says its state is "unknown" for "server-erred"
    And asked by "scan-desk" its state is "unknown" for "request-forgotten"
    And the charge ran 1 times

  Scenario: a client that loses an answer gets it from another entry
    Given the ledger's next call meets "slow"
    When a client calls once and the first entry dies meanwhile
    Then the outcome is "unknown"
    And the charge ran 1 times

  Scenario: a planned stop of the issuer waits for the tickets that it issued
    Given tickets that live 20 s and one server for each stage of "order-status"
    And a ticket of "entry-6"
    When "entry-6" is told to stop
    Then it issues no ticket any more
    When "entry-6" has lingered as long as answers may be kept
    And it is posted to "entry-2"
    Then the outcome is "answered"
    And the charge ran 1 times
