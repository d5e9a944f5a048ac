Feature: whatever comes from outside is built or refused with a type
  Nothing that reads it may raise.

  Scenario: any data against the document's shape
    Then the checks of any JSON data give a record or faults with places

  Scenario: any bytes as a document, an instance list and a trace
    Then the parsers of any bytes give a record or faults

  Scenario: a valid document with one part replaced
    Given the example document of "cooperative"
    Then any replaced part gives a document or faults, and never raises

  Scenario: any frame on the peer port
    Then the opening of any bytes, and of any damaged message, is refused with a type

  Scenario: any request of a caller
    Given the example document of "cooperative" in force
    Then the reading of any headers and body gives a request or a typed failure

  @fixture.fleet.cooperative
  Scenario: an oversize frame on the peer port
    When a frame of 3000000 bytes is sent to the peer port of "entry-1"
    And a peer of deployment "cooperative" with the key of the tests probes "entry-1"
    Then it is told the version in force
    And "entry-1" still serves
