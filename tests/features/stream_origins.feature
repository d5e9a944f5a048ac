Feature: the records of which software version began each stream

  Scenario Outline: a stream that is taken up <goes>: <own>; <others>; <missing> not reached
    Given this entry reports "<own>" and others report "<others>"
    When the origin of a stream is resolved, with <missing> entries not reached
    Then the stream <goes>

    # A report: the record, the listed versions, whether they are complete, and whether
    # the store has confirmed the list since the stream was taken up.
    Examples:
      | own                           | others                                     | missing | goes          |
      | none, none, complete          |                                            | 0       | is refused    |
      | none, none, complete confirmed |                                           | 0       | is refused    |
      | none, v1, complete            |                                            | 0       | is refused    |
      | none, v1, complete            |                                            | 2       | is refused    |
      | none, v1, complete confirmed  |                                            | 0       | goes on at v1 |
      | none, v1, complete confirmed  |                                            | 2       | goes on at v1 |
      | none, v1, partial             | none, v1, complete                         | 1       | is refused    |
      | none, v1, partial             | none, v1, complete confirmed               | 1       | goes on at v1 |
      | none, v1, partial confirmed   | none, v1, complete                         | 1       | is refused    |
      | none, v1, complete            | none, v1, partial confirmed                | 0       | is refused    |
      | none, v1, partial             | none, v1, partial                          | 0       | is refused    |
      | none, v1, partial             | none, v1, partial                          | 1       | is refused    |
      | none, v1, partial             |                                            | 0       | is refused    |
      | none, v1, partial             |                                            | 1       | is refused    |
      | none, v1, partial             | none, v1 v2, partial                       | 1       | is refused    |
      | none, v1, complete confirmed  | none, v1 v2, complete                      | 0       | is refused    |
      | none, v1, partial             | v2, v2, partial                            | 0       | goes on at v2 |
      | none, v1, complete            | v2, v1 v2, complete                        | 1       | goes on at v2 |
      | none, v1 v2, partial          | v1, v1 v2, complete                        | 3       | goes on at v1 |
      | none, v1 v2, partial          | none, v1 v2, complete; v2, v1 v2, complete | 0       | goes on at v2 |
      | none, v1 v2, partial          | v1, v1 v2, complete; v2, v1 v2, complete   | 0       | is refused    |
      | v1 v2, v1 v2, partial         | v1, v1 v2, complete                        | 0       | is refused    |
      | none, v1 v2, partial          | none, v1 v2, complete                      | 0       | is refused    |

  # Guards against entries that have all started lately, and take one version in all of
  # their lists for the only one that has served; and against an engine that was called
  # by a try without an event, or by other requests of a session, taken for the one that
  # served the stream.
  Scenario Outline: a stream of which no entry knows <goes>: <past>; engines keep "<kept>"
    Given entries that have listed "v1" alone for 2 s, and a store with <past>
    And engines that keep "<kept>" of a prompt of 100 tokens with at most 50 generated
    When the stream is taken up behind its event 5
    Then the stream <goes>

    Examples:
      | past                        | kept           | goes          |
      | a history of "v1"           |                | goes on at v1 |
      | a history of "v1 v2"        | v1 110         | goes on at v1 |
      | a history of "v1 v2"        | v2 105         | goes on at v2 |
      | a history of "v1 v2"        | v2 104         | is refused    |
      | a history of "v1 v2"        | v1 100, v2 110 | goes on at v2 |
      | a history of "v1 v2"        | v1 110, v2 110 | is refused    |
      | a history of "v1 v2"        | v1 150         | goes on at v1 |
      | a history of "v1 v2"        | v1 151         | is refused    |
      | a history of "v1 v2"        | v1 110, v2 ?   | is refused    |
      | a history of "v1 v2"        | v1 110, v1 ?   | goes on at v1 |
      | a history of "v1 v2"        |                | is refused    |
      | no beginning of its history | v1 110         | goes on at v1 |
      | no beginning of its history | v1 100         | is refused    |
      | no beginning of its history | v1 ?           | is refused    |
      | no beginning of its history |                | is refused    |

  # Guards against two streams under one name, of which the caches would show one.
  Scenario: engines are not asked for a stream whose name two versions claim
    Given entries that have listed "v1" alone for 2 s, and a store with a history of "v1 v2"
    And engines that keep "v1 110" of a prompt of 100 tokens with at most 50 generated
    And records of the stream at "v1" and "v2"
    When the stream is taken up behind its event 5
    Then the stream is refused

  # Guards against an entry that has read the past, and is cut off later while a second
  # version begins to serve.
  Scenario: the past proves nothing once the list is old
    Given entries that have listed "v1" alone for 2 s, and a store with a history of "v1"
    And engines that keep "" of a prompt of 100 tokens with at most 50 generated
    When the stream is taken up behind its event 5
    And the list is 4 s old
    And the stream is taken up behind its event 5
    Then the stream is refused

  # Guards against entries that count as knowing the past before the longest stream that
  # began in it has ended.
  Scenario: the history of versions covers the longest stream
    Given the versions "v1" are listed for the service, whose streams last 30 s
    Then the history is complete after 30 seconds and not before

  # Guards against a stream that goes on at another service of its route, where that one
  # has a single version and the other one the record.
  Scenario: a record counts before the versions that are listed
    Given a service "a" with "v1" and a service "b" with "v2", and a record at "b"
    When the origin is resolved for both services
    Then it goes on at the service "b" with "v2"

  # Guards against an entry out of step that takes its old list, or a peer without an
  # answer, for proof that no second version has begun to serve.
  Scenario Outline: an entry that has listed v1 alone for 30 s, whose store <store>, and whose peer <peer>
    Given an entry that has listed "v1" alone for 30 s, whose store <store>, and whose peer <peer>
    When a stream of its caller is taken up there
    Then the stream <goes>

    Examples:
      | store             | peer                                               | goes          |
      | gives no answer   | does not answer                                    | is refused    |
      | gives no answer   | rejects unknown messages                           | is refused    |
      | gives no answer   | has no record and has listed v1 alone              | is refused    |
      | gives no answer   | has a record of v2 for the stream                  | goes on at v2 |
      | gives no answer   | has listed v2 too, and has no record               | is refused    |
      | gives no answer   | has listed v1 alone, as the store confirms         | goes on at v1 |
      | gives no answer   | has started, and the store confirms its list of v1 | is refused    |
      | confirms the list | does not answer                                    | goes on at v1 |
      | confirms the list | rejects unknown messages                           | goes on at v1 |
      | confirms the list | has no record and has listed v1 alone              | goes on at v1 |
      | lists v2          | does not answer                                    | is refused    |
      | lists v1 v2       | has no record and has listed v1 alone              | is refused    |
      | lists v1 v2       | has a record of v2 for the stream                  | goes on at v2 |

  # Guards against a past that another stream has read after the versions were reported.
  Scenario: a past that is added during the decision counts with its versions only
    Given an entry that has listed "v1" alone for 2 s, whose store confirms the list, and whose peer does not answer
    And the past "v1 v2" is added right after its last report
    When a stream of its caller is taken up there
    Then the stream is refused

  # Guards against messages for each stream that is taken up while one version serves.
  Scenario: an entry whose store confirms its list asks no other one where a stream goes on
    Given an entry that has listed "v1" alone for 30 s, whose store confirms the list, and whose peer does not answer
    When a stream of its caller is taken up there
    Then the stream goes on at v1
    And its peer is not asked

  # Guards against messages for each stream that is taken up where it began.
  Scenario: an entry that has begun a stream asks no other one where it goes on
    Given an entry that has listed "v1" alone for 30 s, whose store gives no answer, and whose peer does not answer
    When a stream that it has begun at "v1" is taken up there
    Then the stream goes on at v1
    And its peer is not asked
    And its store is not asked

  # Guards against callers that wait, one behind the other, for entries that don't answer.
  Scenario: an entry that gave no answer is not asked again at once
    Given an entry that has listed "v1" alone for 30 s, whose store gives no answer, and whose peer does not answer
    When 50 streams of its callers are taken up there
    Then the stream is refused
    And its peer is asked once

  # Guards against engines that can't be asked, as this entry does not list them: one that
  # it lists may keep the same prompt from an earlier request of the session.
  Scenario Outline: engines <may> tell the version of a stream: the store <store>, the peer <peer>
    Given an entry that has listed "v1" alone for 2 s, whose store <store>, and whose peer <peer>
    When a stream of its caller is taken up there
    Then engines <may> tell its version

    Examples:
      | store             | peer                                               | may     |
      | gives no answer   | does not answer                                    | may not |
      | gives no answer   | has no record and has listed v1 alone              | may not |
      | gives no answer   | has listed v2 too, and has no record               | may not |
      | gives no answer   | has started, and the store confirms its list of v1 | may     |
      | confirms the list | does not answer                                    | may     |
      | lists v1 v2       | does not answer                                    | may     |

  # Guards against an entry cut off from the store that can't go on with streams although
  # another entry reaches it, and against reads of the store that nobody asked for.
  Scenario Outline: an entry reports its list, <whether> confirming it: the store <store>
    Given an entry that has listed "v1" alone for 30 s, whose store <store>, and whose peer does not answer
    When another entry asks it about a stream, <whether> confirming its list
    Then its report names "<versions>", <state>

    Examples:
      | store             | whether | versions | state       |
      | confirms the list | with    | v1       | confirmed   |
      | confirms the list | without | v1       | unconfirmed |
      | lists v1 v2       | with    | v1 v2    | confirmed   |
      | lists v1 v2       | without | v1       | unconfirmed |
      | gives no answer   | with    | v1       | unconfirmed |

  Scenario: two streams under one name go on at neither version
    Given the records of one entry
    When streams "r-1" and "r-1" begin at "v1" and "v2", and stream "r-2" twice at "v1"
    Then "r-1" has 2 origins and "r-2" has 1

  Scenario: a record lasts as long as a caller may return, anew with each try
    Given the records of one entry
    When stream "r-1" begins at "v1", and goes on 50 seconds later
    Then it has an origin for 59 more seconds, and none after 61

  # Guards against a flood of new streams that drops the records of recent ones.
  Scenario: a flood of streams drops the oldest records only
    Given the records of one entry
    When 40000 streams begin one after the other
    Then the newest 32768 have an origin, and no others

  Scenario: a version counts for as long as streams may have begun there
    Given the versions "v1" are listed for the service
    When the versions "v1 v2" are listed, and then "v2"
    Then the service has had several versions for 59 more seconds, but not after 61

  Scenario: the history of versions is complete once it covers the time of streams
    Given the versions "v1" are listed for the service
    Then the history is complete after 20 seconds and not before

  Scenario: records are held by entries of different data centres, agreed on by all
    Given 9 entries in 3 data centres
    Then each of 200 streams has its first 3 holders in 3 data centres
    And the loss of one entry changes the first 6 holders of no stream by more than one
    And no entry is among the first 2 holders of more than twice its share

  # Guards against an entry of an earlier release that goes on at any version.
  Scenario Outline: <what> stream may be resumed at a peer that <answer>: <versions>
    Given a service with the versions "<versions>", and a peer that <answer>
    Then <what> stream may be resumed there

    Examples:
      | versions | answer                   | what |
      | v1 v2    | rejects unknown messages | no   |
      | v1 v2    | does not answer          | no   |
      | v1 v2    | reports what it knows    | a    |
      | v1       | rejects unknown messages | a    |

  # Guards against records that are never sent again after one that could not be sent.
  Scenario: records are sent to a holder after an error of its link
    Given a service with the versions "v1 v2", and a peer whose link fails once
    When 3 streams begin one after the other, each sent
    Then the peer holds the records of the last 2

  # Guards against streams that their callers take up and that the queues of their stages
  # refuse as late, since the time to a first event is counted anew.
  Scenario Outline: <what> must begin within <within> s: <route> route, <left> s left
    Given <what> on a <route> route with an objective of 2 s, and <left> s left
    Then it must begin within <within> s

    Examples:
      | what                        | route         | left | within |
      | a stream that is taken up   | resumable     | 10   | 5      |
      | a stream that is taken up   | resumable     | 3    | 2      |
      | a stream that is named only | resumable     | 10   | 5      |
      | a stream that begins        | resumable     | 10   | 2      |
      | a stream that is taken up   | non-resumable | 10   | 2      |
      | a stream that is taken up   | plain         | 10   | 2      |
