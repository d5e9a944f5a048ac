@alone
Feature: callers outside the limits end no entry, and ordinary callers are served

  Scenario Outline: callers that come back without end: <crowd>
    Given an entry with little memory
    When a crowd comes: <crowd>
    Then the entry lives, within its memory and its descriptors
    And an ordinary request is answered
    When the crowd has gone
    Then an ordinary request is answered
    And the entry lives, within its memory and its descriptors
    And nothing is charged for the crowd any more

    Examples:
      | crowd                                    |
      | answers, read in large part              |
      | answers, not read                        |
      | answers, not read before a late deadline |
      | answers, read slowly without end         |
      | streams, not read                        |
      | streams, not read before a late deadline |
      | streams, read slowly without end         |
      | streams behind stages, not read          |
      | answers left unread                      |
      | requests without a pause                 |
      | refused requests without a pause         |
      | answered requests without a pause        |
      | heads with thousands of headers          |
      | bodies that never end                    |
      | bodies byte by byte                      |
      | heads that never end                     |
      | nothing                                  |
      | chunks whose first lines never end       |
      | requests with thousands of pieces        |
      | long identifiers                         |
      | answers to half-closed connections       |
      | resets amid answers and streams          |
      | expectations without a body              |
      | unknown keys without a pause             |

  Scenario Outline: callers at the addresses of pages: <crowd>
    Given an entry with little memory
    When a crowd comes: <crowd>
    Then the entry lives, within its memory and its descriptors
    And its directory, its readiness check and its metrics answer
    And an ordinary request is answered
    When the crowd has gone
    Then its directory, its readiness check and its metrics answer
    And the entry lives, within its memory and its descriptors

    Examples:
      | crowd                                     |
      | nothing to the directory                  |
      | nothing to the readiness check            |
      | bodies to the readiness check             |
      | requests without a pause to the metrics   |
      | requests without a pause to the directory |

  Scenario Outline: an entry whose settings name no memory: <crowd>
    Given an entry with little memory, which its settings do not name
    When a crowd comes: <crowd>
    Then the entry lives, within its memory and its descriptors
    And an ordinary request is answered
    When the crowd has gone
    Then an ordinary request is answered
    And the entry lives, within its memory and its descriptors

    Examples:
      | crowd                       |
      | answers, read in large part |
      | streams, not read           |

  Scenario Outline: an entry with fewer descriptors than its settings name: <crowd>
    Given an entry with little memory, and fewer descriptors than its settings name
    When a crowd comes: <crowd>
    Then the entry lives, within its memory and its descriptors
    And its directory, its readiness check and its metrics answer
    And an ordinary request is answered
    When the crowd has gone
    Then an ordinary request is answered
    And the entry lives, within its memory and its descriptors

    Examples:
      | crowd                       |
      | nothing                     |
      | answers, read in large part |

  # Guards against an event loop that does nothing but accept in vain.
  Scenario Outline: an entry whose descriptors others have taken: <crowd>
    Given an entry with little memory
    And the system lets it open only 40 more descriptors
    When a crowd comes: <crowd>
    Then the entry lives, within its memory and its descriptors
    And its directory, its readiness check and its metrics answer
    And an ordinary request is answered
    When the crowd has gone
    Then an ordinary request is answered
    And the entry lives, and has logged at most 2000 lines

    Examples:
      | crowd             |
      | nothing           |
      | answers, not read |

  Scenario Outline: callers of an entry that has another one serve them: <crowd>
    Given two entries with little memory, the first of which reaches no server
    When a crowd comes: <crowd>
    Then each entry lives, within its memory and its descriptors
    And an ordinary request is answered
    When the crowd has gone
    Then an ordinary request is answered
    And each entry lives, within its memory and its descriptors

    Examples:
      | crowd                       |
      | answers, read in large part |
      | streams, not read           |

  Scenario Outline: an entry is changed under a crowd: <crowd>
    Given an entry with little memory
    When a crowd comes: <crowd>
    And the entry gets new settings and a new configuration
    Then the entry lives, within its memory and its descriptors
    And an ordinary request is answered by the new configuration
    When the entry is told to end
    Then it ends by itself, and never held more than its memory and its descriptors

    Examples:
      | crowd                                    |
      | answers, read in large part              |
      | streams, not read before a late deadline |
      | refused requests without a pause         |

  Scenario Outline: an entry whose log nobody reads: <crowd>
    Given an entry with little memory, whose log nobody reads
    When a crowd comes: <crowd>
    Then the entry lives, within its memory and its descriptors
    And an ordinary request is answered
    When the entry is told to end
    Then it ends by itself, and never held more than its memory and its descriptors

    Examples:
      | crowd             |
      | long identifiers  |
      | answers, not read |

  Scenario Outline: callers of JSON pipelines that come back without end: <crowd>
    Given an entry of JSON pipelines with little memory
    When a crowd comes to the pipelines: <crowd>
    Then the entry of JSON pipelines lives, within its memory and its descriptors
    And an ordinary request to a pipeline is answered
    When the crowd has gone
    Then an ordinary request to a pipeline is answered
    And the entry of JSON pipelines lives, within its memory and its descriptors

    Examples:
      | crowd                       |
      | answers, read in large part |
      | answers, not read           |
      | streams, not read           |
      | streams of more callers than threads |
      | bodies of many values       |
      | requests without a pause    |
      | tickets without a pause     |
      | tickets whose callers leave |
      | nothing                     |
