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

  # Guards against the same at entries as they run, whose peers with the records are lost.
  @fixture.route-site.3
  Scenario: streams taken up at an entry that stood still hold events of one version
    Given engines of the versions "v1 v1"
    When the entries have followed the list for 21 s
    And entry-0 stands still while 24 streams begin beside 4 engines of "v2" that leave
    And the other entries are killed, and callers take up the streams at entry-0
    Then no stream holds events of two versions
    And some of them began at "v2"
