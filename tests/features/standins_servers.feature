Feature: stand-ins of backend servers end and start like processes

  # Guards against a stand-in whose running streams change their version, which no server
  # does, so that tests take their events for those of two servers.
  Scenario: a server that is upgraded writes no event of its next version before its end
    Given a stand-in engine of version "v1" that takes a while to end
    When it is upgraded to "v2", and streams are read before and after its end
    Then the events before its end are of "v1", and those after its new start of "v2"

  Scenario: a connection that is accepted while a server ends is reset
    Given a stand-in engine of version "v1" that takes a while to end
    When it ends while a connection is accepted
    Then the connection is reset
