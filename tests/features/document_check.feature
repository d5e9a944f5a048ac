Feature: a document is checked as a whole

  Scenario Outline: the example documents are valid
    Given the example document of "<site>"
    Then it has no faults

    Examples:
      | site        |
      | cooperative |
      | consortium  |

  Scenario: every fault is reported at once with its place
    Given the example document of "cooperative"
    When "pipelines.0.stages.1.service" is set to "nowhere"
    And "client_accounts.2.weight" is set to -1
    Then the faults are at "client_accounts[2].weight"
    When "client_accounts.2.weight" is set to 1
    And "pipelines.1.stages.0.model" is set to "no-model"
    Then the faults are at "pipelines[0].stages[1].service, pipelines[1].stages[0].model"

  Scenario: an unknown field is a fault
    Given the example document of "cooperative"
    When "services.0.colour" is set to "blue"
    Then the faults are at "services[0]"

  Scenario: a newer schema version is refused
    Given the example document of "cooperative"
    When "schema_version" is set to 2
    Then the faults are at "schema_version"
