@fixture.route-site.3
Feature: entries of two regions run stages at the servers of their own region
  Two entries and one stage server are in one region, one of each in the other.

  # Guards against wiring that leaves all regions with one queue.
  Scenario: staged requests are served by their own region
    When 6 staged requests go to each entry
    Then all are answered, and each piece was made once in the region of its entry
    And the owner of each stage was an entry of that region

  # Guards against a region without stage servers that refuses its callers.
  Scenario: a region without stage servers borrows, and not once it has them again
    When the stage servers of "hills" are listed no more
    Then staged requests to "entry-1" are answered by the stage servers of "valley"
    And "entry-1" has logged that "valley" lent capacity
    When the stage servers of "hills" are listed again
    Then staged requests to "entry-1" are answered by the stage servers of "hills"

  # Guards against a queue without an owner after the loss of its region's entries.
  Scenario: after the only entry of a region was killed, the others use its servers
    When the entry "entry-1" is killed
    Then "entry-0" and "entry-2" name 2 entries
    When the stage servers of "valley" are listed no more
    Then staged requests to "entry-0" are answered by the stage servers of "hills"

  # Guards against two parts of the exchange with one name: each message carried only one
  # of them, and its receiver refused it for the other.
  Scenario: entries of two regions read all that they exchange
    When the entries have exchanged messages for 3 s
    Then no entry has refused a part of a message
