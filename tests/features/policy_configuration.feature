Feature: versions of the document only rise

  Scenario: under arbitrary offers nothing reverts and the first of a version stays
    Then after arbitrary offers the newest is in force and no version came back
