Feature: the page of what is proved names scenarios that exist

  Scenario: every row names a scenario of the feature that it names
    Then every scenario that docs/PROOF.md names exists in its feature
