Feature: an entry vouches only for published values that it uses

  # Guards against an entry that names the position of a configuration that it is still
  # decoding: when it is lost, the one that heard it never reads that configuration.
  Scenario: a configuration is read though the entry that decodes it is lost
    Given 2 entries that use version 1 of the configuration
    When version 2 is published, and entry 1 is lost while it decodes it
    And entry 2 asks the store
    Then entry 2 uses version 2

  # Guards against the same where the message is made while the version takes effect.
  Scenario: the position in a message belongs to the version in it, or to an older one
    Given 2 entries that use version 1 of the configuration
    When version 2 takes effect at entry 1 between two reads for a message
    And entry 2 asks the store
    Then entry 2 uses version 2

  # Guards against a read that finds nothing new, and confirms values that another thread
  # is still decoding.
  Scenario Outline: <values> are confirmed by a read only once they are in use
    Given 2 entries that use version 1 of the configuration
    When new <values> are published, and entry 1 reads again while it decodes them
    Then the read confirms nothing before entry 1 uses them, and does so then

    Examples:
      | values      |
      | a version   |
      | the servers |

  # Guards against an entry that counts its list as confirmed by another one, while its
  # own thread still decodes the list that this one sent.
  Scenario: a server list of another entry is confirmed only once it is in use
    Given 2 entries that use version 1 of the configuration
    When a server is listed, and entry 2 hears of it again while it decodes the list
    Then entry 2 counts its list as confirmed no sooner
