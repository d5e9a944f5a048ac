Feature: a configuration service that comes back from a copy is followed on
  Its indexes are given out again after that, for other values.

  # Guards against an index that is taken as ever rising.
  @fixture.one-centre.cooperative
  Scenario Outline: a document with the index of the one before is taken: <return>
    When the configuration service <return>, and the next version has the last index
    Then it is in force on every entry

    Examples:
      | return                        |
      | names its return from a copy  |
      | was away and names no return  |

  # Guards against a read that repeats itself for ever.
  Scenario: a service that answers every read with 304 and another era gives no value
    When a service answers 304 to all, each time in another era
    Then reading it fails after 2 questions
