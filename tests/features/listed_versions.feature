Feature: which software versions were listed, as changes of the list arrive

  # Guards against a stream that goes on at another version, at an entry that stood still
  # or was cut off while its version was listed and removed again.
  Scenario Outline: a version that was listed and removed within <message> counts: "<written>"
    Given 2 entries that have listed "a=v1" for 30 s
    When "<written>" is published and reaches entry 1 in <message>
    Then entry 1 lists "v1" alone
    And a stream that nobody knows is refused at entry 1
    And entry 1 has listed several versions for 59 more seconds, but not after 61

    Examples:
      | written      | message                             |
      | b=v2 b-      | one answer                          |
      | a=v2 a=v1    | one answer                          |
      | b=v2 b=v1 b- | one answer                          |
      | b=v2 b-      | one relayed message                 |
      | a=v2 a=v1    | one relayed message                 |
      | b=v2 b-      | one relayed message after a restore |

  # Guards against streams that are refused for a version that left before the entry began
  # to follow the list.
  Scenario: changes before the known position don't count as listed
    Given 2 entries that have listed "b=v2 b- a=v1" for 30 s
    When entry 1 takes all changes since the first once more
    Then entry 1 lists "v1" alone
    And a stream that nobody knows goes on at "v1" at entry 1

  # Guards against records that are not sent to their holders, where the second version is
  # gone when the list is applied.
  Scenario: a version that was listed and removed within one answer has the records sent
    Given 2 entries that have listed "a=v1" for 30 s
    When "b=v2 b-" is published and reaches entry 1 in one answer
    Then entry 1 has sent the records of the service to their holders once

  # Guards against a stream that goes on at another version, at an entry that received the
  # whole list after a time in which its version may have been listed and removed.
  Scenario Outline: an entry that receives <list>, and whose own was confirmed <seconds> s ago
    Given 2 entries that have listed "a=v1" for 30 s
    When "b=v2 b-" is published, and entry 1 receives <list> after <seconds> s
    Then entry 1 lists "v1" alone
    And a stream that nobody knows <goes> at entry 1

    # A server that leaves stays listed for 2 s.
    Examples:
      | list                                        | seconds | goes            |
      | the list of a store without history         | 1.9     | goes on at "v1" |
      | the list of a store without history         | 2.1     | is refused      |
      | the list of a restored store                | 0.1     | is refused      |
      | the list of a restored store                | 2.1     | is refused      |
      | the list of a peer that started later       | 1.9     | goes on at "v1" |
      | the list of a peer that started later       | 2.1     | is refused      |
      | the changes of a peer that received a list  | 1.9     | goes on at "v1" |
      | the changes of a peer that received a list  | 2.1     | is refused      |

  # Guards against refusals where no version can have been missed, and against changes that
  # are taken for complete as an earlier release does not say that some are missing.
  Scenario Outline: an entry <seconds> s behind that receives the changes of <peer>
    Given 2 entries that have listed "a=v1" for 30 s
    When "a=v1" is published, and entry 1 receives the changes of <peer> after <seconds> s
    Then a stream that nobody knows <goes> at entry 1

    Examples:
      | peer                         | seconds | goes            |
      | a peer without a gap         | 5       | goes on at "v1" |
      | a peer with a short gap      | 5       | goes on at "v1" |
      | a peer of an earlier release | 1.9     | goes on at "v1" |
      | a peer of an earlier release | 2.1     | is refused      |

  # Guards against refusals that outlast the streams that may have begun unseen.
  Scenario: an entry knows the versions again once it has followed the list for long enough
    Given 2 entries that have listed "a=v1" for 30 s
    When "b=v2 b-" is published, and entry 1 receives the list of a store without history after 3 s
    Then the history of entry 1 is complete after 20 s and not before
    And a stream that nobody knows goes on at "v1" at entry 1

  # Guards against refusals where one version has served all along, and the store drops
  # its history now and then.
  Scenario: dropped histories don't restart the time for which an entry has followed lists
    Given 2 entries that have listed "a=v1" for 30 s
    When the store drops its history every second for 60 s, each after a change
    Then both entries have followed the list for 90 s

  # Guards against a past that was read once and taken for that of the gap as well.
  Scenario: the past that the store has shown does not cover what came after it
    Given 2 entries that have listed "a=v1" for 2 s
    When the past is read at entry 1
    And "b=v2 b-" is published, and entry 1 receives the list of a store without history after 3 s
    Then entry 1 lists "v1" alone
    And a stream that nobody knows is refused at entry 1

  # Guards against a past that was requested before the gap and arrives after it.
  Scenario: a past that was requested before a gap does not cover it
    Given a history of versions that has followed lists for 2 s
    When a past that was requested 1 s before a gap arrives after it
    Then the past of the history is not known

  # Guards against the same at entries as they run, whose peers with the records are lost.
  @fixture.route-site.3
  Scenario: streams taken up at an entry that stood still hold events of one version
    Given engines of the versions "v1 v1"
    When the entries have followed the list for 21 s
    And entry-0 stands still while 24 streams begin beside 4 engines of "v2" that leave
    And the other entries are killed, and callers take up the streams at entry-0
    Then no stream holds events of two versions
    And some of them began at "v2"
