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

  # Guards against a stand-in that tells less of the prompts that it read than an engine
  # does, so that a reader of its list is never tried.
  Scenario: an engine lists the prompt parts that it holds until its life ends
    Given a stand-in engine of version "v1"
    When 3 events of a stream with the prompt "aa:80,bb:20" are written, which is then cut
    Then it lists the parts "aa:80,bb:32"
    And a list asked of another server is refused
    And after a crash it lists no parts, in another epoch
    And it was asked 4 times for its list

  Scenario: an engine that can't list its prompt parts answers that it doesn't know the call
    Given a stand-in engine of version "v1"
    When it does not support the list of prompt parts
    Then its answer to the call has the status 404

  # Guards against a store that tells another revision of creation than the platform's.
  Scenario: the stand-in store tells when each item was created
    Given a stand-in store
    When the values "k/a=1 k/b=1 k/a=2 k/b= k/b=2" are written there
    Then items and changes name the revisions of creation "k/a:1 k/b:5"

  # Guards against a scripted server that answers before it has read all of a call in
  # pieces, so that its close resets the connection and a whole answer is lost.
  Scenario: a scripted server reads all of a call in pieces before it answers
    Given a scripted server that reads 100000 bytes before its answer
    When 100 bytes of a call are sent, and after a while all but the last byte
    Then the server has not answered
    And once the last byte is sent, its whole answer is read
