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
